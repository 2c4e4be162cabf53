package cpcaller

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errWritesBlocked = errors.New("connection closed to writes")

// countingConn counts the writes to a connection, to prove that a failed request was not sent.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writes        int
	writesBlocked bool
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countingConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites makes all later writes fail and returns the number of writes so far.
func (c *countingConn) blockWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}

// sendTrace traces a request through the transport to determine whether any byte of it may have been written.
type sendTrace struct {
	mu           sync.Mutex
	conn         *countingConn
	writesBefore int
	wrote        bool
}

func (t *sendTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordWrites()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		t.wrote = true
		return
	}
	t.conn, t.writesBefore = conn, conn.writeCount()
}

// connected reports whether the request got a connection.
func (t *sendTrace) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil || t.wrote
}

// mayHaveWritten blocks later writes of the failed request and reports whether any byte may have been written.
func (t *sendTrace) mayHaveWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordWrites()
	return t.wrote
}

func (t *sendTrace) recordWrites() {
	if t.conn != nil && t.conn.blockWrites() > t.writesBefore {
		t.wrote = true
	}
}
