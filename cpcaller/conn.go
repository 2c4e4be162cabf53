package cpcaller

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection closed to writes")

// countedConn counts the writes on a connection, so that a failed request can be proven unsent.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all later writes and returns the number of writes so far.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// sendTrace follows one request through the transport and proves whether any byte of it may have been written.
type sendTrace struct {
	mu    sync.Mutex
	conn  *countedConn
	start int
	wrote bool
}

func (t *sendTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	conn, counted := info.Conn.(*countedConn)
	if !counted {
		t.wrote = true
		return
	}
	t.conn, t.start = conn, conn.count()
}

// connected reports whether the request had a connection.
func (t *sendTrace) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil || t.wrote
}

// mayHaveWritten stops all later writes of the failed request and reports whether a byte may have been written.
func (t *sendTrace) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	return t.wrote
}

func (t *sendTrace) settle() {
	if t.conn != nil && t.conn.seal() > t.start {
		t.wrote = true
	}
}
