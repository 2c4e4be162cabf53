package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a searcher.
type run struct {
	at       time.Time
	id       string
	path     string
	service  string
	searcher string
}

// searcher is a stand-in of a searcher. It registers in the store and answers each request after a time.
type searcher struct {
	id, service, zone string
	capacity          int
	work              time.Duration
	store             *store
	server            *http.Server
	address           string
	born              int64

	// coldFor is how long the searcher is cold after its start.
	coldFor time.Duration
	// deadly is the path of requests under which the searcher crashes as soon as it begins to run them.
	deadly string
	// onCrash is called once the searcher has crashed.
	onCrash func()

	mu      sync.Mutex
	state   string
	seq     int64
	runs    []run
	crashed bool
}

// newSearcher starts a searcher on a free port of an address.
func newSearcher(s *store, host, id, service, zone string, capacity int, work time.Duration) (*searcher, error) {
	return newSearcherAt(s, net.JoinHostPort(host, "0"), id, service, zone, capacity, work)
}

// newSearcherAt starts a searcher at an address.
func newSearcherAt(s *store, address, id, service, zone string, capacity int, work time.Duration) (*searcher, error) {
	return newColdSearcher(s, address, id, service, zone, capacity, work, 0)
}

// newColdSearcher starts a searcher that is cold for a time.
func newColdSearcher(s *store, address, id, service, zone string, capacity int, work, coldFor time.Duration) (*searcher, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	x := &searcher{
		id: id, service: service, zone: zone, capacity: capacity, work: work, store: s, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), state: "ready", coldFor: coldFor, onCrash: func() {},
	}
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(listener) }() // ends with close
	x.register()
	return x, nil
}

func (x *searcher) close() { _ = x.server.Close() }

// crash ends the searcher as the end of a process does: all connections are closed, and new ones are refused.
func (x *searcher) crash() {
	x.mu.Lock()
	first := !x.crashed
	x.crashed = true
	x.mu.Unlock()
	if first {
		_ = x.server.Close() // closes the listener and all connections
		x.onCrash()
	}
}

// register writes the entry of the searcher.
func (x *searcher) register() {
	x.mu.Lock()
	x.seq++
	entry := map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "capacity": x.capacity, "state": x.state,
		"cold_left_ms": max(0, time.Until(time.UnixMilli(x.born).Add(x.coldFor)).Milliseconds()), "seq": x.seq, "born": x.born,
	}
	x.mu.Unlock()
	x.store.put("servers/"+x.id, entry)
}

// allRuns returns the runs so far.
func (x *searcher) allRuns() []run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]run(nil), x.runs...)
}

// ServeHTTP implements http.Handler.
func (x *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", x.id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != x.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that ends early makes the request fail below
	x.mu.Lock()
	x.runs = append(x.runs, run{at: time.Now(), id: attempt, path: r.RequestURI, service: x.service, searcher: x.id})
	deadly := x.deadly != "" && r.RequestURI == x.deadly
	x.mu.Unlock()
	if deadly {
		x.crash()
		return
	}
	select {
	case <-time.After(x.work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("%s answers %s\n", x.service, attempt)
	w.Header().Set("Server-Stamp", x.service+"."+x.id+"."+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // fails only if the caller has gone
}
