package cpquota

import (
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// Bounds of the requests of all VMs together to a target that states how many requests a second it takes.
const (
	// requestRateUse is the share of the target's limit that VMs use. The rest is for VMs that see fewer others than there
	// are.
	requestRateUse = 0.8
	// savedRequestsTime times the limit, plus savedRequests, is the number of requests that all VMs together may send at
	// once after a time without any.
	savedRequestsTime = 1500 * time.Millisecond
	savedRequests     = 2
	// minRequestRate is the rate that VMs use of a lower limit, so that they notice its end.
	minRequestRate clementineport.RequestRate = 0.25
	// minJitter is the shortest random interval, as a share of the mean one.
	minJitter = 0.5
)

// RequestShare is one VM's share of the requests a second that a target takes from all VMs together. VMs keep to the limit
// without agreement: each sends at an equal part of it, and saves up only a few requests. If there are more VMs than
// requests that may be saved up, what a VM has not used expires, so that only some VMs hold a request at any time.
//
// The zero value is unlimited. A RequestShare is not safe for concurrent use.
type RequestShare struct {
	rate    clementineport.RequestRate
	senders int
	// interval is the time in which this VM gets one more request.
	interval time.Duration
	// burst is the number of requests that this VM may save up.
	burst int
	// validFor is how long a saved request may be used, or zero if it does not expire.
	validFor time.Duration
	// next is the theoretical arrival time of the generic cell rate algorithm: the next request may be sent from burst-1
	// intervals before it on.
	next time.Time
	// random returns numbers in [0, 1).
	random func() float64
}

// Limited reports whether the share has a limit.
func (s *RequestShare) Limited() bool { return s.interval > 0 }

// SetLimit sets the limit of the target and the number of VMs that share it. A share that had no limit starts with nothing
// saved up, at a random part of its interval; random returns numbers in [0, 1).
func (s *RequestShare) SetLimit(now time.Time, rate clementineport.RequestRate, senders int, random func() float64) {
	if s.Limited() && rate == s.rate && senders == s.senders {
		return
	}
	first, before := !s.Limited(), s.interval
	s.rate, s.senders, s.random = rate, senders, random
	s.divide(max(rate, minRequestRate), max(senders, 1))
	switch due := s.next.Sub(now); {
	case first:
		s.next = now.Add(time.Duration(s.burst-1)*s.interval + scale(s.interval, random()))
	case due > 0:
		due = scale(due, float64(s.interval)/float64(before))
		s.next = now.Add(min(due, time.Duration(s.burst)*s.interval))
	}
}

// Unlimit removes the limit.
func (s *RequestShare) Unlimit() { *s = RequestShare{} }

// divide sets this VM's part of a rate.
func (s *RequestShare) divide(rate clementineport.RequestRate, senders int) {
	s.interval = scale(time.Second, float64(senders)/(float64(rate)*requestRateUse))
	saved := float64(rate)*savedRequestsTime.Seconds() + savedRequests
	s.burst = max(1, int(saved)/senders)
	s.validFor = 0
	if float64(senders) > saved {
		s.validFor = scale(s.interval, saved/(float64(senders)-saved))
	}
}

// Wait returns how long this VM must wait before it may send a request; zero means that it may send one now.
func (s *RequestShare) Wait(now time.Time) time.Duration {
	if !s.Limited() {
		return 0
	}
	due := s.next.Add(-time.Duration(s.burst-1) * s.interval)
	for s.validFor > 0 && now.Sub(due) >= s.validFor {
		due = due.Add(s.validFor + s.jittered()) // a request has expired, and the next one is earned
		s.next = due
	}
	return max(0, due.Sub(now))
}

// Take records that a request is sent now. It must not be called while Wait is above zero.
func (s *RequestShare) Take(now time.Time) {
	if !s.Limited() {
		return
	}
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(s.jittered())
}

// jittered returns the time in which this VM gets one more request. Where requests expire it is random, so that VMs that
// have sent requests at the same time do not get the next ones at the same time.
func (s *RequestShare) jittered() time.Duration {
	if s.validFor == 0 {
		return s.interval
	}
	return scale(s.interval, minJitter+s.random()*2*(1-minJitter))
}

// scale returns a multiple of a duration, at most the longest one.
func scale(d time.Duration, factor float64) time.Duration {
	scaled := float64(d) * factor
	if scaled >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(scaled)
}
