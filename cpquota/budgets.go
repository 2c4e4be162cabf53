package cpquota

import (
	"sync"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
)

// Budgets holds the budget of extra calls of each service. Its methods may be called from many goroutines.
type Budgets struct {
	ratio float64
	slack float64

	mu       sync.Mutex
	vms      int
	services map[clementineport.ServiceID]*cpbudget.Bucket
}

// NewBudgets returns empty budgets under a bound for all VMs: a share of the requests and a number beyond.
func NewBudgets(ratio, slack float64) *Budgets {
	return &Budgets{ratio: ratio, slack: slack, services: map[clementineport.ServiceID]*cpbudget.Bucket{}}
}

// Earn credits a request for a service. When the number of VMs changes, all budgets begin anew and empty, so that
// what was saved as one of few VMs is not spent as one of many.
func (b *Budgets) Earn(service clementineport.ServiceID, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms != b.vms {
		b.vms = vms
		clear(b.services)
	}
	bucket := b.services[service]
	if bucket == nil {
		bucket = cpbudget.New(
			cpbudget.WithShare(b.ratio*RetryShare), cpbudget.WithBurst(RetryBurst(b.slack, vms)),
		)
		b.services[service] = bucket
	}
	bucket.Earn(1)
}

// Spend takes one extra call from the budget of a service, or reports that there is none. Calls that are worth less
// leave a part of the budget to those that are worth more.
func (b *Budgets) Spend(service clementineport.ServiceID, value float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.services[service]
	return bucket != nil && bucket.SpendAbove(reserve(value))
}

// Levels returns how many extra calls the budget of each service holds.
func (b *Budgets) Levels() map[clementineport.ServiceID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	levels := make(map[clementineport.ServiceID]float64, len(b.services))
	for service, bucket := range b.services {
		levels[service] = bucket.Level()
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
