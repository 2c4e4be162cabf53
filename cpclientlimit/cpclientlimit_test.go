package cpclientlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpclientlimit"
)

// TestTheLimitIsKept draws requests that grow and end in any order.
func TestTheLimitIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 200_000).Draw(t, "limit")
		l := cpclientlimit.New(cpclientlimit.WithMaxBytes(limit), cpclientlimit.WithMaxWait(0))
		accounts := map[int]*cpclientlimit.Account{}
		held := map[int]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 5).Draw(t, "account")
			if accounts[i] == nil {
				accounts[i] = l.NewAccount()
			}
			switch n := rapid.Int64Range(0, 60_000).Draw(t, "bytes"); rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				accounts[i].Shrink(n)
				held[i] -= min(n, held[i])
			case 1:
				accounts[i].Close()
				assert.NilError(t, accounts[i].Grow(n)) // doesn't count
				delete(accounts, i)
				delete(held, i)
			default:
				err := accounts[i].Grow(n)
				if err == nil {
					held[i] += n
				} else {
					assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
				}
			}
			var sum int64
			for _, n := range held {
				sum += n
			}
			assert.Equal(t, l.Stats().Bytes, sum)
			assert.Assert(t, sum <= limit)
		}
	})
}

// TestSmallRequestsFindRoomWhenLargeOnesDoNot guards against large requests that take all room.
func TestSmallRequestsFindRoomWhenLargeOnesDoNot(t *testing.T) {
	l := cpclientlimit.New(cpclientlimit.WithMaxBytes(1<<20), cpclientlimit.WithMaxWait(time.Millisecond))
	large := 0
	for l.NewAccount().Grow(64<<10) == nil {
		large++
	}
	assert.Equal(t, large, 14) // seven eighths of the limit
	assert.NilError(t, l.NewAccount().Grow(1<<10))
}

// TestTheOldestRequestGetsTheRoom guards against a request that later ones keep out.
func TestTheOldestRequestGetsTheRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := cpclientlimit.New(cpclientlimit.WithMaxBytes(1<<20), cpclientlimit.WithMaxWait(time.Minute), cpclientlimit.WithClock(clock))
	holder := l.NewAccount()
	assert.NilError(t, holder.Grow(800<<10))
	older := l.NewAccount()
	clock.Advance(time.Millisecond)
	younger := l.NewAccount()
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	grow := func(name string, a *cpclientlimit.Account) {
		wg.Go(func() {
			assert.Check(t, a.Grow(600<<10))
			mu.Lock()
			order = append(order, name)
			mu.Unlock()
			a.Close()
		})
	}
	const timers = 2 // of a request that waits
	grow("younger", younger)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), timers))
	grow("older", older)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2*timers))
	holder.Close()
	wg.Wait()
	assert.DeepEqual(t, order, []string{"older", "younger"})
}

// TestARequestThatEndsWhileItWaitsHoldsNothing guards against room that is given to a request that has ended, and never returned.
func TestARequestThatEndsWhileItWaitsHoldsNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := cpclientlimit.New(cpclientlimit.WithMaxBytes(1<<20), cpclientlimit.WithMaxWait(time.Minute), cpclientlimit.WithClock(clock))
	holder, ended := l.NewAccount(), l.NewAccount()
	assert.NilError(t, holder.Grow(800<<10))
	grown := make(chan error)
	go func() { grown <- ended.Grow(600 << 10) }()
	const timers = 2 // of a request that waits
	assert.NilError(t, clock.BlockUntilContext(t.Context(), timers))
	ended.Close()
	holder.Close()
	assert.NilError(t, <-grown)
	assert.Equal(t, l.Stats().Bytes, int64(0))
}

// server serves requests through a limiter. It answers with the length of the body, or with 503 if the body can't be read; /wait
// waits for a signal, and /refuse answers 404 without the body.
type server struct {
	t       *testing.T
	limiter *cpclientlimit.Limiter
	address string
	proceed chan struct{}
	waiting chan struct{}
	// served counts the requests whose handler has begun.
	served atomic.Int64
	// bodyTime is the time in which a body must be complete.
	bodyTime time.Duration
}

