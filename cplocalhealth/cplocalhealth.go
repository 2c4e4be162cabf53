// Package cplocalhealth decides how far a VM may trust its own judgement of other VMs.
//
// It is pure: outcomes of exchanges, pauses and the time in, timeouts and a score out.
// It knows nothing of the state of other VMs and makes no calls.
package cplocalhealth

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// cutPeers is the number of different peers that must fail in a row before a VM doubts itself;
// in a fleet of three it is one less.
const cutPeers = 3

// Health is what a VM knows of its own ability to judge others. It is not safe for concurrent use.
type Health struct {
	highest int
	score   int
	others  int
	resumed time.Time
	reached time.Time
	failed  []clementineport.VMID // different peers that failed since the last success
	rtt     time.Duration
	rttVar  time.Duration
}

// New returns a healthy state whose score is at most highest; zero switches the awareness off.
func New(highest int) *Health {
	return &Health{highest: highest}
}

// Score returns the score; zero is healthy.
func (h *Health) Score() int { return h.score }

// FailedPeers returns the different peers that have failed since the last success.
func (h *Health) FailedPeers() []clementineport.VMID { return h.failed }

// SetPeerCount records how many other VMs are known.
func (h *Health) SetPeerCount(n int) { h.others = n }

// RecordPause records that this VM did not run for some periods until now.
func (h *Health) RecordPause(now time.Time, periods int) {
	h.score = min(h.score+periods, h.highest)
	h.resumed = now
	h.reached = time.Time{}
	h.failed = nil
}

// RecordRefutation records that this VM was accused although it is alive.
func (h *Health) RecordRefutation() { h.score = min(h.score+1, h.highest) }

// RecordSuccess records an exchange that was answered.
func (h *Health) RecordSuccess(now, began time.Time) {
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

// RecordFailure records an exchange that was not answered, and reports whether it counts: one that was
// begun before a pause of this VM does not.
func (h *Health) RecordFailure(now, began time.Time, id clementineport.VMID) bool {
	if began.Before(h.resumed) {
		return false
	}
	if h.reached.IsZero() {
		h.reached = now
	}
	if !slices.Contains(h.failed, id) {
		h.failed = append(h.failed, id)
		if h.LikelyIsolated() {
			h.score = min(h.score+1, h.highest)
		}
	}
	return true
}

// LikelyIsolated reports whether so many different peers failed that this VM itself is the likely cause.
func (h *Health) LikelyIsolated() bool {
	return h.highest > 0 && len(h.failed) >= max(cutPeers-1, min(cutPeers, h.others))
}

// Isolated reports whether this VM has reached nobody for a while.
func (h *Health) Isolated(now time.Time, after time.Duration) bool {
	return h.LikelyIsolated() && now.Sub(h.reached) > after
}

// Timeout returns how long a peer has to answer: at least a given time, more when answers have been slow
// and when this VM itself is.
func (h *Health) Timeout(least time.Duration) time.Duration {
	if h.highest == 0 {
		return least
	}
	return max(least, h.rtt+4*h.rttVar) * time.Duration(1+h.score)
}

// ScaleWait returns how long to wait for evidence that is expected within d.
func (h *Health) ScaleWait(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}
