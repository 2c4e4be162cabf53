package cpclientlimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
)

// phase is the phase of a connection.
type phase int32

const (
	// phaseIdle is before the first byte of a request.
	phaseIdle phase = iota
	// phaseHead is while the head of a request arrives.
	phaseHead
	// phaseBody is while the body of a request arrives, and while the rest of a refused one does.
	phaseBody
	// phaseWaiting is while an unfinished request waits for room.
	phaseWaiting
	// phaseRunning is while a complete request is in progress.
	phaseRunning
	// phaseWriting is while an answer is written.
	phaseWriting
	// phaseClosing is once the connection is closed to make room.
	phaseClosing
)

// segmentBytes is the size of the read buffer of an HTTP server's connection. It may hold the beginning of the next request.
const segmentBytes = 4 << 10

// writeBytes is how much of an answer is written under one deadline.
const writeBytes = 32 << 10

// Conn is a connection of a client. Reads of a head take room for what the head will hold once it is parsed.
type Conn struct {
	net.Conn
	listener *Listener

	current atomic.Int32
	// progress is when the client was last up to date with its request, in nanoseconds since the start of the listener.
	progress atomic.Int64
	// carried is what the last segment may hold of the next head, and head what has been read of the current one. Only the
	// reader uses them.
	carried, head int64

	// request is what the current request holds, and serving is true while its handler runs. The limiter's mutex guards both.
	request *holding
	serving bool

	// deadlines guards the deadlines of the connection, which stay as they are once it is closed to make room.
	deadlines sync.Mutex
}

func (c *Conn) phase() phase { return phase(c.current.Load()) }

// setPhase changes the phase, unless the connection is being closed.
func (c *Conn) setPhase(p phase) {
	for {
		old := c.current.Load()
		if phase(old) == phaseClosing || c.current.CompareAndSwap(old, int32(p)) {
			return
		}
	}
}

// now returns the time since the start of the listener, in nanoseconds.
func (c *Conn) now() int64 {
	return int64(c.listener.limiter.options.Clock.Now().Sub(c.listener.started))
}

// behind returns how far the client has fallen behind at a time.
func (c *Conn) behind(now time.Time) time.Duration {
	return now.Sub(c.listener.started) - time.Duration(c.progress.Load())
}

// upToDate records that the client has nothing to catch up with.
func (c *Conn) upToDate() { c.progress.Store(c.now()) }

// advance records that the client has sent or taken n bytes.
func (c *Conn) advance(n int) {
	caughtUp := c.progress.Load() + int64(n)*int64(time.Second)/minRate
	c.progress.Store(min(caughtUp, c.now()))
}

// grow adds bytes to what an unfinished request holds. What the client can't send meanwhile doesn't count against it afterwards.
func (c *Conn) grow(bytes int64) error {
	before := c.phase()
	if before == phaseClosing {
		return errEvicted()
	}
	l := c.listener.limiter
	c.upToDate()
	c.setPhase(phaseWaiting)
	err := l.grow(l.holding(c), bytes)
	c.upToDate()
	c.setPhase(before)
	return err
}

// Read implements net.Conn. It fails if there is no room for the head that is being read.
func (c *Conn) Read(b []byte) (int, error) {
	before := c.phase()
	switch before {
	case phaseClosing:
		return 0, errEvicted()
	case phaseIdle:
		if c.beginHead() != nil {
			return 0, os.ErrDeadlineExceeded // there may be no request to answer
		}
	}
	n, err := c.Conn.Read(b)
	switch {
	case n == 0 && before == phaseHead && c.phase() == phaseClosing:
		return 0, c.refuseHead()
	case n == 0:
		return 0, c.closedError(err)
	case c.received(b[:n]) != nil:
		return 0, c.refuseHead()
	}
	return n, err
}

// closedError returns the error of a read or write, or the reason if the connection is being closed.
func (c *Conn) closedError(err error) error {
	if err != nil && c.phase() == phaseClosing {
		return errEvicted()
	}
	return err
}

// Write implements net.Conn. A client that takes nothing for the write timeout loses its connection.
func (c *Conn) Write(b []byte) (written int, err error) {
	before := c.phase()
	c.upToDate()
	c.setPhase(phaseWriting)
	defer c.setPhase(before)
	for written < len(b) && err == nil {
		var n int
		deadline := time.Now().Add(c.listener.limiter.options.WriteTimeout)
		if err = c.SetWriteDeadline(deadline); err == nil {
			n, err = c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		}
		written += n
		c.advance(n)
		if before != phaseClosing && c.phase() == phaseClosing {
			return written, errEvicted()
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.phase() != phaseClosing {
		metrics.GetOrCreateCounter("clementineport_client_write_timeouts_total").Inc()
	}
	return written, c.closedError(err)
}

// evict makes the reads and writes of the connection fail, so that its handler can refuse the request. It reports false if the
// connection is no longer in a phase.
func (c *Conn) evict(p phase) bool {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if !c.current.CompareAndSwap(int32(p), int32(phaseClosing)) {
		return false
	}
	c.upToDate()
	// A deadline can't be set on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(past)
	if p == phaseWriting {
		_ = c.Conn.SetWriteDeadline(past)
	}
	return true
}

// errEvicted means that a connection is closed to make room for others. Nothing of its request has run.
func errEvicted() error {
	return clementineport.Fail(clementineport.FaultUnavailable, "the request arrives too slowly while memory is short")
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// abort closes the connection without an answer. It reports false if the connection is no longer in a phase.
func (c *Conn) abort(p phase) bool {
	if !c.current.CompareAndSwap(int32(p), int32(phaseClosing)) {
		return false
	}
	_ = c.Conn.Close() // the client may have closed it
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener.limiter
	l.mu.Lock()
	l.remove(c)
	l.mu.Unlock()
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.phase() == phaseClosing {
		return os.ErrDeadlineExceeded
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side of the connection. An HTTP server calls it before it closes a connection whose client may
// still be sending, so that the client can read the answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
