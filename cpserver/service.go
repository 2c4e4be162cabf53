package cpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the error class of listeners.
var Error = errs.Class("listener")

// Service runs an HTTP server on a listener as a supervised service; it implements suture.Service.
type Service struct {
	name     string
	listener net.Listener
	http     *http.Server
	grace    time.Duration
}

// NewService returns a service that serves srv on ln. On shutdown, requests in progress have the grace period to end.
func NewService(name string, ln net.Listener, srv *http.Server, grace time.Duration) *Service {
	return &Service{name: name, listener: ln, http: srv, grace: grace}
}

// Serve serves until ctx ends. It then waits for the requests that are still being read or answered, for at most the
// grace period.
func (s *Service) Serve(ctx context.Context) error {
	if err := Serve(ctx, s.http, s.listener, s.grace); err != nil {
		return Error.New("%s: %v", s.name, err)
	}
	return ctx.Err()
}

// String returns the name of the service, which appears in the supervisor's events.
func (s *Service) String() string { return s.name }
