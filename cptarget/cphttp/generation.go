package cphttp

import (
	"errors"
	"sync"
	"sync/atomic"
)

var errProbing = errors.New("target closed a connection and has not answered on a new one yet")

// generations tells the connections that were made before the target closed one from those made
// after. The target may have restarted cold in between, so only one call at a time is sent on new
// connections until one of them has been answered.
type generations struct {
	off       bool
	current   atomic.Uint64
	confirmed atomic.Uint64

	mu    sync.Mutex
	probe *conn
}

// closed begins a generation, since the target has closed a connection.
func (g *generations) closed() { g.current.Add(1) }

// allow reports whether a call may be sent on the connection.
func (g *generations) allow(c *conn) bool {
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
func (g *generations) answered(c *conn) {
	if c.generation <= g.confirmed.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed.Store(max(g.confirmed.Load(), c.generation))
	g.probe = nil
}

// gone lets another connection probe in place of one that was closed.
func (g *generations) gone(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probe == c {
		g.probe = nil
	}
}
