package cpconn

import (
	"errors"
	"sync"
	"sync/atomic"
)

// ErrProbing is returned by Write while another connection probes whether the target answers after it closed a
// connection.
var ErrProbing = errors.New("target closed a connection and has not answered on a new one yet")

// Generations numbers the connections to a target by how many connections the target had closed before they were
// opened. The target may have restarted cold when it closed one, so only one new connection at a time may send until
// one of them has received an answer.
type Generations struct {
	disabled  bool
	latest    atomic.Uint64
	confirmed atomic.Uint64

	mu    sync.Mutex
	probe *Conn
}

// NewGenerations returns Generations that start at zero. If disabled, every write is allowed.
func NewGenerations(disabled bool) *Generations { return &Generations{disabled: disabled} }

// Current returns the current generation.
func (g *Generations) Current() uint64 { return g.latest.Load() }

// advance begins a new generation after the target closed a connection.
func (g *Generations) advance() { g.latest.Add(1) }

// allow reports whether a request may be written on the connection. The first new connection to ask becomes the probe.
func (g *Generations) allow(c *Conn) bool {
	if g.disabled || c.generation <= g.confirmed.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probe == nil {
		g.probe = c
	}
	return g.probe == c
}

// confirm records that a byte was read from the connection, which ends the probe of its generation.
func (g *Generations) confirm(c *Conn) {
	if c.generation <= g.confirmed.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed.Store(max(g.confirmed.Load(), c.generation))
	g.probe = nil
}

// releaseProbe lets another connection become the probe if the closed connection c was the probe.
func (g *Generations) releaseProbe(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probe == c {
		g.probe = nil
	}
}
