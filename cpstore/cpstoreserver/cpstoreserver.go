// Package cpstoreserver serves an in-memory store and list of VMs over HTTP, as a stand-in for those of the platform.
// It injects scripted failures on the connections. It is not intended for production.
package cpstoreserver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpjson"
	"github.com/clementineport/clementineport/cpstore"
)

// Header names and limits of the protocol.
const (
	VersionHeader = "Store-Version"
	// MaxWatchWait is the maximum wait of a watch.
	MaxWatchWait    = time.Minute
	maxRequestBytes = 2 << 20
	// oversizedBytes is the size of the response in ModeOversized.
	oversizedBytes = 4 << 20
)

// Server serves a store and a directory.
type Server struct {
	store      *cpstore.Store
	unscripted clementineport.Store
	directory  *cpstore.Directory
	mux        *http.ServeMux

	mu    sync.Mutex
	saved cpstore.Image
}

// New returns an HTTP handler that serves a store and a directory.
func New(store *cpstore.Store, directory *cpstore.Directory) *Server {
	s := &Server{store: store, unscripted: store.Unscripted(), directory: directory, mux: http.NewServeMux(), saved: store.Save()}
	s.mux.HandleFunc("GET /v1/keys/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/keys/{key...}", s.put)
	s.mux.HandleFunc("POST /v1/leases/{key...}", s.acquire)
	s.mux.HandleFunc("GET /v1/vms", s.list)
	s.mux.HandleFunc("PUT /admin/vms", s.setVMs)
	s.mux.HandleFunc("POST /admin/vms", s.putVM)
	s.mux.HandleFunc("DELETE /admin/vms/{id}", s.removeVM)
	s.mux.HandleFunc("POST /admin/faults", s.addFailure)
	s.mux.HandleFunc("DELETE /admin/faults", s.clearFailures)
	s.mux.HandleFunc("POST /admin/save", s.save)
	s.mux.HandleFunc("POST /admin/restore", s.restore)
	s.mux.HandleFunc("GET /admin/counters", s.counters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	if !query.Has("wait") {
		s.run(w, r, cpstore.OpGet, func(w http.ResponseWriter) {
			item, err := s.unscripted.Get(r.Context(), key)
			writeItem(w, item, err)
		})
		return
	}
	seen, err := strconv.ParseUint(query.Get("seen"), 10, 64)
	if err != nil {
		writeError(w, clementineport.Fail(clementineport.FaultInvalid, "seen is %q, not a version", query.Get("seen")))
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > MaxWatchWait {
		writeError(w, clementineport.Fail(clementineport.FaultInvalid, "wait is %q; allowed: 0s to %s", query.Get("wait"), MaxWatchWait))
		return
	}
	s.run(w, r, cpstore.OpWatch, func(w http.ResponseWriter) {
		item, err := s.unscripted.Watch(r.Context(), key, seen, wait)
		writeItem(w, item, err)
	})
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		writeError(w, clementineport.Fail(clementineport.FaultInvalid, "expected is not a version"))
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, clementineport.Fail(clementineport.FaultInvalid, "read the value: %v", err))
		return
	}
	s.run(w, r, cpstore.OpCompareAndSwap, func(w http.ResponseWriter) {
		version, err := s.unscripted.CompareAndSwap(r.Context(), r.PathValue("key"), expected, value)
		if err != nil {
			writeError(w, err)
			return
		}
		cpjson.Write(w, http.StatusOK, struct{ Version uint64 }{version})
	})
}

func (s *Server) acquire(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Holder string
		TTL    string
	}
	if !readJSON(w, r, &body) {
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 || body.Holder == "" {
		writeError(w, clementineport.Fail(clementineport.FaultInvalid, "Holder and TTL are needed"))
		return
	}
	s.run(w, r, cpstore.OpLease, func(w http.ResponseWriter) {
		lease, err := s.unscripted.Acquire(r.Context(), r.PathValue("key"), body.Holder, ttl)
		if err != nil {
			writeError(w, err)
			return
		}
		cpjson.Write(w, http.StatusOK, lease)
	})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.run(w, r, cpstore.OpList, func(w http.ResponseWriter) {
		if err := s.store.Allow(cpstore.OpList); err != nil {
			writeError(w, err)
			return
		}
		cpjson.Write(w, http.StatusOK, s.directory.Lagged())
	})
}

func writeItem(w http.ResponseWriter, item clementineport.Item, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(item.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(item.Value)))
	_, _ = w.Write(item.Value)
}

var statusByFault = map[clementineport.Fault]int{
	clementineport.FaultConflict:    http.StatusConflict,
	clementineport.FaultInvalid:     http.StatusBadRequest,
	clementineport.FaultShed:        http.StatusTooManyRequests,
	clementineport.FaultUnavailable: http.StatusServiceUnavailable,
}

func writeError(w http.ResponseWriter, err error) {
	var e *clementineport.Error
	if !errors.As(err, &e) {
		e = clementineport.Fail(clementineport.FaultInternal, "%v", err)
	}
	status, ok := statusByFault[e.Fault]
	if !ok {
		status = http.StatusInternalServerError
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(e.RetryAfter.Seconds())))
	}
	cpjson.Write(w, status, struct {
		Fault  clementineport.Fault
		Reason string
	}{e.Fault, e.Reason})
}

func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	err := cpjson.Read(w, r, maxRequestBytes, body)
	if err != nil {
		writeError(w, err)
	}
	return err == nil
}
