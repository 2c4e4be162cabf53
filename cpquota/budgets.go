package cpquota

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
)

// RetryBound bounds the extra requests of all VMs to a service in any span of a length: a share of the requests for
// it and a number beyond.
type RetryBound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budgets holds one VM's budget of extra calls for each service. Its methods may be called from many goroutines.
type Budgets struct {
	bound RetryBound

	mu       sync.Mutex
	began    time.Time
	slack    slackShare
	services map[clementineport.ServiceID]*serviceBudget
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	bucket *cpbudget.Bucket
	// credited is up to when the bucket got its share of the slack.
	credited time.Time
}

// NewBudgets returns budgets that are empty and fill from a time on.
func NewBudgets(now time.Time, bound RetryBound) *Budgets {
	return &Budgets{bound: bound, began: now, slack: shareSlack(bound, 1), services: map[clementineport.ServiceID]*serviceBudget{}}
}

// Earn credits a request for a service, as one of a number of VMs.
func (b *Budgets) Earn(now time.Time, service clementineport.ServiceID, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resize(vms)
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{bucket: cpbudget.New(cpbudget.WithShare(b.bound.Ratio * RetryShare)), credited: b.began}
		s.bucket.SetBurst(b.slack.saved)
		b.services[service] = s
	}
	b.credit(now, s)
	s.bucket.Earn(1)
}

// resize takes a new number of VMs to share the slack with. What was saved beyond the new share is lost.
func (b *Budgets) resize(vms int) {
	slack := shareSlack(b.bound, vms)
	if slack == b.slack {
		return
	}
	b.slack = slack
	for _, s := range b.services {
		s.bucket.SetBurst(slack.saved)
	}
}

// credit adds the slack of the time that has passed.
func (b *Budgets) credit(now time.Time, s *serviceBudget) {
	if elapsed := now.Sub(s.credited); elapsed > 0 {
		s.bucket.Credit(elapsed.Seconds() * b.slack.perSecond)
		s.credited = now
	}
}

// Spend takes one extra call from the budget of a service, or reports that there is none. Calls that are worth less
// leave a part of the budget to those that are worth more.
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

// Levels returns how many extra calls the budget of each service holds.
func (b *Budgets) Levels() map[clementineport.ServiceID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	levels := make(map[clementineport.ServiceID]float64, len(b.services))
	for service, s := range b.services {
		levels[service] = s.bucket.Level()
	}
	return levels
}

// mostReserve is the share of a budget that is kept from calls that are worth nothing.
const mostReserve = 0.6

// reserve returns the share of a budget that a call of a value must leave. It rises slowly at first, since an answer
// that is incomplete without the call is worth nearly as much as one that fails without it.
func reserve(value float64) float64 {
	lacking := 1 - min(max(value, 0), 1)
	return mostReserve * lacking * lacking
}
