// Package cpquota divides bounds that hold for all VMs together into the part of one VM, and keeps to it. It knows
// the number of VMs only as it is told, and assumes that views of that number differ.
package cpquota

import (
	"math"
	"time"
)

// vmsMemory is how long a number of VMs counts after it has fallen: a VM that vanished may come back, and may still
// hold connections.
const vmsMemory = 20 * time.Second

// spareVMs is the number of VMs that may have joined without this VM knowing.
const spareVMs = 1

// VMCount remembers how many VMCount there may be. It is not safe for concurrent use.
type VMCount struct {
	peaks []peak
}

// peak is a number of VMs and when it was seen last.
type peak struct {
	n  int
	at time.Time
}

// Observe records the number of VMs that are known now, and returns the number to divide by.
func (v *VMCount) Observe(now time.Time, n int) int {
	n = max(n, 1)
	for len(v.peaks) > 0 && v.peaks[len(v.peaks)-1].n <= n {
		v.peaks = v.peaks[:len(v.peaks)-1]
	}
	v.peaks = append(v.peaks, peak{n, now})
	for len(v.peaks) > 1 && now.Sub(v.peaks[0].at) > vmsMemory {
		v.peaks = v.peaks[1:]
	}
	return v.peaks[0].n
}

// ConnectionLimit returns how many connections one of n VMs may open to a target.
func ConnectionLimit(limit, n int) int { return max(1, limit/(n+spareVMs)) }

// Bounds of the requests on their way from one VM to a target.
const (
	// queueFactor is the multiple of a target's slots that all VMs together may have on their way: enough to keep
	// the slots in use, and little enough that what waits is ordered here and not at the target.
	queueFactor = 2
	// leastInFlight lets a VM go on while its first request meets a pause.
	leastInFlight = 2
)

// InFlightLimit returns how many requests one of n VMs may have on their way to a target with a number of slots.
func InFlightLimit(slots, n int) int { return max(leastInFlight, (queueFactor*slots+n-1)/n) }

// RetryShare is the part of the allowed ratio of extra requests that is used; the rest covers requests that are
// counted in one window here and in the next one at the target.
const RetryShare = 0.9

// savedShare is the part of its slack that a VM may save up; the rest comes in evenly, so that it can also be used by
// VMs that get too few requests to earn much.
const savedShare = 0.6

// slackShare is the part of one VM in the extra requests to a service that no request has earned.
type slackShare struct {
	// saved is the most that the VM may save up. It is at least one, since a budget that can hold none never grants
	// what requests have earned; beyond that number of VMs the unused part of the ratio covers the difference.
	saved     float64
	perSecond float64
}

// shareSlack returns the part of one of n VMs.
func shareSlack(bound RetryBound, n int) slackShare {
	own := bound.Slack * RetryShare / float64(max(n, 1)+spareVMs)
	saved := max(1, own*savedShare)
	if own <= saved || bound.Window <= 0 {
		return slackShare{saved: saved}
	}
	return slackShare{saved: saved, perSecond: (own - saved) / bound.Window.Seconds()}
}

// coldShare is the part of what a cold target bears that its owner sends; two VMs may both believe that they own it.
const coldShare = 0.45

// ColdInterval returns the time between two requests to a cold target that bears a number of requests a second.
func ColdInterval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(time.Second) / (perSecond * coldShare))
}
