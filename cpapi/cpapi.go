// Package cpapi serves callers over HTTP and JSON: it checks requests, bounds their size and number, and
// writes answers and refusals. It decides nothing about a query.
package cpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpjson"
)

// Entry is an entry VM that a caller may use.
type Entry struct {
	VM      clementineport.VMID
	Address string
	Domain  clementineport.FailureDomain
	Ticket  string
}

// Service answers callers.
type Service interface {
	// Query runs a query; the error is an *clementineport.Error.
	Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error)
	// Refuse returns the refusal, or the outcome of a non-idempotent query that an earlier send has begun.
	Refuse(ctx context.Context, q *clementineport.Query, refusal error) (*clementineport.Answer, error)
	// Entries returns the entry VMs for a caller, for how long to use them, and the revision in force.
	Entries(caller string, domain clementineport.FailureDomain) ([]Entry, time.Duration, clementineport.Revision)
	// Ready returns nil when this VM can serve queries, or the reason why not.
	Ready() error
}

type server struct {
	opts       Options
	next       Service
	inProgress atomic.Int64
}

// New returns the HTTP handler for callers.
func New(next Service, opts ...Option) http.Handler {
	s := &server{opts: newOptions(opts), next: next}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", s.query)
	mux.HandleFunc("GET /v1/entries", s.entries)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	for _, path := range []string{"/v1/query", "/v1/entries", "/livez", "/readyz"} {
		mux.HandleFunc(path, s.wrongMethod)
	}
	mux.HandleFunc("/", s.unknownPath)
	return mux
}

// queryBody is the body of POST /v1/query.
type queryBody struct {
	Request        clementineport.RequestID
	Service        clementineport.ServiceID
	Text           string
	Limit          int
	DeadlineMillis int64
	Idempotent     bool
	Policy         string
}

func (s *server) query(w http.ResponseWriter, r *http.Request) {
	tooMany := s.inProgress.Add(1) > int64(s.opts.MaxInProgress)
	defer s.inProgress.Add(-1)
	q, err := s.decode(w, r)
	if err != nil {
		s.fail(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	answer, err := s.answer(s.opts.ExtractTrace(ctx, r.Header.Get("Traceparent")), q, tooMany)
	if err != nil {
		s.fail(w, err)
		return
	}
	cpjson.Write(w, http.StatusOK, answer)
}

func (s *server) answer(ctx context.Context, q *clementineport.Query, tooMany bool) (*clementineport.Answer, error) {
	if !tooMany {
		return s.next.Query(ctx, q)
	}
	return s.next.Refuse(ctx, q, &clementineport.Error{
		Fault:      clementineport.FaultShed,
		Reason:     "too many requests in progress at this VM",
		RetryAfter: s.opts.RetryAfter,
	})
}

// decode reads and checks the body; the deadline starts when it has been read.
func (s *server) decode(w http.ResponseWriter, r *http.Request) (*clementineport.Query, error) {
	var body queryBody
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
			return nil, &tooLarge{limit: s.opts.MaxBodyBytes}
		}
		return nil, clementineport.Fail(clementineport.FaultInvalid, "body: %v", err)
	}
	if err := s.check(&body); err != nil {
		return nil, err
	}
	return &clementineport.Query{
		Request:    body.Request,
		Service:    body.Service,
		Text:       body.Text,
		Limit:      body.Limit,
		Deadline:   s.opts.Clock.Now().Add(time.Duration(body.DeadlineMillis) * time.Millisecond),
		Idempotent: body.Idempotent,
		Policy:     body.Policy,
	}, nil
}

func (s *server) check(body *queryBody) error {
	switch {
	case body.Request == "":
		return clementineport.Fail(clementineport.FaultInvalid, "Request: must be set")
	case len(body.Request) > MaxRequestIDBytes:
		return clementineport.Fail(clementineport.FaultInvalid, "Request: at most %d bytes", MaxRequestIDBytes)
	case body.Service == "":
		return clementineport.Fail(clementineport.FaultInvalid, "Service: must be set")
	case body.Limit < 1 || body.Limit > s.opts.MaxLimit:
		return clementineport.Fail(clementineport.FaultInvalid, "Limit: must be from 1 to %d", s.opts.MaxLimit)
	case body.DeadlineMillis < 1 || body.DeadlineMillis > s.opts.MaxDeadline.Milliseconds():
		return clementineport.Fail(clementineport.FaultInvalid, "DeadlineMillis: must be from 1 to %d", s.opts.MaxDeadline.Milliseconds())
	case body.Policy != "" && !s.opts.AllowPolicy:
		return clementineport.Fail(clementineport.FaultInvalid, "Policy: not allowed by the settings of this VM")
	}
	return nil
}

func (s *server) entries(w http.ResponseWriter, r *http.Request) {
	domain := clementineport.FailureDomain(r.URL.Query().Get("Domain"))
	entries, life, revision := s.next.Entries(r.RemoteAddr, domain)
	cpjson.Write(w, http.StatusOK, struct {
		Entries     []Entry
		LifeSeconds float64
		Revision    clementineport.Revision
	}{entries, life.Seconds(), revision})
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.next.Ready(); err != nil {
		s.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
