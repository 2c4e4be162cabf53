package cpdrain

import (
	"context"
	"errors"
	"sync/atomic"
)

// errEnded is the cause with which End cancels the contexts of requests.
var errEnded = errors.New("this VM is shutting down and ends its requests")

// Requests are the requests in flight of a process. It is safe for concurrent use.
type Requests struct {
	inFlight atomic.Int64
	ended    context.Context
	end      context.CancelFunc
}

// NewRequests returns an empty Requests.
func NewRequests() *Requests {
	ended, end := context.WithCancel(context.Background())
	return &Requests{ended: ended, end: end}
}

// Begin adds a request. It returns the context of the request, which End cancels, and a function to call once the request is answered.
func (q *Requests) Begin(ctx context.Context) (request context.Context, done func()) {
	q.inFlight.Add(1)
	request, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(q.ended, func() { cancel(errEnded) })
	return request, func() {
		stop()
		cancel(nil)
		q.inFlight.Add(-1)
	}
}

// InFlight returns the number of requests in flight.
func (q *Requests) InFlight() int { return int(q.inFlight.Load()) }

// End cancels the contexts of all requests, also of those that begin later, so that they are answered without waiting for targets.
func (q *Requests) End() { q.end() }

// Ended reports whether the context of a request was canceled by End.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEnded) }
