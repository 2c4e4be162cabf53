package cpopaque

import (
	"bufio"
	"bytes"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/clementineport/clementineport"
)

// headerRetryAfter is the standard header with the time for which a target accepts no requests, in seconds.
const headerRetryAfter = "Retry-After"

// Bounds of the time for which a target is closed.
const (
	// maxRetryAfter limits the harm of a wrong value.
	maxRetryAfter = 5 * time.Minute
	// reopenShare is the share of its time by which the end of a closure is delayed at random, up to maxReopenDelay, so
	// that VMs don't all return at once.
	reopenShare    = 0.25
	maxReopenDelay = time.Second
)

// Notice returns what the target has asked of this client so far.
func (c *Client) Notice() clementineport.TargetNotice {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notice
}

// closed returns an error if the target accepts no requests now. The request was not sent.
func (c *Client) closed() error {
	notice := c.Notice()
	switch {
	case notice.Leaving:
		return clementineport.Fail(clementineport.FaultUnsent, "the target is shutting down")
	case notice.Closed(c.options.Clock.Now()):
		return clementineport.Fail(clementineport.FaultUnsent, "the target accepts no requests for now")
	default:
		return nil
	}
}

// readNotice records what a response says about further requests. The response of another process at the target's
// address says nothing about the target.
func (c *Client) readNotice(resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if leaving, err := strconv.ParseBool(resp.Header.Get(c.options.HeaderNames.Leaving)); err == nil && leaving {
		c.markLeaving()
	}
	c.readLimit(resp.Header)
	text := resp.Header.Get(headerRetryAfter)
	if resp.StatusCode == http.StatusServiceUnavailable && text != "" {
		c.closeFor(text)
	}
}

// markLeaving records that the target is shutting down.
func (c *Client) markLeaving() {
	c.mu.Lock()
	first := !c.notice.Leaving
	c.notice.Leaving = true
	c.mu.Unlock()
	if first {
		c.options.OnLeaving()
	}
}

// closeFor records that the target accepts no requests for a time that it states.
func (c *Client) closeFor(text string) {
	d, ok := parseRetryAfter(text)
	if !ok {
		c.options.OnInvalidRetryAfter(text, d)
	}
	if d <= 0 {
		return
	}
	delay := min(time.Duration(reopenShare*float64(d)), maxReopenDelay)
	until := c.options.Clock.Now().Add(d + time.Duration(c.options.Random()*float64(delay)))
	c.mu.Lock()
	wasOpen := !c.notice.Closed(c.options.Clock.Now())
	if until.After(c.notice.ClosedUntil) {
		c.notice.ClosedUntil = until
	}
	c.mu.Unlock()
	if wasOpen {
		c.options.OnClosed(d)
	}
}

// parseRetryAfter returns the time that a target states in seconds, which may have a fraction. ok is false if the text is
// no such time, in which case the time is zero, or if it is longer than maxRetryAfter and was limited.
func parseRetryAfter(text string) (_ time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case math.IsNaN(seconds) || seconds < 0 || err != nil && !math.IsInf(seconds, 1):
		return 0, false
	case seconds > maxRetryAfter.Seconds():
		return maxRetryAfter, false
	default:
		return clementineport.DurationOf(seconds, time.Second), true
	}
}

// readExtraNotice records what bytes say that were received without a request. They are no answer to any request, but
// they come from the process at the other end of the connection.
func (c *Client) readExtraNotice(extra []byte) {
	if len(extra) == 0 {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(extra)), &http.Request{Method: http.MethodGet})
	if err != nil || !clementineport.ValidStatus(resp.StatusCode) {
		return // the bytes are no response; the connection is closed in any case
	}
	c.readNotice(resp)
}
