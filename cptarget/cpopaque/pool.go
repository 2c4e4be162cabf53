package cpopaque

import (
	"bufio"
	"bytes"
	"context"
	"errors"
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
	// inlineBytes is the largest request that is written completely before its response is read. A larger one may not
	// fit into the socket buffers, and the target may respond before it has read all of it.
	inlineBytes = 16 << 10
)

// pool manages the connections of one client.
type pool struct {
	options *Options
	// onExtra is called with the bytes that an idle connection has received.
	onExtra func([]byte)

	mu     sync.Mutex
	limit  int
	open   int
	opened uint64
	idle   []*conn
	closed bool
	// unanswered is the number of consecutive exchanges on reused connections that received no byte.
	unanswered int
}

// maxUnanswered is the value of unanswered at which all idle connections are closed: whatever lost the state of one
// connection has probably lost that of all, while new connections work.
const maxUnanswered = 2

// observe records the result of an exchange, and closes the idle connections if reused ones have become unresponsive.
func (p *pool) observe(c *conn, err error) {
	p.mu.Lock()
	switch {
	case c.received.Load() > 0 || err == nil:
		p.unanswered = 0
	case c.reused && !c.unsent():
		p.unanswered++
	}
	var idle []*conn
	if p.unanswered >= maxUnanswered {
		idle, p.idle, p.unanswered = p.idle, nil, 0
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

func newPool(options *Options, onExtra func([]byte)) *pool {
	return &pool{options: options, onExtra: onExtra, limit: options.Connections}
}

// get returns a usable idle connection, or a new one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c, err := p.reserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(p.options.Clock.Now()) {
			c.resetCounts()
			c.reused = true
			return c, nil
		}
		p.onExtra(c.extra)
		p.discard(c)
	}
}

// reserve removes and returns the idle connection that was used last. If there is none, it reserves a new connection
// and returns nil.
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

// dial opens a connection that was reserved.
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

// refusalCheckDelay is how long after a failed exchange a target is checked for refusing connections. By then its other
// connections have been closed as well if it has crashed.
const refusalCheckDelay = 20 * time.Millisecond

// refuses reports whether the target refuses connections: it has none left that is open and refuses a new one. While all
// connections are in use it waits, until ctx ends.
func (p *pool) refuses(ctx context.Context) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-p.options.Clock.After(refusalCheckDelay):
		}
		c, err := p.get(ctx)
		if err == nil {
			p.putBack(c)
			return false
		}
		if clementineport.FaultOf(err) != clementineport.FaultUnsent {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
	}
}

// putBack returns a connection to the pool that was not used.
func (p *pool) putBack(c *conn) {
	keep := p.options.IdleTimeout
	if c.reused {
		keep = c.expires.Sub(p.options.Clock.Now())
	}
	p.put(c, keep)
}

// put returns a connection to the pool, which keeps it idle for at most keep; zero closes it.
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
	// reused is true from the second exchange on the connection.
	reused bool
	// extra holds the bytes that the connection has received while it was idle.
	extra []byte
	// offered and received are the numbers of bytes passed to Write and read in the current exchange.
	offered  atomic.Int64
	received atomic.Int64
	// readLimit is the value of received at which reads fail.
	readLimit int64
}

// countingReader reads from a connection, counts the bytes and enforces the limit.
type countingReader struct{ c *conn }

func (r countingReader) Read(b []byte) (int, error) {
	left := r.c.readLimit - r.c.received.Load()
	if left <= 0 {
		return 0, errOversized
	}
	n, err := r.c.raw.Read(b[:min(int64(len(b)), left)])
	r.c.received.Add(int64(n))
	return n, err
}

// limitReads makes reads fail after n more bytes.
func (c *conn) limitReads(n int64) { c.readLimit = c.received.Load() + n }

// buffered returns the bytes that were received after the response. The slice is valid until the next read.
func (c *conn) buffered() []byte {
	extra, _ := c.reader.Peek(c.reader.Buffered()) // never reads, so it doesn't fail
	return extra
}

// resetCounts resets the byte counts for a new exchange.
func (c *conn) resetCounts() {
	c.offered.Store(0)
	c.received.Store(0)
}

// abort closes the connection, which makes reads and writes on it return.
func (c *conn) abort() {
	// The connection is not used again, so the error of Close is irrelevant.
	_ = c.raw.Close()
}

// unsent reports whether no byte of the request was passed to Write.
func (c *conn) unsent() bool { return c.offered.Load() == 0 }

// send writes a request, a large one in the background. The returned function reports whether all of it has been
// written by the time of the call.
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

// fault returns the error of a failed exchange. A connection may fail at any time, so a request that was passed to
// Write may have run.
func (c *conn) fault(err error) error {
	return &clementineport.Error{Fault: classify(err, c.received.Load() > 0), Err: err}
}

// usable reports whether an idle connection has not expired, is still open, and has received no unsolicited bytes.
func (c *conn) usable(now time.Time) bool {
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
	noData := false
	err = rc.Read(func(fd uintptr) bool {
		var b [readBufferBytes]byte
		n, readErr := syscall.Read(int(fd), b[:])
		noData = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		c.extra = bytes.Clone(b[:max(0, n)])
		return true
	})
	return err == nil && noData
}
