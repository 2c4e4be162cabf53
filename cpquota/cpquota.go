// Package cpquota computes and enforces one VM's share of bounds that apply to all VMs together. The number of VMs is
// passed in, and the shares allow for VMs that see different numbers.
package cpquota

import (
	"math"
	"time"
)

// peakRetention is how long a number of VMs still counts after it has fallen: a VM that is no longer seen may return, and
// may still hold connections.
const peakRetention = 20 * time.Second

// unseenVMs is the number of VMs that may have joined without this VM having seen them.
const unseenVMs = 1

// VMCount tracks the number of VMs that may be running. It is not safe for concurrent use.
type VMCount struct {
	peaks []peak
}

// peak is a number of VMs and the time at which it was last seen.
type peak struct {
	n  int
	at time.Time
}

// Observe records the number of VMs that are seen now and returns the number to divide by, which is the highest one seen
// within peakRetention.
func (v *VMCount) Observe(now time.Time, n int) int {
	n = max(n, 1)
	for len(v.peaks) > 0 && v.peaks[len(v.peaks)-1].n <= n {
		v.peaks = v.peaks[:len(v.peaks)-1]
	}
	v.peaks = append(v.peaks, peak{n, now})
	for len(v.peaks) > 1 && now.Sub(v.peaks[0].at) > peakRetention {
		v.peaks = v.peaks[1:]
	}
	return v.peaks[0].n
}

// ConnectionLimit returns one of n VMs' share of a target's connection limit, at least one.
func ConnectionLimit(limit, n int) int { return Equal(n).Connections(limit) }

// Bounds of the requests in flight from one VM to a target.
const (
	// queueFactor is the multiple of a target's slots that all VMs together may have in flight. It keeps the slots in
	// use, and makes further requests wait at the VMs, which decide their order, instead of at the target.
	queueFactor = 2
	// minInFlight lets a VM make progress while a pause of the target delays one request.
	minInFlight = 2
)

// InFlightLimit returns the number of requests that one of n VMs may have in flight to a target.
func InFlightLimit(slots, n int) int { return max(minInFlight, (queueFactor*slots+n-1)/n) }

// RetryShare is the share of a RetryBound that VMs use. The rest covers requests that fall into one window at the VM and
// into the next one at the target.
const RetryShare = 0.9

// burstShare is the share of its slack that a VM may hold at once. The rest is credited evenly over the window, so that
// VMs with too few requests to earn much can use it as well.
const burstShare = 0.6

// slackShare is one VM's share of the slack of a RetryBound.
type slackShare struct {
	// burst is the maximum number of extra calls that the VM may hold. It is at least one, since a budget that holds
	// less never allows the calls that requests have earned. If there are so many VMs that their shares are below one,
	// the unused part of the ratio covers the excess.
	burst     float64
	perSecond float64
}

// shareSlack returns a VM's share of the slack.
func shareSlack(bound RetryBound, share Share) slackShare {
	own := share.slack(bound.Slack * RetryShare)
	burst := max(1, own*burstShare)
	if own <= burst || bound.Window <= 0 {
		return slackShare{burst: burst}
	}
	return slackShare{burst: burst, perSecond: (own - burst) / bound.Window.Seconds()}
}

// coldShare is the share of a cold target's request rate that its owner sends. It is below one half because two VMs may
// both consider themselves the owner.
const coldShare = 0.45

// ColdInterval returns the interval between two requests from the owner of a cold target that can serve a number of
// requests a second.
func ColdInterval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(time.Second) / (perSecond * coldShare))
}