// The limits of the tests.
const (
	maxBytes = 512 << 10
	maxConns = 4
	stall    = 50 * time.Millisecond
	deadline = 20 * time.Second
)

func newServer(t *testing.T, opts ...cpclientlimit.Option) *server {
	t.Helper()
	s := &server{t: t, proceed: make(chan struct{}), waiting: make(chan struct{}, maxConns), bodyTime: deadline}
	s.limiter = cpclientlimit.New(append([]cpclientlimit.Option{
		cpclientlimit.WithMaxBytes(maxBytes), cpclientlimit.WithMinStall(stall, stall), cpclientlimit.WithMaxWait(deadline),
		cpclientlimit.WithRestTimeout(stall),
	}, opts...)...)
	raw, err := cpclientlimit.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s.address = raw.Addr().String()
	srv := cpclientlimit.Guard(&http.Server{Handler: http.HandlerFunc(s.serve)})
	go func() { _ = srv.Serve(s.limiter.Listener(raw, "test", maxConns)) }() // ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.served.Add(1)
	if r.URL.Path == "/refuse" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := cpclientlimit.ReadBody(r.Context(), r, r.Body, time.Now().Add(s.bodyTime))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		s.waiting <- struct{}{}
		<-s.proceed
	}
	fmt.Fprint(w, len(body))
}

// client is one connection to a server.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(deadline)))
	return &client{s.t, conn, bufio.NewReader(conn)}
}

// send sends the head of a request with a body of a length, and the first bytes of that body.
func (c *client) send(path string, length, sent int) {
	// A write fails if the server refuses the request before it has read all of it.
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("b", sent))
}

// status returns the status of the next response, or zero if the connection is closed.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode
}

func (s *server) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatal(what)
}

func TestAStalledBodyGivesWayAndIsRefused(t *testing.T) {
	s := newServer(t)
	stalled, whole := s.dial(), s.dial()
	stalled.send("/", 250<<10, 250<<10-1)
	s.await("the body is held", func() bool { return s.limiter.Stats().Bytes >= 250<<10 })
	whole.send("/", 250<<10, 250<<10)
	assert.Equal(t, whole.status(), http.StatusOK)
	assert.Equal(t, stalled.status(), http.StatusServiceUnavailable)
	assert.Assert(t, s.limiter.Stats().ClosedForBytes > 0)
	_ = stalled.conn.Close() // the server may have closed it
	_ = whole.conn.Close()
	s.await("all is free", func() bool {
		stats := s.limiter.Stats()
		return stats.Bytes == 0 && stats.Connections["test"] == 0
	})
}

func TestACompleteRequestKeepsItsRoom(t *testing.T) {
	s := newServer(t, cpclientlimit.WithMaxWait(stall))
	running, other := s.dial(), s.dial()
	running.send("/wait", 250<<10, 250<<10)
	<-s.waiting
	time.Sleep(2 * stall)
	other.send("/", 250<<10, 250<<10)
	assert.Equal(t, other.status(), http.StatusServiceUnavailable)
	close(s.proceed)
	assert.Equal(t, running.status(), http.StatusOK)
	assert.Equal(t, s.limiter.Stats().ClosedForBytes, uint64(0))
	assert.Equal(t, s.limiter.Stats().Refused, uint64(1))
}

func TestTheLongestIdleConnectionGivesWay(t *testing.T) {
	s := newServer(t)
	var clients []*client
	for range maxConns {
		c := s.dial()
		c.send("/", 1, 1)
		assert.Equal(t, c.status(), http.StatusOK)
		clients = append(clients, c)
		time.Sleep(stall) // the server begins to wait for the next request
	}
	late := s.dial()
	late.send("/", 1, 1)
	assert.Equal(t, late.status(), http.StatusOK)
	assert.Equal(t, clients[0].status(), 0)
	clients[maxConns-1].send("/", 1, 1)
	assert.Equal(t, clients[maxConns-1].status(), http.StatusOK)
	assert.Equal(t, s.limiter.Stats().ClosedForConnections, uint64(1))
}

