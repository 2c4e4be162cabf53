package cpcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfailover"
	"github.com/clementineport/clementineport/cpjson"
)

// sender sends the HTTP requests of a caller.
type sender struct {
	opts   *Options
	client *http.Client
}

func newSender(o *Options) *sender {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if err := o.Allow(address); err != nil {
				return nil, err
			}
			conn, err := o.Dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConns:        DefaultMaxIdleConns,
		MaxIdleConnsPerHost: DefaultMaxIdleConnsPerEntry,
		IdleConnTimeout:     DefaultIdleTimeout,
		DisableCompression:  true,
	}
	return &sender{
		opts: o,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// query sends a query to one entry.
func (s *sender) query(
	ctx context.Context, address string, q *clementineport.Query, left time.Duration,
) (*clementineport.Answer, *clementineport.Error) {
	body, err := json.Marshal(struct {
		Request        clementineport.RequestID
		Service        clementineport.ServiceID
		Text           string
		Limit          int
		DeadlineMillis int64
		Idempotent     bool
		Policy         string `json:",omitempty"`
	}{q.Request, q.Service, q.Text, q.Limit, max(left.Milliseconds(), 1), q.Idempotent, q.Policy})
	if err != nil {
		return nil, newError(clementineport.FaultInvalid, err)
	}
	status, data, fault, err := s.do(ctx, http.MethodPost, address, "/v1/query", nil, body)
	switch {
	case err != nil:
		return nil, newError(fault, err)
	case status != http.StatusOK:
		return nil, refusal(status, data)
	}
	answer := new(clementineport.Answer)
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, newError(clementineport.FaultMalformed, err)
	}
	if answer.Request != q.Request {
		return nil, clementineport.Fail(clementineport.FaultMismatched, "answer to %q", answer.Request)
	}
	return answer, nil
}

// entries fetches the entry list and its TTL from one entry.
func (s *sender) entries(ctx context.Context, address string) ([]cpfailover.Entry, time.Duration, error) {
	values := url.Values{"Domain": {string(s.opts.Domain)}}
	status, data, fault, err := s.do(ctx, http.MethodGet, address, "/v1/entries", values, nil)
	switch {
	case err != nil:
		return nil, 0, newError(fault, err)
	case status != http.StatusOK:
		return nil, 0, refusal(status, data)
	}
	var list struct {
		Entries     []cpfailover.Entry
		LifeSeconds float64
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, 0, newError(clementineport.FaultMalformed, err)
	}
	if len(list.Entries) == 0 {
		return nil, 0, clementineport.Fail(clementineport.FaultMalformed, "%s listed no entry", address)
	}
	return list.Entries, time.Duration(list.LifeSeconds * float64(time.Second)), nil
}

func (s *sender) do(
	ctx context.Context, method, address, path string, values url.Values, body []byte,
) (status int, data []byte, fault clementineport.Fault, err error) {
	var trace sendTrace
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: values.Encode()}
	r, err := http.NewRequestWithContext(trace.context(ctx), method, u.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, clementineport.FaultInvalid, err
	}
	r.GetBody = nil // the transport must not resend a body
	r.Header.Set("Content-Type", "application/json")
	if parent := s.opts.Inject(ctx); parent != "" {
		r.Header.Set("Traceparent", parent)
	}
	w, err := s.client.Do(r)
	if err != nil {
		return 0, nil, sendFault(ctx, &trace, err), err
	}
	defer w.Body.Close()
	data, err = io.ReadAll(io.LimitReader(w.Body, s.opts.MaxAnswerBytes+1))
	switch {
	case err != nil && isTimeout(ctx, err):
		return 0, nil, clementineport.FaultTimeout, err
	case err != nil:
		return 0, nil, clementineport.FaultCut, err
	case int64(len(data)) > s.opts.MaxAnswerBytes:
		return 0, nil, clementineport.FaultOversized, errors.New("answer larger than allowed")
	}
	return w.StatusCode, data, clementineport.FaultUnknown, nil
}

// sendFault classifies a request that got no response.
func sendFault(ctx context.Context, trace *sendTrace, err error) clementineport.Fault {
	switch {
	case !trace.connected():
		return clementineport.FaultRefused
	case !trace.mayHaveWritten():
		return clementineport.FaultUnsent
	case isTimeout(ctx, err):
		return clementineport.FaultTimeout
	case errors.Is(err, context.Canceled):
		return clementineport.FaultCanceled
	default:
		return clementineport.FaultReset
	}
}

func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func newError(fault clementineport.Fault, err error) *clementineport.Error {
	return &clementineport.Error{Fault: fault, Err: err}
}

// refusal returns the error of a response that is not an answer. A fault that means "not run" is accepted only if the
// verdict in the body agrees.
func refusal(status int, data []byte) *clementineport.Error {
	var body struct {
		cpjson.Refusal
		RetryAfterMillis int64
		Entry            string
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return clementineport.Fail(clementineport.FaultMalformed, "status %d without a verdict", status)
	}
	e := clementineport.Fail(body.Fault, "%s", body.Reason)
	e.RetryAfter = time.Duration(body.RetryAfterMillis) * time.Millisecond
	if body.Verdict != clementineport.NotRun && body.Fault.Verdict() == clementineport.NotRun {
		e.Fault = clementineport.FaultInternal
		e.Reason = body.Fault.String() + ", verdict " + body.Verdict.String() + ": " + body.Reason
	}
	e.Entry = body.Entry
	return e
}
