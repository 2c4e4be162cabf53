// Package cpconn tracks the connections to one target and the bytes read and written on them. It decides whether
// another connection may be opened, whether a request may be written, and how long a closed connection still counts
// as open at the target. It does not dial.
package cpconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrSealed is returned by Write after Seal.
	ErrSealed = errors.New("connection sealed before the request was written")
	// ErrShareExceeded is returned by Pool.Reserve if all connections of the share are in use.
	ErrShareExceeded = errors.New("all connections of the share are in use")
)

// Conn is a connection that counts the bytes passed to Write, so that a failed call can be proven unsent.
type Conn struct {
	net.Conn
	pool *Pool
	// maySend is called just before each write, since the process may have been paused; an error fails the write.
	maySend func() error
	// generation is the number of connections that the target had closed when this one was opened.
	generation  uint64
	generations *Generations
	// singleUse is true for a connection that is opened for a single request.
	singleUse bool
	// epoch is the number of times that idle connections had been closed as possibly stalled when this one was opened.
	epoch uint64
	// onTargetClose is called when the target closes the connection.
	onTargetClose func()
	// received is the number of bytes read.
	received atomic.Int64
	// lastReceived is when the last byte was read, in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64

	mu      sync.Mutex
	offered int64
	// refusal is why a write was not passed on, or nil.
	refusal error
	sealed  bool
	stalled bool
	closed  bool
}

// Hooks holds the functions that a connection calls.
type Hooks struct {
	// MaySend is called just before each write, since the process may have been paused; an error fails the write.
	MaySend func() error
	// OnTargetClose is called when the target closes the connection.
	OnTargetClose func()
}

// New wraps a new connection that was reserved in the pool. generation and epoch are the values from before it was
// dialed.
func New(raw net.Conn, p *Pool, g *Generations, generation, epoch uint64, h Hooks) *Conn {
	return &Conn{
		Conn: raw, pool: p, maySend: h.MaySend, onTargetClose: h.OnTargetClose, generation: generation, generations: g, epoch: epoch,
	}
}

// SetSingleUse marks a connection that is opened for a single request, after which the target closes it.
func (c *Conn) SetSingleUse() { c.singleUse = true }

// Epoch returns the epoch in which the connection was opened.
func (c *Conn) Epoch() uint64 { return c.epoch }

// Received returns the number of bytes read.
func (c *Conn) Received() int64 { return c.received.Load() }

// LastReceived returns when the last byte was read.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.lastReceived.Load()) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReceived.Store(c.pool.clock.Now().UnixNano())
		c.received.Add(int64(n))
		c.generations.confirm(c)
	}
	if err != nil && !c.singleUse && !c.isClosed() {
		c.generations.advance()
		c.onTargetClose()
	}
	return n, err
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.offer(len(b)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// offer counts n bytes as passed on for writing, or returns why they may not be written.
func (c *Conn) offer(n int) error {
	refusal := c.maySend()
	if refusal == nil && !c.generations.allow(c) {
		refusal = ErrProbing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if refusal == nil && c.sealed {
		return ErrSealed
	}
	if refusal != nil {
		c.refusal = refusal
		return refusal
	}
	c.offered += int64(n)
	return nil
}

// Refusal returns why a write was not passed on, or nil. The HTTP transport closes the connection then, and may report the failed
// read of the closed connection instead.
func (c *Conn) Refusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	first, stalled := !c.closed, c.stalled
	c.closed = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.generations.releaseProbe(c)
		c.pool.release(stalled)
	}
	return err
}

// MarkStalled marks the connection as stalled: the target may not notice that it is closed, so it counts as open
// there for longer.
func (c *Conn) MarkStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && !c.stalled {
		c.pool.addLingering()
	}
	c.stalled = true
}

// Stalled reports whether the connection was marked as stalled.
func (c *Conn) Stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// Offered returns the number of bytes passed to the underlying connection for writing so far.
func (c *Conn) Offered() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offered
}

// Seal forbids further writes and returns true if no byte was offered since Offered returned the given number offered.
// Otherwise it changes nothing and returns false.
func (c *Conn) Seal(offered int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offered != offered {
		return false
	}
	c.sealed = true
	return true
}
