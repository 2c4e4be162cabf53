package cpopaqueconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
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

// ErrOversized means that a response is larger than allowed.
var ErrOversized = errors.New("response is larger than allowed")

// Conn is one connection to a target.
type Conn struct {
	raw net.Conn
	// Reader reads what the target sends.
	Reader  *bufio.Reader
	expires time.Time
	// reused is true from the second exchange on the connection.
	reused bool
	// carried are the latest requests that were sent on the connection, the newest last.
	carried []clementineport.RequestID
	// extra holds the bytes that the connection has received while it was idle.
	extra []byte
	// offered and received are the numbers of bytes passed to Write and read in the current exchange.
	offered  atomic.Int64
	received atomic.Int64
	// readLimit is the value of received at which reads fail.
	readLimit int64
}

// countingReader reads from a connection, counts the bytes and enforces the limit.
type countingReader struct{ c *Conn }

func (r countingReader) Read(b []byte) (int, error) {
	left := r.c.readLimit - r.c.received.Load()
	if left <= 0 {
		return 0, ErrOversized
	}
	n, err := r.c.raw.Read(b[:min(int64(len(b)), left)])
	r.c.received.Add(int64(n))
	return n, err
}

// LimitReads makes reads fail after n more bytes. Nothing can be read before the first call.
func (c *Conn) LimitReads(n int64) { c.readLimit = c.received.Load() + n }

// Buffered returns the bytes that were received after the response. The slice is valid until the next read.
func (c *Conn) Buffered() []byte {
	extra, _ := c.Reader.Peek(c.Reader.Buffered()) // never reads, so it doesn't fail
	return extra
}

// resetCounts resets the byte counts for a new exchange.
func (c *Conn) resetCounts() {
	c.offered.Store(0)
	c.received.Store(0)
}

// Reused reports whether the connection carried other requests before the current one.
func (c *Conn) Reused() bool { return c.reused }

// maxCarried is the number of requests that a connection remembers.
const maxCarried = 16

// mayCarry reports whether a request has not been sent on the connection. A request without an id can't be told from others.
func (c *Conn) mayCarry(id clementineport.RequestID) bool {
	return id == "" || !slices.Contains(c.carried, id)
}

// carry records that a request is sent on the connection.
func (c *Conn) carry(id clementineport.RequestID) {
	if id == "" {
		return
	}
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// Abort closes the connection, which makes reads and writes on it return.
func (c *Conn) Abort() {
	// The connection is not used again, so the error of Close is irrelevant.
	_ = c.raw.Close()
}

// Unsent reports whether no byte of the request was passed to Write.
func (c *Conn) Unsent() bool { return c.offered.Load() == 0 }

// Send writes a request, a large one in the background. It copies the body of a small one behind the head, so that both are
// written at once. The returned function reports whether all of the request has been written by the time of the call.
func (c *Conn) Send(head, body []byte) (written func() bool) {
	c.offered.Add(int64(len(head) + len(body)))
	if len(head)+len(body) <= inlineBytes {
		_, err := c.raw.Write(append(head, body...))
		return func() bool { return err == nil }
	}
	var done atomic.Bool
	go func() {
		if _, err := c.raw.Write(head); err != nil {
			return
		}
		if _, err := c.raw.Write(body); err == nil {
			done.Store(true)
		}
	}()
	return done.Load
}

// Fault returns the error of a failed exchange. A connection may fail at any time, so a request that was passed to
// Write may have run.
func (c *Conn) Fault(err error) error {
	return &clementineport.Error{Fault: classify(err, c.received.Load() > 0), Err: err}
}

// usable reports whether an idle connection has not expired, is still open, and has received no unsolicited bytes.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.expires) || c.Reader.Buffered() > 0 {
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

// classify returns the fault of a failed exchange. received is true if any byte of the response arrived.
func classify(err error, received bool) clementineport.Fault {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrOversized):
		return clementineport.FaultOversized
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clementineport.FaultTimeout
	case errors.Is(err, io.ErrUnexpectedEOF) && received:
		return clementineport.FaultCut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return clementineport.FaultReset
	default:
		return clementineport.FaultMalformed
	}
}
