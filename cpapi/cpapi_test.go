package cpapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpapi"
)

// service answers with the outcome it is given, and can hold queries.
type service struct {
	err    error
	ready  error
	held   chan struct{}
	queued chan *clementineport.Query
	// refused are the requests that were to be refused unless an earlier send has begun.
	refused []clementineport.RequestID
}

func (s *service) Query(_ context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	s.queued <- q
	if s.held != nil {
		<-s.held
	}
	if s.err != nil {
		return nil, s.err
	}
	return &clementineport.Answer{Request: q.Request, Shards: 1, Covered: []clementineport.ShardID{0}, Complete: true, Verdict: clementineport.Ran}, nil
}

func (s *service) Refuse(_ context.Context, q *clementineport.Query, refusal error) (*clementineport.Answer, error) {
	s.refused = append(s.refused, q.Request)
	return nil, refusal
}

func (*service) Entries(string, clementineport.FailureDomain) ([]cpapi.Entry, time.Duration, clementineport.Revision) {
	return []cpapi.Entry{{VM: "vm-1", Address: "127.0.0.1:1", Domain: "a", Ticket: "s.1"}}, 10 * time.Second, 7
}

func (s *service) Ready() error { return s.ready }

func newService() *service { return &service{queued: make(chan *clementineport.Query, 8)} }

const query = `{"Request":"q1","Service":"desk","Text":"name","Limit":10,"DeadlineMillis":500,"Idempotent":true}`

// refusal is the body of a refused query.
type refusal struct {
	Verdict          clementineport.Verdict
	Fault            clementineport.Fault
	RetryAfterMillis int64
	Entry            string
}

func post(t *testing.T, h http.Handler, body string) (*httptest.ResponseRecorder, refusal) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(body)))
	var r refusal
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &r), "%s", w.Body)
	return w, r
}

func TestRefusedBodiesDoNotRun(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
	}{
		{"no JSON", "query", http.StatusBadRequest},
		{"cut", query[:40], http.StatusBadRequest},
		{"unknown field", `{"Request":"q","Colour":1}`, http.StatusBadRequest},
		{"no request id", strings.Replace(query, `"q1"`, `""`, 1), http.StatusBadRequest},
		{"long request id", strings.Replace(query, "q1", strings.Repeat("q", cpapi.MaxRequestIDBytes+1), 1), http.StatusBadRequest},
		{"no service", strings.Replace(query, `"desk"`, `""`, 1), http.StatusBadRequest},
		{"no limit", strings.Replace(query, `"Limit":10`, `"Limit":0`, 1), http.StatusBadRequest},
		{"limit too high", strings.Replace(query, `"Limit":10`, `"Limit":1001`, 1), http.StatusBadRequest},
		{"no deadline", strings.Replace(query, "500", "0", 1), http.StatusBadRequest},
		{"deadline too late", strings.Replace(query, "500", "60001", 1), http.StatusBadRequest},
		{"policy not allowed", strings.Replace(query, `"Limit"`, `"Policy":"baseline","Limit"`, 1), http.StatusBadRequest},
		{"too large", strings.Replace(query, "name", strings.Repeat("n", 400), 1), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newService()
			w, r := post(t, cpapi.New(s, cpapi.WithClock(clockwork.NewRealClock()), cpapi.WithMaxBodyBytes(300)), tt.body)
			assert.Equal(t, w.Code, tt.status)
			assert.Equal(t, r.Verdict, clementineport.NotRun)
			assert.Equal(t, r.Fault, clementineport.FaultInvalid)
			assert.Equal(t, len(s.queued), 0)
		})
	}
}

// Every fault reaches the caller with its own verdict, when to come back and another entry VM.
func TestFaultsReachTheCaller(t *testing.T) {
	for _, f := range clementineport.Faults() {
		t.Run(f.String(), func(t *testing.T) {
			s := newService()
			s.err = &clementineport.Error{Fault: f, RetryAfter: 1200 * time.Millisecond, Entry: "127.0.0.1:2"}
			w, r := post(t, cpapi.New(s, cpapi.WithClock(clockwork.NewRealClock())), query)
			assert.Equal(t, w.Code, cpapi.Status(f))
			assert.Assert(t, w.Code >= http.StatusBadRequest)
			assert.DeepEqual(t, r, refusal{Verdict: f.Verdict(), Fault: f, RetryAfterMillis: 1200, Entry: "127.0.0.1:2"})
			assert.Equal(t, w.Header().Get("Retry-After"), "2")
		})
	}
}

func TestAnswersAndAdvice(t *testing.T) {
	s, clock := newService(), clockwork.NewFakeClock()
	h := cpapi.New(s, cpapi.WithClock(clock))
	w, _ := post(t, h, query)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), `"Request":"q1"`) && strings.Contains(w.Body.String(), `"Covered":[0]`), "%s", w.Body)
	q := <-s.queued
	assert.Equal(t, q.Deadline, clock.Now().Add(500*time.Millisecond))
	assert.Assert(t, q.Idempotent)

	for path, want := range map[string]string{
		"/v1/entries?Domain=a": `{"Entries":[{"VM":"vm-1","Address":"127.0.0.1:1","Domain":"a","Ticket":"s.1"}],"LifeSeconds":10,"Revision":7}`,
		"/livez":               "",
		"/readyz":              "",
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, strings.TrimSpace(w.Body.String()), want)
	}
	s.ready = clementineport.Fail(clementineport.FaultUnavailable, "no configuration")
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", http.NoBody))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

func TestTooManyInProgressAreShed(t *testing.T) {
	s := newService()
	s.held = make(chan struct{})
	h := cpapi.New(s, cpapi.WithClock(clockwork.NewRealClock()), cpapi.WithMaxInProgress(1))
	first := make(chan int)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(query)))
		first <- w.Code
	}()
	<-s.queued
	w, r := post(t, h, query)
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, r.Verdict, clementineport.NotRun)
	assert.Assert(t, r.RetryAfterMillis > 0)
	assert.DeepEqual(t, s.refused, []clementineport.RequestID{"q1"})
	close(s.held)
	assert.Equal(t, <-first, http.StatusOK)
	w, _ = post(t, h, query)
	assert.Equal(t, w.Code, http.StatusOK)
}
