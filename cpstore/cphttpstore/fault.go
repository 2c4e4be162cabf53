package cphttpstore

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementineport/clementineport"
)

// requestTrace records whether a request got a connection.
type requestTrace struct {
	connected atomic.Bool
}

func (t *requestTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// classify returns the error of a failed request. A request that got a connection may have been written to it, so it
// may have run.
func (t *requestTrace) classify(ctx context.Context, err error) error {
	e := &clementineport.Error{Reason: "call the store", Err: err}
	switch {
	case !t.connected.Load() && errors.Is(err, syscall.ECONNREFUSED):
		e.Fault = clementineport.FaultRefused
	case !t.connected.Load():
		e.Fault = clementineport.FaultUnsent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Fault = clementineport.FaultTimeout
	case ctx.Err() != nil:
		e.Fault = clementineport.FaultCanceled
	default:
		e.Fault = clementineport.FaultReset
	}
	return e
}

// statusFault returns the fault of an error response without a readable body.
func statusFault(status int) clementineport.Fault {
	switch status {
	case http.StatusConflict:
		return clementineport.FaultConflict
	case http.StatusTooManyRequests:
		return clementineport.FaultShed
	default:
		return clementineport.FaultInternal
	}
}

func refusal(resp *http.Response, data []byte) error {
	var body struct {
		Fault  clementineport.Fault
		Reason string
	}
	e := &clementineport.Error{Fault: statusFault(resp.StatusCode), Reason: resp.Status}
	if json.Unmarshal(data, &body) == nil && body.Fault != clementineport.FaultUnknown {
		e.Fault, e.Reason = body.Fault, body.Reason
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

func newTransport(o *Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    o.Connections,
		MaxConnsPerHost:        o.Connections,
		IdleConnTimeout:        o.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
