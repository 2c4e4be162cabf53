package cphttp

import (
	"time"
)

// typicalWeight is the inverse weight of one answer in the moving average.
const typicalWeight = 16

func (c *Client) begin(e *exchange) {
	if c.opts.Silence.Off {
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
	if c.opts.Silence.Off {
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
	if e.conn != nil && int(c.streak.Add(1)) >= c.opts.Silence.Streak {
		c.streak.Store(0)
		e.conn.markSilent()
		c.pool.suspecting(c.transport.CloseIdleConnections)
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
		<-c.opts.Clock.After(c.opts.Silence.Interval)
		if !c.sweep() {
			return
		}
	}
}

func (c *Client) sweep() bool {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	if len(c.waiting) == 0 {
		c.watching = false
		c.mu.Unlock()
		return false
	}
	var silent []*conn
	for e := range c.waiting {
		cn, w, ok := e.wait(c.answered.Load())
		if ok && c.opts.Silence.Silent(now, w, time.Duration(c.typical.Load())) {
			silent = append(silent, cn)
		}
	}
	c.mu.Unlock()
	for _, cn := range silent {
		cn.markSilent()
		_ = cn.Close()
	}
	if len(silent) > 0 {
		c.pool.suspecting(c.transport.CloseIdleConnections)
	}
	return true
}

// wait returns the connection that the call waits on, if it has one.
func (e *exchange) wait(answered int64) (*conn, Wait, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return nil, Wait{}, false
	}
	since := e.sent
	if last := time.Unix(0, e.conn.last.Load()); last.After(since) {
		since = last
	}
	return e.conn, Wait{Since: since, Answered: time.Unix(0, answered)}, true
}

// answered reports whether a byte came back since the call was sent.
func (e *exchange) answered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn != nil && e.conn.received.Load() > e.received
}
