package cphttp

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

var (
	errSealed = errors.New("connection sealed before the request was written")
	errShare  = errors.New("share of connections is used")
)

// pool bounds the connections to one target and counts those that went silent as open for a while.
type pool struct {
	clock clementineport.Clock
	// closing and linger are how long a closed connection counts as open at the target, for ordinary
	// and for silent connections.
	closing time.Duration
	linger  time.Duration

	mu        sync.Mutex
	share     int
	open      int
	peak      int
	lingering []time.Time
	// suspect makes every connection that is closed meanwhile linger.
	suspect bool
}

func (p *pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if p.open+len(p.lingering) >= p.share {
		return errShare
	}
	p.open++
	p.peak = max(p.peak, p.open+len(p.lingering))
	return nil
}

// wait reserves a connection, if need be after others have expired.
func (p *pool) wait(ctx context.Context) error {
	end := p.clock.Now().Add(2 * p.closing)
	for {
		err := p.reserve()
		if err == nil || p.clock.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(p.closing / 16):
		}
	}
}

func (p *pool) expire() {
	now := p.clock.Now()
	p.lingering = slices.DeleteFunc(p.lingering, func(at time.Time) bool { return !at.After(now) })
}

// release counts a closed connection as open until the target is sure to have noticed.
func (p *pool) release(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	d := p.closing
	if silent || p.suspect {
		d = p.linger
	}
	p.lingering = append(p.lingering, p.clock.Now().Add(d))
}

// cancel gives back a reservation that was not used.
func (p *pool) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// hold counts one more closed connection as open for a while.
func (p *pool) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lingering = append(p.lingering, p.clock.Now().Add(p.linger))
}

// suspecting runs f, which closes connections that may still be open at the target.
func (p *pool) suspecting(f func()) {
	p.setSuspect(true)
	f()
	p.setSuspect(false)
}

func (p *pool) setSuspect(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = on
}

func (p *pool) resize(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
}

// conn counts the bytes offered for writing, so that a failed call can be proven unsent.
type conn struct {
	net.Conn
	pool *pool
	// maySend is asked just before each write, since the process may have been paused.
	maySend func() error
	// generation counts the closures by the target before the connection was made.
	generation  uint64
	generations *generations
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

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
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

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.maySend(); err != nil {
		return 0, err
	}
	if !c.generations.allow(c) {
		return 0, errProbing
	}
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.offered += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
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

// markSilent makes the connection count as open at the target after it is closed.
func (c *conn) markSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed && !c.silent {
		c.pool.hold()
	}
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offered
}

// seal forbids further writes and reports true if nothing was written since the mark.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offered != mark {
		return false
	}
	c.sealed = true
	return true
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case cn := <-c.spare:
		if cn.epoch == c.epoch.Load() {
			return cn, nil
		}
		cn.markSilent()
		_ = cn.Close()
	default:
	}
	cn, err := c.reserved(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return cn, nil
}

// dialOnce opens a connection for a single request, after which the target closes it.
func (c *Client) dialOnce(ctx context.Context, network, address string) (net.Conn, error) {
	cn, err := c.reserved(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cn.once = true
	return cn, nil
}

// reserved opens a connection within the share.
func (c *Client) reserved(ctx context.Context, network, address string) (*conn, error) {
	if err := c.pool.wait(ctx); err != nil {
		return nil, err
	}
	return c.open(ctx, network, address)
}

// open opens a connection that has been reserved.
func (c *Client) open(ctx context.Context, network, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	generation, epoch := c.generations.current.Load(), c.epoch.Load()
	raw, err := c.opts.Dial(ctx, network, address)
	if err != nil {
		c.pool.cancel()
		return nil, err
	}
	return &conn{
		Conn: raw, pool: c.pool, maySend: c.opts.MaySend, ended: c.opts.Closed,
		generation: generation, generations: &c.generations, epoch: epoch,
	}, nil
}

// refill opens one connection ahead of need, in place of one that a canceled call has closed.
func (c *Client) refill() {
	if c.opts.SpareTime <= 0 || !c.refilling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.refilling.Store(false)
		if c.pool.reserve() != nil {
			return
		}
		cn, err := c.open(context.Background(), "tcp", c.opts.Address)
		if err != nil {
			return
		}
		select {
		case c.spare <- cn:
		case <-c.opts.Clock.After(c.opts.SpareTime):
			_ = cn.Close()
		}
	}()
}
