// Package cpserver serves HTTP on a listener until a context ends. It decides when a server has ended;
// addresses, bounds, handlers and the time for a close are its caller's.
package cpserver

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Serve serves until the context ends. It then waits for the requests that are still being read or answered, at
// most for a grace period, and returns nil.
func Serve(ctx context.Context, srv *http.Server, ln net.Listener, grace time.Duration) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutDown(srv, grace)
	})
	err := srv.Serve(ln)
	if stop() {
		return err
	}
	<-closed
	return nil
}

// shutDown ends the listener, waits for the requests in progress and closes what is left.
func shutDown(srv *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
