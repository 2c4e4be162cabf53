// Package cpapi is the HTTP and JSON API for callers. It validates requests, limits their size and number, and
// writes answers and refusals. It makes no decisions about queries; a Service runs them.
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

// Service runs the queries of callers.
type Service interface {
	// Query runs a query; the error is an *clementineport.Error.
	Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error)
	// Refuse returns the refusal, or the outcome of a non-idempotent query that an earlier send has started.
	Refuse(ctx context.Context, q *clementineport.Query, refusal error) (*clementineport.Answer, error)
	// Entries returns the entry list for a caller, its TTL and the revision in force.
	Entries(caller string, domain clementineport.FailureDomain) ([]Entry, time.Duration, clementineport.Revision)
	// Ready returns nil if this VM can serve queries, and the reason otherwise.
	Ready() error
}

type server struct {
	opts       Options
	service    Service
	inProgress atomic.Int64
}

// New returns the HTTP handler for callers.
func New(service Service, opts ...Option) http.Handler {
	s := &server{opts: newOptions(opts), service: service}
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
	overLimit := s.inProgress.Add(1) > int64(s.opts.MaxInProgress)
	defer s.inProgress.Add(-1)
	q, err := s.decode(w, r)
	if err != nil {
		s.fail(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	answer, err := s.answer(s.opts.ExtractTrace(ctx, r.Header.Get("Traceparent")), q, overLimit)
	if err != nil {
		s.fail(w, err)
		return
	}
	cpjson.Write(w, http.StatusOK, answer)
}

func (s *server) answer(ctx context.Context, q *clementineport.Query, overLimit bool) (*clementineport.Answer, error) {
	if !overLimit {
		return s.service.Query(ctx, q)
	}
	return s.service.Refuse(ctx, q, &clementineport.Error{
		Fault:      clementineport.FaultShed,
		Reason:     "too many requests in progress at this VM",
		RetryAfter: s.opts.RetryAfter,
	})
}

// decode reads and validates the body. The deadline of the query counts from when the body has been read.
func (s *server) decode(w http.ResponseWriter, r *http.Request) (*clementineport.Query, error) {
	var body queryBody
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
			return nil, &bodyTooLargeError{limit: s.opts.MaxBodyBytes}
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
	entries, ttl, revision := s.service.Entries(r.RemoteAddr, domain)
	cpjson.Write(w, http.StatusOK, struct {
		Entries     []Entry
		LifeSeconds float64
		Revision    clementineport.Revision
	}{entries, ttl.Seconds(), revision})
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.service.Ready(); err != nil {
		s.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
