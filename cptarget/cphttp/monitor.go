package cphttp

import (
	"context"
	"net/http"
	"time"

	"github.com/clementineport/clementineport/cpconn"
)

// typicalWeight is the inverse weight of one answer in the moving average.
const typicalWeight = 16

func (c *Client) begin(e *exchange) {
	if c.opts.StallDetection.Disabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[e] = struct{}{}
	if !c.watching {
		c.watching = true
		go c.watch()
	}
}

func (c *Client) end(e *exchange, err error) {
	if c.opts.StallDetection.Disabled {
		return
	}
	c.mu.Lock()
	delete(c.waiting, e)
	c.mu.Unlock()
	if e.answered() {
		c.streak.Store(0)
		if err == nil {
			c.observe(c.opts.Clock.Now().Sub(e.sent))
		}
		return
	}
	if e.conn != nil && int(c.streak.Add(1)) >= c.opts.StallDetection.MaxUnanswered {
		c.streak.Store(0)
		e.conn.MarkStalled()
		c.closeIdle()
	}
}

func (c *Client) observe(d time.Duration) {
	c.answered.Store(c.opts.Clock.Now().UnixNano())
	old := c.typical.Load()
	if old == 0 {
		c.typical.Store(int64(d))
		return
	}
	c.typical.Store(old + (int64(d)-old)/typicalWeight)
}

// watch closes silent connections while calls are waiting.
func (c *Client) watch() {
	for {
		<-c.opts.Clock.After(c.opts.StallDetection.Interval)
		if !c.sweep() {
			return
		}
	}
}

func (c *Client) sweep() bool {
	c.mu.Lock()
	if len(c.waiting) == 0 {
		c.watching = false
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	c.scan()
	return true
}

// scan closes the silent connections and finds out about the doubtful ones.
func (c *Client) scan() {
	now := c.opts.Clock.Now()
	typical := time.Duration(c.typical.Load())
	var silent []*cpconn.Conn
	doubtful := false
	c.mu.Lock()
	for e := range c.waiting {
		cn, w, ok := e.wait(c.answered.Load())
		switch {
		case !ok, e.keep:
		case c.opts.StallDetection.Stalled(now, w, typical):
			silent = append(silent, cn)
		case c.opts.StallDetection.Suspect(now, w, typical):
			doubtful = true
		}
	}
	c.mu.Unlock()
	if doubtful {
		c.knock()
	}
	c.drop(silent)
}

// drop closes silent connections, the unused ones first, so that no call moves on to one of them.
func (c *Client) drop(silent []*cpconn.Conn) {
	if len(silent) == 0 {
		return
	}
	c.closeIdle()
	for _, cn := range silent {
		cn.MarkStalled()
		_ = cn.Close()
	}
}

// closeIdle closes the connections that are not in use, since they may be silent too.
func (c *Client) closeIdle() {
	c.epoch.Add(1)
	c.pool.LingerDuring(c.transport.CloseIdleConnections)
}

// knock asks the health endpoint on a new connection. Any answer shows that the target is reachable, so
// that connections which do not answer are silent.
func (c *Client) knock() {
	if !c.knocking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.knocking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.StallDetection.MinWaitAllStalled)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+PathHealth, http.NoBody)
		if err != nil {
			return
		}
		resp, err := c.knocker.RoundTrip(r)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		c.answered.Store(c.opts.Clock.Now().UnixNano())
		c.scan()
	}()
}

// wait returns the connection that the call waits on, if it has one.
func (e *exchange) wait(answered int64) (*cpconn.Conn, PendingCall, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return nil, PendingCall{}, false
	}
	since := e.sent
	if last := e.conn.LastReceived(); last.After(since) {
		since = last
	}
	return e.conn, PendingCall{LastProgress: since, LastResponse: time.Unix(0, answered)}, true
}

// answered reports whether a byte came back since the call was sent.
func (e *exchange) answered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn != nil && e.conn.Received() > e.received
}
