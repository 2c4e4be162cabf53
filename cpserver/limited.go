package cpserver

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpclientlimit"
)

// Limited serves callers on one listener with the limits in force. When the limits change, new connections are served
// with the new limits, and open connections keep the ones that they were accepted with.
type Limited struct {
	handler http.Handler
	limits  func() clementineport.CallerLimits
	grace   time.Duration
	// accepting is true while Serve accepts connections.
	accepting atomic.Bool

	mu      sync.Mutex
	current *generation
	all     []*generation
	wg      sync.WaitGroup
}

// NewLimited returns a server for handler. On shutdown, requests in progress have the grace period to end.
func NewLimited(handler http.Handler, limits func() clementineport.CallerLimits, grace time.Duration) *Limited {
	return &Limited{handler: handler, limits: limits, grace: grace}
}

// generation is an HTTP server with one set of limits, and the listener from which it accepts connections.
type generation struct {
	limits   clementineport.CallerLimits
	http     *http.Server
	listener *connListener
}

// Bounds of the pause after a failed accept, which is for want of descriptors or memory.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
)

// Timeouts of connections that are accepted while there are no limits.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
)

// Accepting reports whether the server accepts connections.
func (s *Limited) Accepting() bool { return s.accepting.Load() }

// Serve accepts connections until ctx ends or the listener is closed, and then waits for the requests in progress, for at most the
// grace period. After any other failure to accept one it goes on. It may be called again.
func (s *Limited) Serve(ctx context.Context, ln net.Listener) error {
	// Closing the listener makes Accept return; the error of Close is irrelevant.
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	s.accepting.Store(true)
	defer s.accepting.Store(false)
	pause := minAcceptPause
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			s.generation(ln.Addr()).listener.deliver(conn)
		case ctx.Err() != nil:
			s.shutdown()
			return nil
		case errors.Is(err, net.ErrClosed):
			s.shutdown()
			return err
		default:
			metrics.GetOrCreateCounter("clementineport_accept_failures_total").Inc()
			clementineport.Sleep(ctx, clockwork.NewRealClock(), pause)
			pause = min(2*pause, maxAcceptPause)
		}
	}
}

// generation returns the generation for the limits in force, and starts it if it is new.
func (s *Limited) generation(addr net.Addr) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.limits()
	if s.current != nil && s.current.limits == limits {
		return s.current
	}
	g := &generation{limits: limits, listener: newConnListener(addr), http: cpclientlimit.Guard(&http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       cmp.Or(limits.IdleTimeout, defaultIdleTimeout),
	})}
	s.current, s.all = g, append(s.all, g)
	s.wg.Go(func() {
		// Accept fails only after Close, so the error carries no information.
		_ = g.http.Serve(g.listener)
	})
	return g
}

// shutdown shuts down all generations and waits for their requests in progress, for at most the grace period.
func (s *Limited) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), s.grace)
	defer cancel()
	s.mu.Lock()
	all := s.all
	s.current, s.all = nil, nil
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, g := range all {
		wg.Go(func() {
			if g.http.Shutdown(ctx) != nil {
				_ = g.http.Close() // the grace period is over
			}
		})
	}
	wg.Wait()
	s.wg.Wait()
}

// connListener is a net.Listener that accepts the connections passed to deliver.
type connListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newConnListener(addr net.Addr) *connListener {
	return &connListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept, or closes it if the listener is closed.
func (l *connListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close() // the HTTP server has shut down
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, errListenerClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

var errListenerClosed = errors.New("listener closed")
