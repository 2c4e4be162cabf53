package cphttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget/cphttp"
)

// rawTarget answers every request with a status line and a body.
func rawTarget(t *testing.T, status, body string) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // the response is the same for each request
					fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestAStatusThatNoResponseHas guards against a refusal, which would prove that the call has not run, and against a statement about a
// target's health in a message whose status is no status.
func TestAStatusThatNoResponseHas(t *testing.T) {
	const refusal = `{"Request":"r","Shard":7,"Fault":"shed"}`
	for status, malformed := range map[string]bool{"000 Status": true, "600 Status": true, "503 Service Unavailable": false} {
		c := cphttp.New(cphttp.Address(rawTarget(t, status, refusal)))
		_, err := c.Search(t.Context(), newCall("r", 10*time.Second))
		if malformed {
			assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultMalformed, "%s: %v", status, err)
		} else {
			assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultShed, "%s: %v", status, err)
		}
		_, err = c.Status(t.Context())
		assert.Equal(t, clementineport.FaultOf(err) == clementineport.FaultMalformed, malformed, "%s: %v", status, err)
		assert.NilError(t, c.Close())
	}
}
