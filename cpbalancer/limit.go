package cpbalancer

import (
	"math/rand/v2"
	"time"
)

// TakeShare takes a request from this VM's share of a candidate's limit, and reports whether there was one. Choose does so
// by itself.
func (c *Chooser) TakeShare(now time.Time, candidate *Candidate, r *Request) bool {
	if c.withheld(now, candidate, r) {
		return false
	}
	candidate.Target.takeShare(now)
	return true
}

// withheld reports whether the limit of a candidate forbids a request now. Hedges and requests past their objective leave
// targets with a limit to others.
func (c *Chooser) withheld(now time.Time, candidate *Candidate, r *Request) bool {
	wait := candidate.Target.share(now, candidate, r.Senders)
	return wait > 0 || candidate.Limited && r.FreeSlotOnly
}

// share applies the limit of a candidate, and returns how long this VM must wait before it may send the target a request.
func (t *Target) share(now time.Time, candidate *Candidate, senders int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !candidate.Limited {
		t.requests.Unlimit()
		return 0
	}
	// The source of random numbers of the chooser is not safe for concurrent use, but the target is.
	t.requests.SetLimit(now, candidate.Limit, senders, rand.Float64)
	return t.requests.Wait(now)
}

// LimitWait returns how long this VM must wait before it may send the target a request, according to the limit that was in
// force at the latest choice.
func (t *Target) LimitWait(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests.Wait(now)
}

// takeShare records that a request is sent.
func (t *Target) takeShare(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.Take(now)
}
