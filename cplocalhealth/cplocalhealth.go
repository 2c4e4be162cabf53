// Package cplocalhealth implements local health awareness as in the Lifeguard extensions of SWIM: it scores how reliably
// a VM can detect failures of other VMs, and extends timeouts while the VM itself is slow.
//
// The package is pure: outcomes of exchanges, pauses and the current time go in, timeouts and a score come out. It keeps
// no state of other VMs except which ones have failed to answer, and performs no I/O.
package cplocalhealth

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// isolationPeers is the number of different peers that must fail in a row before a VM considers itself the likely cause.
// It is one less in a fleet of three.
const isolationPeers = 3

// Health is the local health of a VM. It is not safe for concurrent use.
type Health struct {
	maxScore  int
	score     int
	peerCount int
	// resumedAt is the end of the last pause of this VM.
	resumedAt time.Time
	// reachedAt is when a peer last answered. If none has answered since the start or the last pause, it is the time of
	// the first failure since then.
	reachedAt time.Time
	// failed lists the different peers that have failed since the last success.
	failed []clementineport.VMID
	// rtt and rttVar are the smoothed round-trip time and its mean deviation.
	rtt    time.Duration
	rttVar time.Duration
}

// New returns a healthy state with a maximum score. A maximum of zero disables local health awareness.
func New(maxScore int) *Health {
	return &Health{maxScore: maxScore}
}

// Score returns the score. Zero is healthy.
func (h *Health) Score() int { return h.score }

// FailedPeers returns the different peers that have failed to answer since the last success.
func (h *Health) FailedPeers() []clementineport.VMID { return h.failed }

// SetPeerCount sets the number of other known VMs.
func (h *Health) SetPeerCount(n int) { h.peerCount = n }

// RecordPause records a pause of this VM that lasted a number of periods and ended now.
func (h *Health) RecordPause(now time.Time, periods int) {
	h.score = min(h.score+periods, h.maxScore)
	h.resumedAt = now
	h.reachedAt = time.Time{}
	h.failed = nil
}

// RecordRefutation records that this VM has refuted a report that it is suspect or dead.
func (h *Health) RecordRefutation() { h.score = min(h.score+1, h.maxScore) }

// RecordSuccess records an answered exchange. The round-trip time of one that began before a pause of this VM is ignored.
func (h *Health) RecordSuccess(now, began time.Time) {
	h.score = max(h.score-1, 0)
	h.reachedAt = now
	h.failed = nil
	if began.Before(h.resumedAt) {
		return
	}
	d := now.Sub(began)
	h.rttVar += ((d - h.rtt).Abs() - h.rttVar) / 4
	h.rtt += (d - h.rtt) / 8
}

// RecordFailure records an unanswered exchange and reports whether it counts. An exchange that began before a pause of
// this VM does not count.
func (h *Health) RecordFailure(now, began time.Time, id clementineport.VMID) bool {
	if began.Before(h.resumedAt) {
		return false
	}
	if h.reachedAt.IsZero() {
		h.reachedAt = now
	}
	if !slices.Contains(h.failed, id) {
		h.failed = append(h.failed, id)
		if h.LikelyIsolated() {
			h.score = min(h.score+1, h.maxScore)
		}
	}
	return true
}

// LikelyIsolated reports whether so many different peers have failed that this VM itself is the likely cause.
func (h *Health) LikelyIsolated() bool {
	return h.maxScore > 0 && len(h.failed) >= max(isolationPeers-1, min(isolationPeers, h.peerCount))
}

// Isolated reports whether this VM is likely isolated and has not reached any peer for longer than a given time.
func (h *Health) Isolated(now time.Time, after time.Duration) bool {
	return h.LikelyIsolated() && now.Sub(h.reachedAt) > after
}

// Timeout returns the timeout of an exchange. It is at least minimum, and longer if round trips have been slow or
// the score is above zero.
func (h *Health) Timeout(minimum time.Duration) time.Duration {
	if h.maxScore == 0 {
		return minimum
	}
	return max(minimum, h.rtt+4*h.rttVar) * time.Duration(1+h.score)
}

// ScaleWait returns how long to wait for evidence that a healthy VM would expect within d. It is longer while the score
// is above zero.
func (h *Health) ScaleWait(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}
