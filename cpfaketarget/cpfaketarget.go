// Package cpfaketarget is a fake target, a back-end search server, served over HTTP. On command it behaves like a
// loaded, cold, draining or failed target, and it counts the calls and connections that it receives. It shares the
// wire types with the client in cphttp.
package cpfaketarget

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget"
	"github.com/clementineport/clementineport/cptarget/cphttp"
)

// maxRequestBytes is the maximum size of the body of a request.
const maxRequestBytes = 1 << 20

// Target is one fake target.
type Target struct {
	opts    Options
	address string

	mu          sync.Mutex
	model       *model
	slots       chan struct{}
	conns       map[*conn]struct{}
	serveCtx    context.Context
	cancelServe context.CancelFunc
	server      *http.Server
	// restarting and stopped prevent concurrent restarts and restarts after Close.
	restarting bool
	stopped    bool
}

// New returns a target that does not listen yet.
func New(address string, opts ...Option) *Target {
	o := NewOptions(opts...)
	return &Target{
		opts:    o,
		address: address,
		model:   newModel(o),
		conns:   map[*conn]struct{}{},
	}
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.address }

// Listen opens the listener and serves in the background until Close.
func (t *Target) Listen() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listen()
}

func (t *Target) listen() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.address = l.Addr().String()
	t.serveCtx, t.cancelServe = context.WithCancel(context.Background())
	t.slots = make(chan struct{}, t.opts.Slots)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cphttp.PathSearch, t.search)
	mux.HandleFunc("GET "+cphttp.PathHealth, health)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, Protocols: &http.Protocols{}}
	t.server.Protocols.SetHTTP1(true)
	t.server.Protocols.SetUnencryptedHTTP2(true)
	go func(srv *http.Server) { _ = srv.Serve(&listener{Listener: l, target: t}) }(t.server)
	return nil
}

// Close stops listening and closes every connection.
func (t *Target) Close() error {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	return t.stopServing()
}

func (t *Target) stopServing() error {
	t.mu.Lock()
	srv, cancel := t.server, t.cancelServe
	t.mu.Unlock()
	cancel()
	return srv.Close()
}

// Restart closes every connection, stops listening for the duration of the pause and then starts again.
func (t *Target) Restart(cold bool, pause time.Duration) {
	t.mu.Lock()
	skip := t.restarting || t.stopped
	t.restarting = true
	t.mu.Unlock()
	if skip {
		return
	}
	_ = t.stopServing()
	t.mu.Lock()
	t.model.restart(cold)
	t.mu.Unlock()
	<-t.opts.Clock.After(pause)
	for !t.reopen() {
		<-t.opts.Clock.After(10 * time.Millisecond)
	}
}

// reopen listens again, unless the target has been closed. It returns false if the address is still in use.
func (t *Target) reopen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && t.listen() != nil {
		return false
	}
	t.restarting = false
	return true
}

// health always reports ok, even if the target is overloaded, cold or draining.
func health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Status string }{"ok"})
}

func (t *Target) search(w http.ResponseWriter, r *http.Request) {
	arrived := t.opts.Clock.Now()
	var req cphttp.SearchRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		t.refuse(w, &req, clementineport.Fail(clementineport.FaultInvalid, "%v", err))
		return
	}
	t.mu.Lock()
	serveCtx, slots := t.serveCtx, t.slots
	if serveCtx.Err() != nil {
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	err = t.model.admit(arrived, req.Snapshot)
	crashed := err == nil && t.model.overloaded()
	if crashed {
		t.model.stats.FallOvers++
		t.cancelServe()
	}
	t.mu.Unlock()
	switch {
	case crashed:
		go t.Restart(true, t.opts.CrashDowntime)
		panic(http.ErrAbortHandler)
	case err != nil:
		t.refuse(w, &req, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.TimeLeftMilliseconds)*time.Millisecond)
	defer cancel()
	t.run(ctx, serveCtx, slots, w, &req)
}

// run waits for a slot and for the service time, and then replies. It aborts the response when the target stops or
// restarts. If the call is canceled or its deadline passes, run refuses it while it waits and aborts the response while
// it runs.
func (t *Target) run(
	ctx, serveCtx context.Context, slots chan struct{}, w http.ResponseWriter, req *cphttp.SearchRequest,
) {
	select {
	case slots <- struct{}{}:
	case <-serveCtx.Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		t.abandonCall(ctx, serveCtx, false)
		t.refuse(w, req, clementineport.Fail(clementineport.FaultDeadline, "no slot in time"))
		return
	}
	defer func() { <-slots }()
	select {
	case <-t.opts.Clock.After(t.beginCall(serveCtx, req)):
	case <-serveCtx.Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		t.abandonCall(ctx, serveCtx, true)
		panic(http.ErrAbortHandler)
	}
	t.reply(serveCtx, w, req)
}

func (t *Target) beginCall(serveCtx context.Context, req *cphttp.SearchRequest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if serveCtx.Err() == nil {
		t.model.waiting--
		t.model.running++
	}
	if !req.Idempotent {
		t.model.stats.observeRun(Run{req.Request, req.Shard, req.Text})
	}
	return t.model.randomServiceTime()
}

func (t *Target) abandonCall(ctx, serveCtx context.Context, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() == context.DeadlineExceeded {
		t.model.stats.Expired++
	} else {
		t.model.stats.Cancelled++
	}
	switch {
	case serveCtx.Err() != nil:
	case running:
		t.model.running--
	default:
		t.model.waiting--
	}
}

func (t *Target) reply(serveCtx context.Context, w http.ResponseWriter, req *cphttp.SearchRequest) {
	t.mu.Lock()
	if serveCtx.Err() != nil {
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	t.model.running--
	t.model.recordCompleted()
	signals := t.model.signals()
	signals.Held = slices.Clone(signals.Held)
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, cphttp.SearchResponse{
		Request:  req.Request,
		Shard:    req.Shard,
		Snapshot: req.Snapshot,
		Hits:     cptarget.Hits(req.Index, req.Shard, req.Snapshot, req.Text, req.Limit),
		Signals:  signals,
	})
}

func (t *Target) refuse(w http.ResponseWriter, req *cphttp.SearchRequest, err error) {
	t.mu.Lock()
	signals := t.model.signals()
	signals.Held = slices.Clone(signals.Held)
	t.mu.Unlock()
	refusal := cphttp.Refusal{
		Request: req.Request, Shard: req.Shard, Fault: clementineport.FaultOf(err), Signals: signals,
	}
	if e, ok := err.(*clementineport.Error); ok {
		refusal.Reason, refusal.RetryAfterMilliseconds = e.Reason, e.RetryAfter.Milliseconds()
	}
	status := http.StatusServiceUnavailable
	switch refusal.Fault {
	case clementineport.FaultSnapshot:
		status = http.StatusConflict
	case clementineport.FaultInvalid:
		status = http.StatusBadRequest
	}
	writeJSON(w, status, refusal)
}

func (t *Target) addConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	st := &t.model.stats
	st.NewConnections++
	st.Connections = len(t.conns)
	st.PeakConnections = max(st.PeakConnections, st.Connections)
	st.ConnectionsOver = max(st.ConnectionsOver, st.Connections-t.opts.Connections)
}

func (t *Target) removeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.model.stats.Connections = len(t.conns)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
