package cpopaque_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
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

// Guards against a response without end that is read until it fills the memory or until the deadline.
func TestAResponseWithoutEndIsCutOff(t *testing.T) {
	const maxSent = 12 << 20 // some buffers more than the largest response
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			closed := make(chan struct{})
			address, _ := target(t, func(c *connection) {
				defer close(closed)
				if _, _, err := c.read(); err != nil {
					return
				}
				c.raw(response.head)
				block := []byte(strings.Repeat(response.repeated, 1+4096/len(response.repeated)))
				for {
					n, err := c.Write(block)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			})
			r := request("r")
			r.Deadline = time.Now().Add(30 * time.Second)
			_, err := do(t, client(address), r)
			assert.Assert(t, err != nil)
			fault := clementineport.FaultOf(err)
			assert.Assert(t, fault == clementineport.FaultOversized || fault == clementineport.FaultMalformed, "%v", err)
			<-closed
			assert.Assert(t, sent.Load() < maxSent, "%d bytes were read", sent.Load())
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
