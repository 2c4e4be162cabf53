package cpclientlimit

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/clementineport/clementineport"
)

// Listener accepts the connections of clients within the limits of a Limiter.
type Listener struct {
	net.Listener
	limiter *Limiter
	// name is the name of the listener in metrics.
	name     string
	maxConns int
	started  time.Time
	closed   context.Context
	close    context.CancelFunc
}

// Listener returns a listener that accepts the connections of ln, with at most maxConns of them open; zero means that there is no
// limit. When there are so many, it closes the one whose client has fallen behind most.
func (l *Limiter) Listener(ln net.Listener, name string, maxConns int) *Listener {
	closed, cancel := context.WithCancel(context.Background())
	return &Listener{
		Listener: ln, limiter: l, name: name, maxConns: maxConns, started: l.options.Clock.Now(), closed: closed, close: cancel,
	}
}

// Listen listens on a TCP address. The receive buffers of the connections are of ReceiveBufferBytes.
func Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			// Without the option, connections work with buffers of another size.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBufferBytes)
		})
	}}
	return cfg.Listen(context.Background(), "tcp", address)
}

// Accept implements net.Listener. It waits while no connection may be closed to make room.
func (ln *Listener) Accept() (net.Conn, error) {
	raw, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, listener: ln, request: &holding{}}
	c.upToDate()
	for {
		retry := ln.limiter.open(c)
		if retry == 0 {
			return c, nil
		}
		select {
		case <-ln.closed.Done():
			_ = raw.Close() // nothing was read from it
			return nil, net.ErrClosed
		case <-ln.limiter.options.Clock.After(min(retry, maxAcceptPause)):
		}
	}
}

// maxAcceptPause is the longest pause of a connection that waits for another one to be closed.
const maxAcceptPause = 20 * time.Millisecond

// Close implements net.Listener.
func (ln *Listener) Close() error {
	ln.close()
	return ln.Listener.Close()
}

// Guard makes a server report to a Limiter what its connections do. Its listener must be one of the Limiter.
func Guard(srv *http.Server) *http.Server {
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(next, w, r) })
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.listener.limiter.end(c)
			c.upToDate()
			c.setPhase(phaseIdle)
		}
	}
	return srv
}

// serve serves a request whose head has been parsed.
func serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c := fromContext(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	l := c.listener.limiter
	l.serve(c, max(0, int64(len(r.RequestURI)+clementineport.HeaderBytes(r.Header)-freeHeadBytes)))
	defer l.answered(c)
	if r.ContentLength == 0 {
		c.setPhase(phaseRunning)
	} else {
		c.setPhase(phaseBody)
		// A handler that needs the body sets a deadline of its own. The deadline holds for the rest that the server reads
		// before it answers.
		_ = c.SetReadDeadline(time.Now().Add(l.options.RestTimeout)) // fails if the connection is closed
	}
	next.ServeHTTP(w, r)
	c.upToDate()
	c.setPhase(phaseBody)
}
