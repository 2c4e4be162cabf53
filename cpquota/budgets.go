package cpquota

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
)

// RetryBound bounds the extra requests to a service by all VMs together. In any span of the length Window, they are at
// most Ratio of the requests for the service plus Slack.
type RetryBound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budgets holds one VM's budget of extra calls to each service. Its methods are safe for concurrent use.
type Budgets struct {
	bound RetryBound

	mu        sync.Mutex
	startedAt time.Time
	slack     slackShare
	services  map[clementineport.ServiceID]*serviceBudget
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	bucket *cpbudget.Bucket
	// creditedUntil is the time up to which the bucket has received its share of the slack.
	creditedUntil time.Time
}

// NewBudgets returns empty budgets that start to fill now.
func NewBudgets(now time.Time, bound RetryBound) *Budgets {
	return &Budgets{bound: bound, startedAt: now, slack: shareSlack(bound, Equal(1)), services: map[clementineport.ServiceID]*serviceBudget{}}
}

// Earn credits a request for a service. share is this VM's share of the slack.
func (b *Budgets) Earn(now time.Time, service clementineport.ServiceID, share Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setShare(now, share)
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{bucket: cpbudget.New(cpbudget.WithShare(b.bound.Ratio * RetryShare)), creditedUntil: b.startedAt}
		s.bucket.SetBurst(b.slack.burst)
		b.services[service] = s
	}
	b.credit(now, s)
	s.bucket.Earn(1)
}

// SetShare sets this VM's share of the slack, which may change while it gets no requests.
func (b *Budgets) SetShare(now time.Time, share Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setShare(now, share)
}

// setShare credits the share up to now and sets the new one. Extra calls beyond the new burst are lost.
func (b *Budgets) setShare(now time.Time, share Share) {
	slack := shareSlack(b.bound, share)
	if slack == b.slack {
		return
	}
	for _, s := range b.services {
		b.credit(now, s)
	}
	b.slack = slack
	for _, s := range b.services {
		s.bucket.SetBurst(slack.burst)
	}
}

// credit adds the share of the slack since the last credit.
func (b *Budgets) credit(now time.Time, s *serviceBudget) {
	if elapsed := now.Sub(s.creditedUntil); elapsed > 0 {
		s.bucket.Credit(elapsed.Seconds() * b.slack.perSecond)
		s.creditedUntil = now
	}
}

// Spend takes one extra call from the budget of a service and reports whether the budget allowed it. A call of lower
// value must leave a larger part of the budget to calls of higher value.
func (b *Budgets) Spend(now time.Time, service clementineport.ServiceID, value float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return false
	}
	b.credit(now, s)
	return s.bucket.SpendAbove(reserve(value))
}

// Levels returns the number of extra calls in the budget of each service.
func (b *Budgets) Levels() map[clementineport.ServiceID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	levels := make(map[clementineport.ServiceID]float64, len(b.services))
	for service, s := range b.services {
		levels[service] = s.bucket.Level()
	}
	return levels
}

// maxReserve is the share of a budget that calls of value zero must leave.
const maxReserve = 0.6

// reserve returns the share of a budget that a call of a given value must leave. It rises slowly as the value falls from
// one: a call without which an answer is incomplete is worth nearly as much as one without which the request fails.
func reserve(value float64) float64 {
	missing := 1 - min(max(value, 0), 1)
	return maxReserve * missing * missing
}
