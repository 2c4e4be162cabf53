package cpmember

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// cutPeers is the number of different peers that must fail in a row before this VM doubts itself;
// in a fleet of three it is one less.
const cutPeers = 3

// health is what this VM knows of its own ability to judge others.
type health struct {
	highest int
	others  int // the number of other VMs that are known
	score   int
	resumed time.Time
	reached time.Time
	heard   time.Time
	failed  []clementineport.VMID // different peers that failed since the last success
	rtt     time.Duration
	rttVar  time.Duration
}

// paused records that this VM did not run for some periods until now.
func (h *health) paused(now time.Time, periods int) {
	h.score = min(h.score+periods, h.highest)
	h.resumed = now
	h.reached = time.Time{}
	h.failed = nil
}

// refuted records that this VM was accused although it is alive.
func (h *health) refuted() { h.score = min(h.score+1, h.highest) }

// success records an exchange that was answered.
func (h *health) success(now, began time.Time) {
	h.score = max(h.score-1, 0)
	h.reached = now
	h.failed = nil
	if began.Before(h.resumed) {
		return
	}
	d := now.Sub(began)
	h.rttVar += ((d - h.rtt).Abs() - h.rttVar) / 4
	h.rtt += (d - h.rtt) / 8
}

// failure records an exchange that was not answered, and reports whether it counts: one that was
// begun before a pause of this VM does not.
func (h *health) failure(now, began time.Time, id clementineport.VMID) bool {
	if began.Before(h.resumed) {
		return false
	}
	if h.reached.IsZero() {
		h.reached = now
	}
	if !slices.Contains(h.failed, id) {
		h.failed = append(h.failed, id)
		if h.alone() {
			h.score = min(h.score+1, h.highest)
		}
	}
	return true
}

// alone reports whether so many different peers failed that this VM itself is the likely cause.
func (h *health) alone() bool {
	return h.highest > 0 && len(h.failed) >= max(cutPeers-1, min(cutPeers, h.others))
}

// cut reports whether this VM has reached nobody for a while.
func (h *health) cut(now time.Time, after time.Duration) bool {
	return h.alone() && now.Sub(h.reached) > after
}

// timeout returns how long a peer has to answer.
func (h *health) timeout(least time.Duration) time.Duration {
	return max(least, h.rtt+4*h.rttVar) * time.Duration(1+h.score)
}

// bucket is a token bucket.
type bucket struct {
	rate, burst float64
	tokens      float64
	filled      time.Time
}

func (b *bucket) fill(now time.Time) {
	if b.filled.IsZero() {
		b.tokens = b.burst
	}
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
