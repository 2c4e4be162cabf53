package cpopaque_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget/cpopaque"
)

// endless is a response that goes on for as long as the client reads it.
type endless struct {
	head, repeated string
}

var endlessResponses = map[string]endless{
	"status line":    {"HTTP/1.1 200 ", "x"},
	"header line":    {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header":         {"HTTP/1.1 200 OK\r\n", "X-Another: value\r\n"},
	"early answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"no protocol":    {"", "\x00\xff\x17"},
	"line breaks":    {"", "\r\n"},
	"unframed body":  {"HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n", "x"},
	"framed body":    {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 9000000000000000000\r\n\r\n", "x"},
	"chunks":         {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk header":   {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x"},
	"trailer":        {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Another: value\r\n"},
	"failed answer":  {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	"refused answer": {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n", "x"},
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// countReads returns the option that makes a client count the bytes that it reads.
func countReads(read *atomic.Int64) cpopaque.Option {
	return cpopaque.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, read}, err
	})
}

// Guards against a response without end that is read until it fills the memory or until the deadline.
func TestAResponseWithoutEndIsCutOff(t *testing.T) {
	const maxRead = cpopaque.DefaultMaxHeaderBytes + 2*cpopaque.DefaultMaxResponseBytes
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var read atomic.Int64
			closed := make(chan struct{})
			address, _ := target(t, func(c *connection) {
				defer close(closed)
				if _, _, err := c.read(); err != nil {
					return
				}
				c.raw(response.head)
				block := []byte(strings.Repeat(response.repeated, 1+4096/len(response.repeated)))
				for {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			})
			r := request("r")
			r.Deadline = time.Now().Add(30 * time.Second)
			_, err := do(t, client(address, countReads(&read)), r)
			assert.Assert(t, err != nil)
			fault := clementineport.FaultOf(err)
			assert.Assert(t, fault == clementineport.FaultOversized || fault == clementineport.FaultMalformed, "%v", err)
			<-closed
			assert.Assert(t, read.Load() <= maxRead, "%d bytes were read", read.Load())
		})
	}
}

func TestALongHeaderIsRead(t *testing.T) {
	address, _ := target(t, func(c *connection) {
		if r, _, err := c.read(); err == nil {
			c.raw("HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 30_000) + "\r\nX-Request: " + r.Header.Get("X-Request") +
				"\r\nX-Signature: s\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("y", 100_000))
		}
	})
	response, err := do(t, client(address), request("r"))
	assert.NilError(t, err)
	assert.Equal(t, len(response.Body), 100_000)
	assert.Equal(t, len(response.Header.Get("X-Long")), 30_000)
}

// heldBytes counts the bytes that have been read from connections that are still open, since what a call has read is free again
// once it has ended.
type heldBytes struct {
	mu        sync.Mutex
	now, most int64
}

func (h *heldBytes) add(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now += n
	h.most = max(h.most, h.now)
}

// option returns the option that makes a client count the bytes that it holds.
func (h *heldBytes) option() cpopaque.Option {
	return cpopaque.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &heldConn{Conn: conn, held: h}, err
	})
}

// heldConn is a connection whose bytes are held until it is closed.
type heldConn struct {
	net.Conn
	held   *heldBytes
	read   atomic.Int64
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	c.held.add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.held.add(-c.read.Load())
	}
	return c.Conn.Close()
}

// Guards against many responses without end at the same time, each within its own limit, that together fill the memory.
func TestManyLargeResponsesShareABudget(t *testing.T) {
	const (
		calls  = 64
		budget = 1 << 20
		bound  = budget + calls*(128<<10) // what each call may read without the budget, and its buffers
	)
	address, _ := target(t, func(c *connection) {
		if _, _, err := c.read(); err != nil {
			return
		}
		c.raw("HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n")
		for block := make([]byte, 16<<10); ; {
			if _, err := c.Write(block); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	shared := cpopaque.NewReadBudget(budget)
	var held heldBytes
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, err := do(t, client(address, cpopaque.WithReadBudget(shared), held.option()), request("r"))
			assert.Check(t, clementineport.FaultOf(err) == clementineport.FaultOversized, "%v", err)
		})
	}
	wg.Wait()
	assert.Assert(t, held.most <= bound, "%d bytes were held, %d allowed", held.most, bound)
	assert.Equal(t, held.now, int64(0))
	address, _ = target(t, serveAll)
	_, err := do(t, client(address, cpopaque.WithReadBudget(shared)), request("r"))
	assert.NilError(t, err)
}
