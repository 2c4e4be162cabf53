package cpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Limited serves callers on one listener with the limits in force. When the limits change, new connections get an
// HTTP server with the new ones, and open connections keep theirs.
type Limited struct {
	handler http.Handler
	limits  func() clementineport.CallerLimits
	grace   time.Duration

	mu      sync.Mutex
	current *generation
	all     []*generation
	wg      sync.WaitGroup
}

// NewLimited returns a server of a handler; requests in progress may take grace at the end.
func NewLimited(handler http.Handler, limits func() clementineport.CallerLimits, grace time.Duration) *Limited {
	return &Limited{handler: handler, limits: limits, grace: grace}
}

// generation is an HTTP server with one set of limits, and the listener that it takes connections from.
type generation struct {
	limits clementineport.CallerLimits
	http   *http.Server
	feed   *feedListener
}

// Serve accepts connections until ctx ends, and then waits for the requests in progress.
func (s *Limited) Serve(ctx context.Context, ln net.Listener) error {
	// Closing the listener ends Accept; an error of the close changes nothing.
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			s.shutDown()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		s.generation(ln.Addr()).feed.give(conn)
	}
}

// generation returns the HTTP server for the limits in force.
func (s *Limited) generation(addr net.Addr) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.limits()
	if s.current != nil && s.current.limits == limits {
		return s.current
	}
	g := &generation{limits: limits, feed: newFeedListener(addr), http: &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
	}}
	s.current, s.all = g, append(s.all, g)
	s.wg.Go(func() {
		// The feed ends only by its close, so the error says nothing more.
		_ = g.http.Serve(g.feed)
	})
	return g
}

// shutDown ends all generations after their requests in progress.
func (s *Limited) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), s.grace)
	defer cancel()
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, g := range all {
		wg.Go(func() {
			if g.http.Shutdown(ctx) != nil {
				_ = g.http.Close() // the connections that are left have had their time
			}
		})
	}
	wg.Wait()
	s.wg.Wait()
}

// feedListener is a listener whose connections are handed to it.
type feedListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newFeedListener(addr net.Addr) *feedListener {
	return &feedListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// give hands a connection over.
func (l *feedListener) give(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close() // the server has ended
	}
}

// Accept implements net.Listener.
func (l *feedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, errFeedClosed
	}
}

// Close implements net.Listener.
func (l *feedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *feedListener) Addr() net.Addr { return l.addr }

var errFeedClosed = errors.New("listener closed")
