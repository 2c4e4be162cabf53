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

// fakeService returns the given results. If release is set, queries block until it is closed.
type fakeService struct {
	err     error
	ready   error
	release chan struct{}
	queries chan *clementineport.Query
	// refused lists the requests passed to Refuse.
	refused []clementineport.RequestID
}

func (s *fakeService) Query(_ context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	s.queries <- q
	if s.release != nil {
		<-s.release
	}
	if s.err != nil {
		return nil, s.err
	}
	return &clementineport.Answer{Request: q.Request, Shards: 1, Covered: []clementineport.ShardID{0}, Complete: true, Verdict: clementineport.Ran}, nil
}

func (s *fakeService) Refuse(_ context.Context, q *clementineport.Query, refusal error) (*clementineport.Answer, error) {
	s.refused = append(s.refused, q.Request)
	return nil, refusal
}

func (*fakeService) Entries(string, clementineport.FailureDomain) ([]cpapi.Entry, time.Duration, clementineport.Revision) {
	return []cpapi.Entry{{VM: "vm-1", Address: "127.0.0.1:1", Domain: "a", Ticket: "s.1"}}, 10 * time.Second, 7
}

func (s *fakeService) Ready() error { return s.ready }

func newService() *fakeService { return &fakeService{queries: make(chan *clementineport.Query, 8)} }

const queryBody = `{"Request":"q1","Service":"desk","Text":"name","Limit":10,"DeadlineMillis":500,"Idempotent":true}`

// refusalBody is the body of a refused query.
type refusalBody struct {
	Verdict          clementineport.Verdict
	Fault            clementineport.Fault
	RetryAfterMillis int64
	Entry            string
}

func post(t *testing.T, h http.Handler, body string) (*httptest.ResponseRecorder, refusalBody) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(body)))
	var r refusalBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &r), "%s", w.Body)
	return w, r
}

func TestRefusedBodiesDoNotRun(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
	}{
		{"no JSON", "query", http.StatusBadRequest},
		{"cut", queryBody[:40], http.StatusBadRequest},
		{"unknown field", `{"Request":"q","Colour":1}`, http.StatusBadRequest},
		{"no request id", strings.Replace(queryBody, `"q1"`, `""`, 1), http.StatusBadRequest},
		{"long request id", strings.Replace(queryBody, "q1", strings.Repeat("q", cpapi.MaxRequestIDBytes+1), 1), http.StatusBadRequest},
		{"no service", strings.Replace(queryBody, `"desk"`, `""`, 1), http.StatusBadRequest},
		{"no limit", strings.Replace(queryBody, `"Limit":10`, `"Limit":0`, 1), http.StatusBadRequest},
		{"limit too high", strings.Replace(queryBody, `"Limit":10`, `"Limit":1001`, 1), http.StatusBadRequest},
		{"no deadline", strings.Replace(queryBody, "500", "0", 1), http.StatusBadRequest},
		{"deadline too late", strings.Replace(queryBody, "500", "60001", 1), http.StatusBadRequest},
		{"policy not allowed", strings.Replace(queryBody, `"Limit"`, `"Policy":"baseline","Limit"`, 1), http.StatusBadRequest},
		{"too large", strings.Replace(queryBody, "name", strings.Repeat("n", 400), 1), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newService()
			w, r := post(t, cpapi.New(s, cpapi.WithClock(clockwork.NewRealClock()), cpapi.WithMaxBodyBytes(300)), tt.body)
			assert.Equal(t, w.Code, tt.status)
			assert.Equal(t, r.Verdict, clementineport.NotRun)
			assert.Equal(t, r.Fault, clementineport.FaultInvalid)
			assert.Equal(t, len(s.queries), 0)
		})
	}
}

// TestFaultsReachTheCaller checks that every fault reaches the caller with its verdict, the time after which to retry
// and the address of another entry VM.
func TestFaultsReachTheCaller(t *testing.T) {
	for _, f := range clementineport.Faults() {
		t.Run(f.String(), func(t *testing.T) {
			s := newService()
			s.err = &clementineport.Error{Fault: f, RetryAfter: 1200 * time.Millisecond, Entry: "127.0.0.1:2"}
			w, r := post(t, cpapi.New(s, cpapi.WithClock(clockwork.NewRealClock())), queryBody)
			assert.Equal(t, w.Code, cpapi.Status(f))
			assert.Assert(t, w.Code >= http.StatusBadRequest)
			assert.DeepEqual(t, r, refusalBody{Verdict: f.Verdict(), Fault: f, RetryAfterMillis: 1200, Entry: "127.0.0.1:2"})
			assert.Equal(t, w.Header().Get("Retry-After"), "2")
		})
	}
}

func TestAnswersAndEntryList(t *testing.T) {
	s, clock := newService(), clockwork.NewFakeClock()
	h := cpapi.New(s, cpapi.WithClock(clock))
	w, _ := post(t, h, queryBody)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), `"Request":"q1"`) && strings.Contains(w.Body.String(), `"Covered":[0]`), "%s", w.Body)
	q := <-s.queries
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
	s.release = make(chan struct{})
	h := cpapi.New(s, cpapi.WithClock(clockwork.NewRealClock()), cpapi.WithMaxInProgress(1))
	firstStatus := make(chan int)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(queryBody)))
		firstStatus <- w.Code
	}()
	<-s.queries
	w, r := post(t, h, queryBody)
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, r.Verdict, clementineport.NotRun)
	assert.Assert(t, r.RetryAfterMillis > 0)
	assert.DeepEqual(t, s.refused, []clementineport.RequestID{"q1"})
	close(s.release)
	assert.Equal(t, <-firstStatus, http.StatusOK)
	w, _ = post(t, h, queryBody)
	assert.Equal(t, w.Code, http.StatusOK)
}
