package cpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
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

// failingListener fails to accept a number of connections for want of descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAFailedAcceptEndsNoConnection guards against a server that closes all connections and accepts no more of them after it had no
// descriptor left for one.
func TestAFailedAcceptEndsNoConnection(t *testing.T) {
	server := cpserver.NewLimited(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		func() clementineport.CallerLimits { return clementineport.CallerLimits{} }, time.Second)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := &failingListener{Listener: raw}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	get := func(client *http.Client) {
		resp, err := client.Get("http://" + raw.Addr().String())
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
		assert.NilError(t, resp.Body.Close())
	}
	first, second, third := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	get(first)
	assert.Assert(t, server.Accepting())
	ln.failures.Store(5)
	get(second) // the accept that was under way
	get(third)
	get(first)
	assert.Assert(t, ln.failures.Load() < 0)
	for _, c := range []*http.Client{first, second, third} {
		c.CloseIdleConnections()
	}
	cancel()
	assert.NilError(t, <-done)
	assert.Assert(t, !server.Accepting())
}

// TestAServerThatIsStartedAgainServesAgain guards against one that closes each connection, since it keeps the state of a run that
// has ended.
func TestAServerThatIsStartedAgainServesAgain(t *testing.T) {
	server := cpserver.NewLimited(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		func() clementineport.CallerLimits { return clementineport.CallerLimits{} }, time.Second)
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		done := make(chan error, 1)
		go func() { done <- server.Serve(t.Context(), ln) }()
		resp, err := http.Get("http://" + ln.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.NilError(t, ln.Close())
		assert.ErrorIs(t, <-done, net.ErrClosed)
		assert.Assert(t, !server.Accepting())
	}
}
