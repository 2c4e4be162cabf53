package cpconn

import (
	"errors"
	"sync"
	"sync/atomic"
)

// ErrProbing is the error of a write while another connection finds out whether the target has restarted.
var ErrProbing = errors.New("target closed a connection and has not answered on a new one yet")

// Generations tells the connections that were made before the target closed one from those made
// after. The target may have restarted cold in between, so only one call at a time is sent on new
// connections until one of them has been answered.
type Generations struct {
	off       bool
	current   atomic.Uint64
	confirmed atomic.Uint64

	mu    sync.Mutex
	probe *Conn
}

// NewGenerations returns the first generation; off allows every write.
func NewGenerations(off bool) *Generations { return &Generations{off: off} }

// Current returns the present generation.
func (g *Generations) Current() uint64 { return g.current.Load() }

// closed begins a generation, since the target has closed a connection.
func (g *Generations) closed() { g.current.Add(1) }

// allow reports whether a call may be sent on the connection.
func (g *Generations) allow(c *Conn) bool {
	if g.off || c.generation <= g.confirmed.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probe == nil {
		g.probe = c
	}
	return g.probe == c
}

// answered records a byte read from the connection.
func (g *Generations) answered(c *Conn) {
	if c.generation <= g.confirmed.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed.Store(max(g.confirmed.Load(), c.generation))
	g.probe = nil
}

// gone lets another connection probe in place of one that was closed.
func (g *Generations) gone(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probe == c {
		g.probe = nil
	}
}