func TestAStalledConnectionGivesWayBeforeAnIdleOne(t *testing.T) {
	s := newServer(t)
	idle := s.dial()
	idle.send("/", 1, 1)
	assert.Equal(t, idle.status(), http.StatusOK)
	var stalled []*client
	for range maxConns - 1 {
		c := s.dial()
		c.send("/", 10, 1)
		stalled = append(stalled, c)
	}
	s.await("all bodies are awaited", func() bool { return s.served.Load() == maxConns })
	time.Sleep(stall / 2) // the idle one is the first that may be closed
	late := s.dial()
	late.send("/", 1, 1)
	assert.Equal(t, late.status(), http.StatusOK)
	idle.send("/", 1, 1)
	assert.Equal(t, idle.status(), http.StatusOK)
	closed := 0
	for _, c := range stalled {
		assert.NilError(t, c.conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		if _, err := c.reader.ReadByte(); err != nil && !isTimeout(err) {
			closed++
		}
	}
	assert.Equal(t, closed, 1)
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func TestConnectionsWithCompleteRequestsAreNotClosed(t *testing.T) {
	s := newServer(t)
	var clients []*client
	for range maxConns {
		c := s.dial()
		c.send("/wait", 1, 1)
		clients = append(clients, c)
		<-s.waiting
	}
	late := s.dial()
	late.send("/", 1, 1)
	time.Sleep(3 * stall)
	close(s.proceed)
	for _, c := range clients {
		assert.Equal(t, c.status(), http.StatusOK)
	}
	assert.Equal(t, late.status(), http.StatusOK)
}

// TestARefusalDoesNotWaitForTheRest guards against a refusal that is sent only once the client has sent all of its body.
func TestARefusalDoesNotWaitForTheRest(t *testing.T) {
	s := newServer(t)
	c := s.dial()
	c.send("/refuse", 100, 1)
	assert.Equal(t, c.status(), http.StatusNotFound)
}

// TestAHeadTakesTheRoomOfItsLines guards against heads whose parsed form takes many times their bytes.
func TestAHeadTakesTheRoomOfItsLines(t *testing.T) {
	s := newServer(t)
	c := s.dial()
	lines := strings.Repeat("a:\n", 1000)
	_, err := io.WriteString(c.conn, "POST /wait HTTP/1.1\r\nHost: x\r\n"+lines)
	assert.NilError(t, err)
	s.await("the lines count", func() bool { return s.limiter.Stats().Bytes > 100<<10 })
	_, err = io.WriteString(c.conn, "\r\n")
	assert.NilError(t, err)
	<-s.waiting
	assert.Assert(t, s.limiter.Stats().Bytes > 20<<10)
	close(s.proceed)
	assert.Equal(t, c.status(), http.StatusOK)
}

// TestABodyEndsAtItsDeadline guards against bodies that are awaited for ever, and against a refusal that waits for their rest.
func TestABodyEndsAtItsDeadline(t *testing.T) {
	s := newServer(t, cpclientlimit.WithRestTimeout(deadline))
	s.bodyTime = stall
	c := s.dial()
	c.send("/", 100, 99)
	began := time.Now()
	assert.Equal(t, c.status(), http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < deadline)
}

// TestAHeadThatGivesWayIsRefused guards against a status after which callers don't try again.
func TestAHeadThatGivesWayIsRefused(t *testing.T) {
	s := newServer(t)
	stalled, whole := s.dial(), s.dial()
	_, err := io.WriteString(stalled.conn, "POST / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\n", 1500))
	assert.NilError(t, err)
	s.await("the lines count", func() bool { return s.limiter.Stats().Bytes > 200<<10 })
	whole.send("/", 250<<10, 250<<10)
	assert.Equal(t, whole.status(), http.StatusOK)
	assert.Equal(t, stalled.status(), http.StatusServiceUnavailable)
}

// TestAHeadThatFindsNoRoomIsRefused guards against the same where no other connection gives way.
func TestAHeadThatFindsNoRoomIsRefused(t *testing.T) {
	s := newServer(t, cpclientlimit.WithMaxWait(stall))
	running, late := s.dial(), s.dial()
	running.send("/wait", 250<<10, 250<<10)
	<-s.waiting
	_, err := io.WriteString(late.conn, "POST / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\n", 3000))
	assert.NilError(t, err)
	assert.Equal(t, late.status(), http.StatusServiceUnavailable)
	close(s.proceed)
	assert.Equal(t, running.status(), http.StatusOK)
}
