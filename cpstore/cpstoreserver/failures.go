package cpstoreserver

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpjson"
	"github.com/clementineport/clementineport/cpstore"
)

// run serves a call and injects the next scripted failure on the connection.
func (s *Server) run(w http.ResponseWriter, r *http.Request, op cpstore.Op, call func(http.ResponseWriter)) {
	script := &s.store.Script
	if op == cpstore.OpList {
		script = &s.directory.Script
	}
	f := script.Next(op)
	switch f.Mode {
	case cpstore.ModeDown:
		writeError(w, clementineport.Fail(clementineport.FaultUnavailable, "the store is down"))
	case cpstore.ModeRefuse, cpstore.ModeResetBefore:
		panic(http.ErrAbortHandler)
	case cpstore.ModeLoseReply:
		call(newRecorder())
		panic(http.ErrAbortHandler)
	case cpstore.ModeCut:
		sendTruncated(w, call)
	case cpstore.ModeHang:
		<-r.Context().Done()
	case cpstore.ModeHangAfter:
		call(newRecorder())
		<-r.Context().Done()
	case cpstore.ModeMalformed:
		call(newRecorder())
		w.Header().Set(VersionHeader, "one")
		_, _ = w.Write([]byte("{"))
	case cpstore.ModeOversized:
		call(newRecorder())
		w.Header().Set(VersionHeader, "1")
		_, _ = w.Write(bytes.Repeat([]byte(" "), oversizedBytes))
	case cpstore.ModeSlow:
		if clementineport.Sleep(r.Context(), clockwork.NewRealClock(), f.Delay) {
			call(w)
		}
	default:
		call(w)
	}
}

// sendTruncated sends half of a response and closes the connection.
func sendTruncated(w http.ResponseWriter, call func(http.ResponseWriter)) {
	recorded := newRecorder()
	call(recorded)
	for key, values := range recorded.header {
		w.Header()[key] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(recorded.body.Len()+1))
	w.WriteHeader(recorded.status)
	_, _ = w.Write(recorded.body.Bytes()[:recorded.body.Len()/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// recorder is an http.ResponseWriter that keeps the response instead of sending it.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: make(http.Header), status: http.StatusOK} }

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []clementineport.VM
	if readJSON(w, r, &vms) {
		s.directory.Set(vms)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm clementineport.VM
	if readJSON(w, r, &vm) {
		s.directory.Put(vm)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	s.directory.Remove(clementineport.VMID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) addFailure(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Mode   cpstore.Mode
		Delay  string
		Calls  int
		Writes bool
		// Directory applies the failure to the list of VMs instead of the store.
		Directory bool
	}
	if !readJSON(w, r, &body) {
		return
	}
	var delay time.Duration
	if body.Delay != "" {
		d, err := time.ParseDuration(body.Delay)
		if err != nil {
			writeError(w, clementineport.Fail(clementineport.FaultInvalid, "Delay is %q, not a duration", body.Delay))
			return
		}
		delay = d
	}
	script := &s.store.Script
	if body.Directory {
		script = &s.directory.Script
	}
	script.Add(cpstore.Failure{Mode: body.Mode, Delay: delay, Calls: body.Calls, WritesOnly: body.Writes})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) clearFailures(w http.ResponseWriter, _ *http.Request) {
	s.store.Script.Clear()
	s.directory.Script.Clear()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) save(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = s.store.Save()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) restore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Restore(s.saved)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) counters(w http.ResponseWriter, _ *http.Request) {
	cpjson.Write(w, http.StatusOK, s.store.Counts())
}
