package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageItems is the number of items in one page of a range.
const pageItems = 50

// item is a stored key with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// change is one write or removal in the history of the store.
type change struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

// lease is a granted lease.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	listener *trackingListener
	server   *http.Server

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []change
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	// renewed is when a lease was last renewed, by lease.
	renewed map[uint64]time.Time
	// watches holds the watches that wait, and since when.
	watches map[*http.Request]time.Time
}

// newStore starts a store on an address.
func newStore(address string) (*store, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: &trackingListener{Listener: raw, conns: map[*trackedConn]bool{}},
		revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		renewed: map[uint64]time.Time{}, watches: map[*http.Request]time.Time{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /clementineport/kv-key", s.serveKey)
	mux.HandleFunc("GET /clementineport/kv-range", s.serveRange)
	mux.HandleFunc("GET /clementineport/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /clementineport/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /clementineport/kv-lease", s.serveLease)
	mux.HandleFunc("POST /clementineport/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /clementineport/kv-lease-end/{id}", s.serveEnd)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(s.listener) }() // ends with close
	go s.expire()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// put writes a value as the operator or a searcher does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values of the cases always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
}

// delete removes a key as the operator or the platform does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// keys returns the number of keys with a prefix.
func (s *store) keys(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// renewals returns when each lease that was ever renewed was last renewed.
func (s *store) renewals() (at []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.renewed {
		at = append(at, t)
	}
	return at
}

// oldestWatch returns the number of watches that wait, and for how long the oldest one has.
func (s *store) oldestWatch() (n int, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, since := range s.watches {
		age = max(age, time.Since(since))
	}
	return len(s.watches), age
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.record(change{item: s.items[key]})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(change{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed in time.
func (s *store) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), pageItems)], "more_pages": len(items) > pageItems, "as_of": asOf,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), number(q.Get("after"))
	deadline := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	s.mu.Lock()
	s.watches[r] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches, r)
	}()
	for {
		events, asOf, changed := s.changesAfter(prefix, after)
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *store) changesAfter(prefix string, after uint64) ([]change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []change{}
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			events = append(events, c)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range call.Expected {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, e := range call.Expected {
				if it, ok := s.items[e.Key]; ok {
					current = append(current, it)
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, c := range call.Writes {
		switch {
		case strings.HasPrefix(c.Key, "op/"), strings.HasPrefix(c.Key, "servers/"):
			w.WriteHeader(http.StatusForbidden)
			return
		case c.Lease != 0 && s.leases[c.Lease] == nil:
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, c := range call.Writes {
		s.write(c.Key, c.Value, c.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := time.Duration(call.TTL) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": call.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id := number(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	s.renewed[id] = time.Now()
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(number(r.PathValue("id")))
	writeJSON(w, http.StatusOK, map[string]any{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has gone
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// trackingListener keeps the open connections, so that they can go silent.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]bool
}

func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, listener: l}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// silence makes all open connections silent for good and returns their number. New ones work.
func (l *trackingListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// trackedConn is a connection that can go silent: bytes are lost in both directions, and it isn't closed from this side.
type trackedConn struct {
	net.Conn
	listener *trackingListener
	silent   atomic.Bool
}

func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *trackedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
