package cpopaque

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementineport/clementineport"
)

// Sizes of the buffers of a connection.
const (
	readBufferBytes = 2048
	// inlineBytes is the largest request that is written before its response is read: a larger one may not fit
	// into the buffers between the two ends while the target already answers.
	inlineBytes = 16 << 10
)

// pool holds the connections of one client.
type pool struct {
	options *Options

	mu     sync.Mutex
	limit  int
	open   int
	opened uint64
	idle   []*conn
	closed bool
	// silent counts the exchanges in a row that brought no byte on a kept connection.
	silent int
}

// silentExchanges is the number of such exchanges after which the idle connections are not trusted any more: whatever
// lost track of one has probably lost track of all, while new ones work.
const silentExchanges = 2

// observe closes the idle connections when kept ones have gone silent.
func (p *pool) observe(c *conn, err error) {
	p.mu.Lock()
	switch {
	case c.received.Load() > 0 || err == nil:
		p.silent = 0
	case c.kept:
		p.silent++
	}
	var idle []*conn
	if p.silent >= silentExchanges {
		idle, p.idle, p.silent = p.idle, nil, 0
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

func newPool(options *Options) *pool { return &pool{options: options, limit: options.Connections} }

// take returns an idle connection that is sound, or a new one.
func (p *pool) take(ctx context.Context) (*conn, error) {
	for {
		c, err := p.reserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.sound(p.options.Clock.Now()) {
			c.restart()
			c.kept = true
			return c, nil
		}
		p.discard(c)
	}
}

// reserve takes the idle connection that was used last, or, if there is none, room for a new one.
func (p *pool) reserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.limit || p.closed {
		return nil, clementineport.Fail(clementineport.FaultUnsent, "all %d connections to %s are in use", p.limit, p.options.Address)
	}
	p.open++
	p.opened++
	return nil, nil
}

// dial opens a connection in the room that was reserved.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(dialCtx, "tcp", p.options.Address)
	if err != nil {
		p.release()
		return nil, &clementineport.Error{Fault: clementineport.FaultRefused, Reason: "connect to " + p.options.Address, Err: err}
	}
	c := &conn{raw: raw}
	c.reader = bufio.NewReaderSize(countingReader{c}, readBufferBytes)
	return c, nil
}

// put returns a connection, to be kept for a time or, with zero, closed.
func (p *pool) put(c *conn, keep time.Duration) {
	if keep <= 0 || !p.store(c, keep) {
		p.discard(c)
	}
}

func (p *pool) store(c *conn, keep time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		return false
	}
	c.expires = p.options.Clock.Now().Add(keep)
	p.idle = append(p.idle, c)
	return true
}

func (p *pool) discard(c *conn) {
	c.abort()
	p.release()
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *pool) resize(limit int) {
	p.mu.Lock()
	p.limit = limit
	var excess []*conn
	for len(p.idle) > 0 && p.open-len(excess) > limit {
		excess = append(excess, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range excess {
		p.discard(c)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

func (p *pool) size() (int, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened
}

// conn is one connection to a target.
type conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	expires time.Time
	// kept is true from the second exchange on.
	kept bool
	// offered and received count the bytes of the current exchange.
	offered  atomic.Int64
	received atomic.Int64
}

// countingReader counts the bytes that a connection delivers.
type countingReader struct{ c *conn }

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.c.raw.Read(b)
	r.c.received.Add(int64(n))
	return n, err
}

// restart begins a new exchange.
func (c *conn) restart() {
	c.offered.Store(0)
	c.received.Store(0)
}

// abort closes the connection, which ends reads and writes on it.
func (c *conn) abort() {
	// The connection is given up; an error of its close changes nothing.
	_ = c.raw.Close()
}

// unsent reports that no byte of the request was offered to the connection.
func (c *conn) unsent() bool { return c.offered.Load() == 0 }

// send writes a request; the returned function reports whether all of it was written when it is called.
func (c *conn) send(request []byte) (written func() bool) {
	c.offered.Add(int64(len(request)))
	if len(request) <= inlineBytes {
		_, err := c.raw.Write(request)
		return func() bool { return err == nil }
	}
	var done atomic.Bool
	go func() {
		if _, err := c.raw.Write(request); err == nil {
			done.Store(true)
		}
	}()
	return done.Load
}

// fault returns the error of a failed exchange. A connection may end at any moment, so a request that was offered
// may have run.
func (c *conn) fault(err error) error {
	return &clementineport.Error{Fault: classify(err, c.received.Load() > 0), Err: err}
}

// sound reports whether an idle connection is still open and brought no bytes that nobody asked for.
func (c *conn) sound(now time.Time) bool {
	if !now.Before(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
