package cpopaque

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/clementineport/clementineport"
)

const (
	// limitReportPeriod is how often a limit is reported that has not changed.
	limitReportPeriod = time.Second
	// maxLimit bounds the limits of targets; higher ones have no effect.
	maxLimit clementineport.RequestRate = 1e6
)

// knownLimit is what this VM knows of the target's limit.
type knownLimit struct {
	limited bool
	rate    clementineport.RequestRate
	// reportedAt is when this client last reported it.
	reportedAt time.Time
}

// SetLimit implements clementineport.OpaqueTarget.
func (c *Client) SetLimit(limited bool, rate clementineport.RequestRate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit.limited, c.limit.rate = limited, rate
}

// readLimit reports the limit that a response states, if it states one.
func (c *Client) readLimit(h http.Header) {
	text := h.Get(c.options.HeaderNames.Limit)
	if text == "" {
		return
	}
	rate, ok := parseLimit(text)
	if !ok {
		c.options.OnInvalidLimit(text)
		return
	}
	c.reportLimit(true, rate)
}

// readNoLimit reports the end of a limit if a response states none. The response must be the target's own answer to a
// request: bytes that were received without a request may have been sent before the limit began.
func (c *Client) readNoLimit(h http.Header) {
	if h.Get(c.options.HeaderNames.Limit) == "" {
		c.reportLimit(false, 0)
	}
}

// reportLimit reports a limit that is new, that has changed or ended, or that was not reported for limitReportPeriod.
func (c *Client) reportLimit(limited bool, rate clementineport.RequestRate) {
	now := c.options.Clock.Now()
	c.mu.Lock()
	known := c.limit
	due := limited != known.limited || rate != known.rate || limited && now.Sub(known.reportedAt) >= limitReportPeriod
	if due {
		c.limit = knownLimit{limited, rate, now}
	}
	c.mu.Unlock()
	if due {
		c.options.OnLimit(limited, rate)
	}
}

// parseLimit returns the requests a second that a target states, at most maxLimit, and whether the text is such a number.
func parseLimit(text string) (clementineport.RequestRate, bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if math.IsNaN(perSecond) || perSecond < 0 || err != nil && !math.IsInf(perSecond, 1) {
		return 0, false
	}
	return min(clementineport.RequestRate(perSecond), maxLimit), true
}
