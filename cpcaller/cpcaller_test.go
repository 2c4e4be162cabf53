package cpcaller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcaller"
)

// fakeEntries is a pair of fake entry VMs. The first one simulates a fault. The second one refuses non-idempotent
// requests whose id has the first one's ticket, since it can't know whether they ran.
type fakeEntries struct {
	mu      sync.Mutex
	servers [2]*httptest.Server
	fault   func(f *fakeEntries, w http.ResponseWriter, id string)
	runs    map[string]int
	sends   int
}

func newFakeEntries(t *testing.T) *fakeEntries {
	f := &fakeEntries{runs: make(map[string]int)}
	for i := range f.servers {
		f.servers[i] = httptest.NewServer(f.handler(i))
		t.Cleanup(f.servers[i].Close)
	}
	return f
}

func (f *fakeEntries) address(i int) string { return f.servers[i].Listener.Addr().String() }

func (f *fakeEntries) handler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"Entries":[{"VM":"vm-0","Address":%q,"Ticket":"s0.1"},{"VM":"vm-1","Address":%q,"Ticket":"s1.1"}],"LifeSeconds":20}`,
			f.address(0), f.address(1))
	})
	mux.HandleFunc("POST /v1/query", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Request    string
			Idempotent bool
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		f.mu.Lock()
		f.sends++
		fault := f.fault
		f.mu.Unlock()
		switch {
		case i == 0 && fault != nil:
			fault(f, w, body.Request)
		case !body.Idempotent && !strings.HasPrefix(body.Request, fmt.Sprintf("s%d.1.", i)):
			writeRefusal(w, http.StatusConflict, `{"Verdict":"may-have-run","Fault":"duplicate"}`)
		default:
			f.run(body.Request)
			writeAnswer(w, body.Request)
		}
	})
	return mux
}

func (f *fakeEntries) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (f *fakeEntries) setFault(fault func(f *fakeEntries, w http.ResponseWriter, id string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.sends = fault, 0
	clear(f.runs)
}

func writeAnswer(w http.ResponseWriter, id string) {
	fmt.Fprintf(w, `{"Request":%q,"Verdict":"ran","Snapshot":{"Version":3,"Layout":1},"Shards":2,"Covered":[0],`+
		`"Missing":[{"Shard":1,"State":"failed","Fault":"reset"}],"Hits":[{"Record":"r1","Score":1}]}`, id)
}

func writeRefusal(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	fmt.Fprint(w, body)
}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func TestFaultsOfAnEntry(t *testing.T) {
	const answered = "answered"
	tests := []struct {
		name  string
		fault func(f *fakeEntries, w http.ResponseWriter, id string)
		// idempotent and nonIdempotent are the expected outcomes of an idempotent and of a non-idempotent query.
		idempotent, nonIdempotent string
	}{
		{"refused", nil, answered, answered},
		{"reset before it ran", func(_ *fakeEntries, w http.ResponseWriter, _ string) { resetConnection(w) }, answered, "may-have-run"},
		{"reset after it ran", func(f *fakeEntries, w http.ResponseWriter, id string) { f.run(id); resetConnection(w) }, answered, "may-have-run"},
		{"cut body", func(f *fakeEntries, w http.ResponseWriter, id string) {
			f.run(id)
			w.Header().Set("Content-Length", "1000")
			writeAnswer(w, id)
		}, answered, "may-have-run"},
		{"hang", func(f *fakeEntries, w http.ResponseWriter, id string) {
			f.run(id)
			conn, _, _ := w.(http.Hijacker).Hijack()
			time.AfterFunc(time.Second, func() { _ = conn.Close() })
		}, answered, "may-have-run"},
		{"shed", func(_ *fakeEntries, w http.ResponseWriter, _ string) {
			writeRefusal(w, http.StatusTooManyRequests, `{"Verdict":"not-run","Fault":"shed","RetryAfterMillis":120}`)
		}, "not-run after 120ms", "not-run after 120ms"},
		{"draining", func(f *fakeEntries, w http.ResponseWriter, _ string) {
			writeRefusal(w, http.StatusServiceUnavailable, fmt.Sprintf(`{"Verdict":"not-run","Fault":"draining","Entry":%q}`, f.address(1)))
		}, answered, answered},
		{"refusal that may have run", func(f *fakeEntries, w http.ResponseWriter, id string) {
			f.run(id)
			writeRefusal(w, http.StatusServiceUnavailable, `{"Verdict":"may-have-run","Fault":"unavailable"}`)
		}, answered, "may-have-run"},
		{"malformed", func(f *fakeEntries, w http.ResponseWriter, id string) { f.run(id); fmt.Fprint(w, `{"Request":`) }, answered, "may-have-run"},
		{"error without a verdict", func(f *fakeEntries, w http.ResponseWriter, id string) {
			f.run(id)
			writeRefusal(w, http.StatusBadGateway, "<html>")
		}, answered, "may-have-run"},
		{"oversized", func(f *fakeEntries, w http.ResponseWriter, id string) {
			f.run(id)
			fmt.Fprint(w, strings.Repeat("x", 2000))
		}, answered, "may-have-run"},
		{"mismatched", func(f *fakeEntries, w http.ResponseWriter, id string) { f.run(id); writeAnswer(w, "other") }, answered, "may-have-run"},
		{"too little covered", func(f *fakeEntries, w http.ResponseWriter, id string) {
			f.run(id)
			writeRefusal(w, http.StatusBadGateway, `{"Verdict":"may-have-run","Fault":"coverage"}`)
		}, "may-have-run", "may-have-run"},
		{"invalid", func(_ *fakeEntries, w http.ResponseWriter, _ string) {
			writeRefusal(w, http.StatusBadRequest, `{"Verdict":"not-run","Fault":"invalid"}`)
		}, "not-run", "not-run"},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/Idempotent=%t", tt.name, idempotent), func(t *testing.T) {
				f := newFakeEntries(t)
				c := cpcaller.New(
					cpcaller.WithSeeds(f.address(1)),
					cpcaller.WithMaxAnswerBytes(1000),
					cpcaller.WithRand(func() float64 { return 0.99 }),
				)
				defer c.Close()
				// Queries before the fault open connections to both entries, which the query under test reuses.
				// They are left out if the entry is down, since a failure of a reused connection would not prove
				// that the query was not sent.
				for range 2 {
					if tt.fault == nil {
						break
					}
					_, err := c.Query(t.Context(), &clementineport.Query{Service: "desk", Idempotent: true})
					assert.NilError(t, err)
				}
				f.setFault(tt.fault)
				if tt.fault == nil {
					f.servers[0].Close()
				}
				a, err := c.Query(t.Context(), &clementineport.Query{
					Service: "desk", Idempotent: idempotent, Deadline: time.Now().Add(500 * time.Millisecond),
				})
				want := tt.nonIdempotent
				if idempotent {
					want = tt.idempotent
				}
				assert.Equal(t, outcome(a, err), want, "%v", err)
				f.mu.Lock()
				defer f.mu.Unlock()
				if !idempotent {
					assert.Assert(t, len(f.runs) <= 1, "must not run under several ids: %v", f.runs)
					for id, n := range f.runs {
						assert.Equal(t, n, 1, "id %s", id)
					}
				}
				if strings.HasPrefix(want, "not-run") {
					assert.Equal(t, f.sends, 1, "a final refusal must not be resent")
				}
			})
		}
	}
}

func outcome(a *clementineport.Answer, err error) string {
	switch e, _ := err.(*clementineport.Error); {
	case err == nil && a.Missing[0].State == clementineport.ShardFailed && a.Snapshot.Version == 3:
		return "answered"
	case err == nil:
		return "wrong answer"
	case e.RetryAfter > 0:
		return fmt.Sprintf("%s after %s", e.Verdict(), e.RetryAfter)
	default:
		return e.Verdict().String()
	}
}

func TestNoEntryIsUnavailable(t *testing.T) {
	f := newFakeEntries(t)
	f.servers[1].Close()
	c := cpcaller.New(cpcaller.WithSeeds(f.address(1)))
	_, err := c.Query(t.Context(), &clementineport.Query{Service: "desk"})
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultUnavailable)

	refused := cpcaller.New(cpcaller.WithSeeds(f.address(0)), cpcaller.WithAllow(func(address string) error {
		return fmt.Errorf("%s is not allowed", address)
	}))
	_, err = refused.Query(t.Context(), &clementineport.Query{Service: "desk"})
	assert.ErrorContains(t, err, "is not allowed")
}

func TestSeedsAreAskedWhenEveryListedEntryIsDead(t *testing.T) {
	f := newFakeEntries(t)
	f.servers[0].Close()
	listed := f.address(0)
	seed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"Entries":[{"Address":%q}],"LifeSeconds":0}`, listed)
		listed = f.address(1) // later responses list a live entry
	}))
	defer seed.Close()
	c := cpcaller.New(cpcaller.WithSeeds(seed.Listener.Addr().String()))
	defer c.Close()
	a, err := c.Query(t.Context(), &clementineport.Query{Service: "desk", Idempotent: true})
	assert.Equal(t, outcome(a, err), "answered", "%v", err)
}

// A caller fetches the entry list from its seeds. Each query states whether it is idempotent.
func ExampleNew() {
	entry := httptest.NewServer(nil)
	defer entry.Close()
	address := entry.Listener.Addr().String()
	entry.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			fmt.Fprintf(w, `{"Entries":[{"VM":"vm-1","Address":%q}],"LifeSeconds":20}`, address)
			return
		}
		writeAnswer(w, "desk-1")
	})
	caller := cpcaller.New(cpcaller.WithSeeds(address))
	defer caller.Close()
	a, err := caller.Query(context.Background(), &clementineport.Query{
		Request: "desk-1", Service: "booking-desk", Text: "record 17", Limit: 10, Idempotent: true,
	})
	if err != nil {
		fmt.Println(clementineport.VerdictOf(err), err)
		return
	}
	fmt.Printf("%d hits of %s, %d of %d shards\n", len(a.Hits), a.Snapshot, len(a.Covered), a.Shards)
	// Output: 1 hits of v3/l1, 1 of 2 shards
}
