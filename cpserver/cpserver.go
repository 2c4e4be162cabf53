// Package cpserver serves HTTP on a listener until a context ends, and then shuts down gracefully. The caller
// supplies addresses, limits, handlers and the grace period.
package cpserver

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Serve serves HTTP until ctx ends. It then waits for the requests that are still being read or answered, for at most
// the grace period, and returns nil.
func Serve(ctx context.Context, srv *http.Server, ln net.Listener, grace time.Duration) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdown(srv, grace)
	})
	err := srv.Serve(ln)
	if stop() {
		return err
	}
	<-closed
	return nil
}

// shutdown closes the listener, waits for the requests in progress and closes the remaining connections.
func shutdown(srv *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}
