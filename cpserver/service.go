package cpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of listeners.
var Error = errs.Class("listener")

// Service is one listener and its server as a supervised service (suture.Service).
type Service struct {
	name     string
	listener net.Listener
	http     *http.Server
	grace    time.Duration
}

// NewService returns the service of a listener; requests in progress may take grace at the end.
func NewService(name string, ln net.Listener, srv *http.Server, grace time.Duration) *Service {
	return &Service{name: name, listener: ln, http: srv, grace: grace}
}

// Serve serves until ctx ends. It returns when the requests that are still being read or answered have ended.
func (s *Service) Serve(ctx context.Context) error {
	if err := Serve(ctx, s.http, s.listener, s.grace); err != nil {
		return Error.New("%s: %v", s.name, err)
	}
	return ctx.Err()
}

// String names the service in the supervisor's events.
func (s *Service) String() string { return s.name }
