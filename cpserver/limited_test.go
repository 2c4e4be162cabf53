package cpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpserver"
)

func TestNewLimitsHoldForNewConnectionsAndOldOnesGoOn(t *testing.T) {
	limits := make(chan clementineport.CallerLimits, 1)
	current := clementineport.CallerLimits{HeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	server := cpserver.NewLimited(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		func() clementineport.CallerLimits {
			select {
			case current = <-limits:
			default:
			}
			return current
		}, time.Second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
		return conn, bufio.NewReader(conn)
	}
	get := func(conn net.Conn, r *bufio.Reader, header string) int {
		_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: %s\r\n\r\n", header)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	long := strings.Repeat("x", 32<<10)
	old, oldReader := dial()
	assert.Equal(t, get(old, oldReader, "short"), http.StatusNoContent)
	limits <- clementineport.CallerLimits{HeaderBytes: 64 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	fresh, freshReader := dial()
	assert.Equal(t, get(fresh, freshReader, long), http.StatusNoContent)
	assert.Equal(t, get(old, oldReader, "short"), http.StatusNoContent)
	assert.Equal(t, get(old, oldReader, long), http.StatusRequestHeaderFieldsTooLarge)
	cancel()
	assert.NilError(t, <-done)
}
