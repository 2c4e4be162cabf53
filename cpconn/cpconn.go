// Package cpconn counts the connections to one target and what passes on them. It decides whether one more may be
// opened, whether a byte may be written, and when closed ones no longer count at the target; it opens none itself.
package cpconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrSealed is the error of a write after Seal.
	ErrSealed = errors.New("connection sealed before the request was written")
	// ErrShareExceeded is the error of a reservation beyond the share.
	ErrShareExceeded = errors.New("share of connections is used")
)

// Conn counts the bytes offered for writing, so that a failed call can be proven unsent.
type Conn struct {
	net.Conn
	pool *Pool
	// maySend is asked just before each write, since the process may have been paused.
	maySend func() error
	// generation counts the closures by the target before the connection was made.
	generation  uint64
	generations *Generations
	// once is true for a connection that is made for a single request.
	once bool
	// epoch counts the times that unused connections were closed before the connection was made.
	epoch uint64
	// ended is called when the target closes the connection.
	ended func()
	// received counts the bytes read.
	received atomic.Int64
	// last is the time of the last byte read in nanoseconds since the epoch.
	last atomic.Int64

	mu      sync.Mutex
	offered int64
	sealed  bool
	silent  bool
	closed  bool
}

// Hooks are what a connection asks and tells.
type Hooks struct {
	// MaySend is asked just before each write, since the process may have been paused.
	MaySend func() error
	// OnTargetClose is called when the target closes the connection.
	OnTargetClose func()
}

// New returns a connection that was reserved in a pool and has just been opened; epoch and generation are those
// before it was.
func New(raw net.Conn, p *Pool, g *Generations, generation, epoch uint64, h Hooks) *Conn {
	return &Conn{
		Conn: raw, pool: p, maySend: h.MaySend, ended: h.OnTargetClose, generation: generation, generations: g, epoch: epoch,
	}
}

// SetSingleUse marks a connection that is made for a single request, after which the target closes it.
func (c *Conn) SetSingleUse() { c.once = true }

// Epoch returns the epoch that the connection was made in.
func (c *Conn) Epoch() uint64 { return c.epoch }

// Received returns the number of bytes read.
func (c *Conn) Received() int64 { return c.received.Load() }

// LastReceived returns when the last byte was read.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.last.Load()) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.last.Store(c.pool.clock.Now().UnixNano())
		c.received.Add(int64(n))
		c.generations.answered(c)
	}
	if err != nil && !c.once && !c.isClosed() {
		c.generations.closed()
		c.ended()
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
	if err := c.maySend(); err != nil {
		return 0, err
	}
	if !c.generations.allow(c) {
		return 0, ErrProbing
	}
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, ErrSealed
	}
	c.offered += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	first, silent := !c.closed, c.silent
	c.closed = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.generations.gone(c)
		c.pool.release(silent)
	}
	return err
}

// MarkStalled makes the connection count as open at the target after it is closed.
func (c *Conn) MarkStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && !c.silent {
		c.pool.hold()
	}
	c.silent = true
}

// Stalled reports whether the connection was marked as silent.
func (c *Conn) Stalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Offered returns the number of bytes offered for writing so far.
func (c *Conn) Offered() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offered
}

// Seal forbids further writes and reports true if nothing was written since the mark.
func (c *Conn) Seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offered != mark {
		return false
	}
	c.sealed = true
	return true
}
