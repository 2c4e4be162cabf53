// Package cpopaqueconn manages the connections over which requests are sent to one target. It limits their number, checks
// idle ones before they are used again, and classifies the errors of exchanges. It knows no protocol.
package cpopaqueconn

import (
	"bufio"
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
)

// Pool manages the connections of one client.
type Pool struct {
	options Options

	mu     sync.Mutex
	limit  int
	open   int
	opened uint64
	idle   []*Conn
	closed bool
	// unanswered is the number of consecutive exchanges on reused connections that received no byte.
	unanswered int
}

// maxUnanswered is the value of unanswered at which all idle connections are closed: whatever lost the state of one
// connection has probably lost that of all, while new connections work.
const maxUnanswered = 2

// Observe records the result of an exchange, and closes the idle connections if reused ones have become unresponsive.
func (p *Pool) Observe(c *Conn, err error) {
	p.mu.Lock()
	switch {
	case c.received.Load() > 0 || err == nil:
		p.unanswered = 0
	case c.reused && !c.Unsent():
		p.unanswered++
	}
	var idle []*Conn
	if p.unanswered >= maxUnanswered {
		idle, p.idle, p.unanswered = p.idle, nil, 0
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// New returns a pool without connections.
func New(opts ...Option) *Pool {
	options := NewOptions(opts...)
	return &Pool{options: options, limit: options.Connections}
}

// Get returns a connection for a request: a usable idle one that has not carried the request yet, or a new one. A target may send
// an answer twice, and the copy of the answer to an earlier send would be taken for that to a later one.
func (p *Pool) Get(ctx context.Context, id clementineport.RequestID) (*Conn, error) {
	for {
		c, err := p.reserve(id)
		if err != nil {
			return nil, err
		}
		if c == nil {
			c, err := p.dial(ctx)
			if err == nil {
				c.carry(id)
			}
			return c, err
		}
		if c.usable(p.options.Clock.Now()) {
			c.resetCounts()
			c.reused = true
			c.carry(id)
			return c, nil
		}
		p.options.OnExtra(c.extra)
		p.discard(c)
	}
}

// reserve removes and returns the idle connection that was used last and has not carried a request. If there is none, it reserves
// a new connection, in place of an idle one if no more are allowed, and returns nil.
func (p *Pool) reserve(id clementineport.RequestID) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil
		}
		metrics.GetOrCreateCounter("clementineport_connections_passed_over_total").Inc()
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.idle[0].Abort()
		p.idle = p.idle[1:]
		p.open--
	}
	return nil, p.reserveNew()
}

// reserveNew reserves a new connection. The caller holds p.mu.
func (p *Pool) reserveNew() error {
	if p.open >= p.limit || p.closed {
		return clementineport.Fail(clementineport.FaultUnsent, "all %d connections to %s are in use", p.limit, p.options.Address)
	}
	p.open++
	p.opened++
	return nil
}

// Connect opens a new connection, even if there is an idle one, and keeps it for the next request.
func (p *Pool) Connect(ctx context.Context) error {
	p.mu.Lock()
	err := p.reserveNew()
	p.mu.Unlock()
	if err != nil {
		return err
	}
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.Put(c, p.options.IdleTimeout)
	return nil
}

// dial opens a connection that was reserved.
func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(dialCtx, "tcp", p.options.Address)
	if err != nil {
		p.release()
		return nil, &clementineport.Error{Fault: clementineport.FaultRefused, Reason: "connect to " + p.options.Address, Err: err}
	}
	p.options.OnConnect()
	c := &Conn{raw: raw}
	c.Reader = bufio.NewReaderSize(countingReader{c}, readBufferBytes)
	return c, nil
}

// refusalCheckDelay is how long after a failed exchange a target is checked for refusing connections. By then its other
// connections have been closed as well if it has crashed.
const refusalCheckDelay = 20 * time.Millisecond

// Refuses reports whether the target refuses connections: it has none left that is open and refuses a new one, which is
// closed again at once. While all connections are in use it waits, until ctx ends.
func (p *Pool) Refuses(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-p.options.Clock.After(refusalCheckDelay):
		}
		c, err := p.Get(ctx, "")
		if err == nil {
			p.Put(c, c.expires.Sub(p.options.Clock.Now()))
			return false
		}
		if clementineport.FaultOf(err) != clementineport.FaultUnsent {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
	}
}

// Put returns a connection to the pool, which keeps it idle for at most keep; zero closes it.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	if keep <= 0 || !p.store(c, keep) {
		p.discard(c)
	}
}

func (p *Pool) store(c *Conn, keep time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		return false
	}
	c.expires = p.options.Clock.Now().Add(keep)
	p.idle = append(p.idle, c)
	return true
}

func (p *Pool) discard(c *Conn) {
	c.Abort()
	p.release()
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Resize sets the maximum number of open connections, and closes idle ones that have expired: they are not used again, and
// count at the target until it closes them.
func (p *Pool) Resize(limit int) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	p.limit = limit
	var excess []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		expired := !now.Before(c.expires)
		if expired {
			excess = append(excess, c)
		}
		return expired
	})
	for len(p.idle) > 0 && p.open-len(excess) > limit {
		excess = append(excess, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range excess {
		p.discard(c)
	}
}

// Close closes the idle connections now and the others when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Size returns the number of open connections and the total number opened so far.
func (p *Pool) Size() (open int, opened uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened
}
