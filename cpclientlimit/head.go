package cpclientlimit

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/clementineport/clementineport"
)

// lineBytes is the memory that a header line takes once it is parsed, without its bytes.
const lineBytes = 160

// freeHeadBytes is the memory that the head of an ordinary request takes.
const freeHeadBytes = clementineport.OrdinaryHeadBytes

// headBytes returns the memory that a part of a head takes once it is parsed.
func headBytes(b []byte) int64 {
	return int64(len(b) + lineBytes*bytes.Count(b, []byte{'\n'}))
}

// beginHead takes room for what the last segment may hold of the next head.
func (c *Conn) beginHead() error {
	c.head = 0
	return c.growHead(c.carried)
}

// received records what was read.
func (c *Conn) received(b []byte) error {
	if c.phase() == phaseIdle {
		c.upToDate()
		c.listener.limiter.begin(c)
		c.setPhase(phaseHead)
	}
	c.advance(len(b))
	if c.carried = 0; len(b) <= segmentBytes {
		c.carried = headBytes(b)
	}
	if c.phase() == phaseHead {
		return c.growHead(headBytes(b))
	}
	return nil
}

// growHead takes room for a further part of a head. The first freeHeadBytes are part of ConnectionBytes.
func (c *Conn) growHead(n int64) error {
	taken := max(0, c.head-freeHeadBytes)
	c.head += n
	if more := max(0, c.head-freeHeadBytes) - taken; more > 0 {
		return c.grow(more)
	}
	return nil
}

// Refusal of a request whose head has found no room, and the time in which it must be written.
const (
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTime = 100 * time.Millisecond
)

// refuseHead answers a request whose head has found no room: it has not run. It returns an error that HTTP servers don't answer.
func (c *Conn) refuseHead() error {
	// The client may be gone, or may not read.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = io.WriteString(c.Conn, headRefusal)
	return os.ErrDeadlineExceeded
}
