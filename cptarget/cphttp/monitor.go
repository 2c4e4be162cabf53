package cphttp

import (
	"context"
	"net/http"
	"time"

	"github.com/clementineport/clementineport/cpconn"
)

// meanWeight is the inverse weight of one response in the moving average.
const meanWeight = 16

func (c *Client) begin(e *exchange) {
	if c.opts.StallDetection.Disabled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[e] = struct{}{}
	if !c.monitoring {
		c.monitoring = true
		go c.monitor()
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
		c.unanswered.Store(0)
		if err == nil {
			c.observe(c.opts.Clock.Now().Sub(e.sent))
		}
		return
	}
	if e.conn != nil && int(c.unanswered.Add(1)) >= c.opts.StallDetection.MaxUnanswered {
		c.unanswered.Store(0)
		e.conn.MarkStalled()
		c.closeIdle()
	}
}

func (c *Client) observe(d time.Duration) {
	c.lastResponse.Store(c.opts.Clock.Now().UnixNano())
	old := c.meanResponseTime.Load()
	if old == 0 {
		c.meanResponseTime.Store(int64(d))
		return
	}
	c.meanResponseTime.Store(old + (int64(d)-old)/meanWeight)
}

// monitor closes stalled connections while calls are waiting.
func (c *Client) monitor() {
	for {
		<-c.opts.Clock.After(c.opts.StallDetection.Interval)
		if !c.scanIfWaiting() {
			return
		}
	}
}

func (c *Client) scanIfWaiting() bool {
	c.mu.Lock()
	if len(c.waiting) == 0 {
		c.monitoring = false
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	c.scan()
	return true
}

// scan closes the stalled connections, and starts a health check if others are suspected.
func (c *Client) scan() {
	now := c.opts.Clock.Now()
	mean := time.Duration(c.meanResponseTime.Load())
	var stalled []*cpconn.Conn
	suspected := false
	c.mu.Lock()
	for e := range c.waiting {
		cn, call, ok := e.pending(c.lastResponse.Load())
		switch {
		case !ok, e.nonIdempotent:
		case c.opts.StallDetection.Stalled(now, call, mean):
			stalled = append(stalled, cn)
		case c.opts.StallDetection.Suspect(now, call, mean):
			suspected = true
		}
	}
	c.mu.Unlock()
	if suspected {
		c.checkHealth()
	}
	c.closeStalled(stalled)
}

// closeStalled closes stalled connections. It closes the idle ones first, so that no call is then sent on one of them.
func (c *Client) closeStalled(stalled []*cpconn.Conn) {
	if len(stalled) == 0 {
		return
	}
	c.closeIdle()
	for _, cn := range stalled {
		cn.MarkStalled()
		_ = cn.Close()
	}
}

// closeIdle closes the connections that are not in use, since they may be stalled too.
func (c *Client) closeIdle() {
	c.epoch.Add(1)
	c.pool.LingerDuring(c.transport.CloseIdleConnections)
}

// checkHealth calls the health endpoint on a new connection. Any response shows that the target is responsive, so the
// connections without a response are stalled.
func (c *Client) checkHealth() {
	if !c.checkingHealth.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.checkingHealth.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), c.opts.StallDetection.MinWaitAllStalled)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+PathHealth, http.NoBody)
		if err != nil {
			return
		}
		resp, err := c.healthTransport.RoundTrip(r)
		if err != nil {
			return
		}
		_ = resp.Body.Close()
		c.lastResponse.Store(c.opts.Clock.Now().UnixNano())
		c.scan()
	}()
}

// pending returns the connection on which the call waits, if it has one, and the state of the call.
func (e *exchange) pending(lastResponse int64) (*cpconn.Conn, PendingCall, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return nil, PendingCall{}, false
	}
	lastProgress := e.sent
	if last := e.conn.LastReceived(); last.After(lastProgress) {
		lastProgress = last
	}
	return e.conn, PendingCall{LastProgress: lastProgress, LastResponse: time.Unix(0, lastResponse)}, true
}

// answered reports whether a byte has been received since the call was sent.
func (e *exchange) answered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn != nil && e.conn.Received() > e.receivedBefore
}
