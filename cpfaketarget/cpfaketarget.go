// Package cpfaketarget is a stand-in for a searcher of the back end, served over HTTP. It behaves like a
// loaded, cold, draining or broken target on demand and counts what it was sent. It shares the wire
// types with the client and decides nothing for the query tier.
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

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 1 << 20

// Target is one stand-in target.
type Target struct {
	opts    Options
	address string

	mu     sync.Mutex
	model  *model
	slots  chan struct{}
	conns  map[*conn]struct{}
	life   context.Context
	end    context.CancelFunc
	server *http.Server
	// restarting and stopped keep a restart from happening twice or after Close.
	restarting bool
	stopped    bool
}

// New returns a searcher that does not listen yet.
func New(address string, opts ...Option) *Target {
	o := NewOptions(opts...)
	return &Target{
		opts:    o,
		address: address,
		model:   newModel(o),
		conns:   map[*conn]struct{}{},
	}
}

// Address returns the address that the searcher listens on.
func (s *Target) Address() string { return s.address }

// Listen opens the listener and serves in the background until Close.
func (s *Target) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

func (s *Target) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.life, s.end = context.WithCancel(context.Background())
	s.slots = make(chan struct{}, s.opts.Slots)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cphttp.PathSearch, s.search)
	mux.HandleFunc("GET "+cphttp.PathHealth, health)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, Protocols: &http.Protocols{}}
	s.server.Protocols.SetHTTP1(true)
	s.server.Protocols.SetUnencryptedHTTP2(true)
	go func(srv *http.Server) { _ = srv.Serve(&listener{Listener: l, searcher: s}) }(s.server)
	return nil
}

// Close stops listening and breaks every connection.
func (s *Target) Close() error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	return s.shut()
}

func (s *Target) shut() error {
	s.mu.Lock()
	srv, end := s.server, s.end
	s.mu.Unlock()
	end()
	return srv.Close()
}

// Restart breaks every connection, refuses new ones for a while and starts again.
func (s *Target) Restart(cold bool, pause time.Duration) {
	s.mu.Lock()
	skip := s.restarting || s.stopped
	s.restarting = true
	s.mu.Unlock()
	if skip {
		return
	}
	_ = s.shut()
	s.mu.Lock()
	s.model.restart(cold)
	s.mu.Unlock()
	<-s.opts.Clock.After(pause)
	for !s.reopen() {
		<-s.opts.Clock.After(10 * time.Millisecond)
	}
}

// reopen reports false if the address is still in use.
func (s *Target) reopen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped && s.listen() != nil {
		return false
	}
	s.restarting = false
	return true
}

// health says that all is well, whatever the state.
func health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Status string }{"ok"})
}

func (s *Target) search(w http.ResponseWriter, r *http.Request) {
	arrived := s.opts.Clock.Now()
	var req cphttp.SearchRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		s.refuse(w, &req, clementineport.Fail(clementineport.FaultInvalid, "%v", err))
		return
	}
	s.mu.Lock()
	life, slots := s.life, s.slots
	if life.Err() != nil {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	err = s.model.admit(arrived, req.Snapshot)
	fell := err == nil && s.model.overloaded()
	if fell {
		s.model.stats.FallOvers++
		s.end()
	}
	s.mu.Unlock()
	switch {
	case fell:
		go s.Restart(true, s.opts.CrashDowntime)
		panic(http.ErrAbortHandler)
	case err != nil:
		s.refuse(w, &req, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.TimeLeftMilliseconds)*time.Millisecond)
	defer cancel()
	s.run(ctx, life, slots, w, &req)
}

// run waits for a slot, works and answers, unless the call is given up or the life of the target ends.
func (s *Target) run(
	ctx, life context.Context, slots chan struct{}, w http.ResponseWriter, req *cphttp.SearchRequest,
) {
	select {
	case slots <- struct{}{}:
	case <-life.Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		s.giveUp(ctx, life, false)
		s.refuse(w, req, clementineport.Fail(clementineport.FaultDeadline, "no slot in time"))
		return
	}
	defer func() { <-slots }()
	select {
	case <-s.opts.Clock.After(s.begin(life, req)):
	case <-life.Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		s.giveUp(ctx, life, true)
		panic(http.ErrAbortHandler)
	}
	s.answer(life, w, req)
}

func (s *Target) begin(life context.Context, req *cphttp.SearchRequest) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if life.Err() == nil {
		s.model.waiting--
		s.model.running++
	}
	if !req.Idempotent {
		s.model.stats.observeRun(Run{req.Request, req.Shard, req.Text})
	}
	return s.model.serviceTime()
}

func (s *Target) giveUp(ctx, life context.Context, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == context.DeadlineExceeded {
		s.model.stats.Expired++
	} else {
		s.model.stats.Cancelled++
	}
	switch {
	case life.Err() != nil:
	case running:
		s.model.running--
	default:
		s.model.waiting--
	}
}

func (s *Target) answer(life context.Context, w http.ResponseWriter, req *cphttp.SearchRequest) {
	s.mu.Lock()
	if life.Err() != nil {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.model.running--
	s.model.done()
	signals := s.model.signals()
	signals.Held = slices.Clone(signals.Held)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, cphttp.SearchResponse{
		Request:  req.Request,
		Shard:    req.Shard,
		Snapshot: req.Snapshot,
		Hits:     cptarget.Hits(req.Index, req.Shard, req.Snapshot, req.Text, req.Limit),
		Signals:  signals,
	})
}

func (s *Target) refuse(w http.ResponseWriter, req *cphttp.SearchRequest, err error) {
	s.mu.Lock()
	signals := s.model.signals()
	signals.Held = slices.Clone(signals.Held)
	s.mu.Unlock()
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

func (s *Target) opened(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	st := &s.model.stats
	st.NewConnections++
	st.Connections = len(s.conns)
	st.PeakConnections = max(st.PeakConnections, st.Connections)
	st.ConnectionsOver = max(st.ConnectionsOver, st.Connections-s.opts.Connections)
}

func (s *Target) closed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.model.stats.Connections = len(s.conns)
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
