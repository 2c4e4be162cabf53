package cpforward

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpquota"
)

// Choose implements cpfanout.Targets. It reads the newest view on each call, so that a draining target gets no further
// calls, including hedges and retries of requests that are already running.
func (r *run) Choose(now time.Time, service clementineport.ServiceID, purpose cpfanout.Purpose, excluded func(*cpbalancer.Target) bool) (*cpbalancer.Target, cpfanout.Availability) {
	if !r.mayCall(purpose) {
		return nil, cpfanout.Unavailable
	}
	view := r.f.options.View()
	request := &cpbalancer.Request{
		TypicalLatency: r.typicalLatency, VMs: view.Sending, Senders: view.Share().Senders(), Excluded: excluded, PickBest: purpose == cpfanout.Hedge || purpose == cpfanout.Retry,
		FreeSlotOnly: purpose == cpfanout.Hedge || purpose == cpfanout.Late,
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if rollout := view.Rollouts[service]; rollout != nil && !rollout.Phase.Ended() {
		return r.chooseVersion(now, view, rollout, service, purpose, request)
	}
	return r.f.choose(now, view, view.Services[service], request)
}

// choose returns one of the given targets: a warm one, or a cold one if no warm one is usable. The caller holds f.mu.
func (f *Forwarder) choose(now time.Time, view *cpfleetstate.View, targets []cpfleetstate.Target, request *cpbalancer.Request) (*cpbalancer.Target, cpfanout.Availability) {
	warm, cold := split(now, targets)
	target, busy := f.chooser.Choose(now, warm, request)
	if target != nil {
		return target, cpfanout.Available
	}
	if busy {
		return nil, cpfanout.Busy
	}
	return f.chooseCold(now, view, cold, request)
}

// Latency implements cpfanout.Targets.
func (r *run) Latency(now time.Time, service clementineport.ServiceID) time.Duration {
	view := r.f.options.View()
	warm, _ := split(now, usable(view, service))
	return cpbalancer.ExpectedLatency(now, warm, &cpbalancer.Request{TypicalLatency: r.typicalLatency, VMs: view.Sending})
}

// split separates the warm targets of a service from the cold ones. It omits those that accept no requests now.
func split(now time.Time, targets []cpfleetstate.Target) (warm []cpbalancer.Candidate, cold []*cpfleetstate.Target) {
	warm = make([]cpbalancer.Candidate, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if t.Client.Notice().Closed(now) {
			continue
		}
		if t.Cold(now) {
			cold = append(cold, t)
			continue
		}
		warm = append(warm, candidate(t))
	}
	return warm, cold
}

// candidate returns a target as a candidate of a choice.
func candidate(t *cpfleetstate.Target) cpbalancer.Candidate {
	return cpbalancer.Candidate{
		Target: t.State, SameDomain: t.SameDomain, InFlightLimit: t.InFlightLimit, Limited: t.Limited, Limit: t.Limit,
	}
}

// chooseCold returns a cold target that this VM owns and whose next request is due.
func (f *Forwarder) chooseCold(now time.Time, view *cpfleetstate.View, cold []*cpfleetstate.Target, r *cpbalancer.Request) (*cpbalancer.Target, cpfanout.Availability) {
	availability := cpfanout.Unavailable
	for _, t := range cold {
		if !t.Owned || now.Before(t.OwnedFrom) || r.Excluded(t.State) {
			continue
		}
		availability = cpfanout.Busy
		if c := candidate(t); !t.State.ColdDue(now) || !f.chooser.TakeShare(now, &c, r) {
			continue
		}
		t.State.SentCold(now, cpquota.ColdInterval(f.coldRate(view, t.State.Service)))
		return t.State, cpfanout.Available
	}
	return nil, availability
}

// coldRate returns the bound of the requests a second to a cold target of a service from all VMs together.
func (f *Forwarder) coldRate(view *cpfleetstate.View, service clementineport.ServiceID) float64 {
	spec := view.Router.Table().Services[service]
	return spec.ColdPerSecond*f.options.ColdOverrun + f.options.ColdSlack
}

// SpendExtraCall implements cpfanout.Targets.
func (r *run) SpendExtraCall(service clementineport.ServiceID, value float64) bool {
	return r.f.spend(r.now(), service, value)
}

// spend takes an extra call from the budget of a service, and reports whether the budget has one. It first applies this VM's
// present share of the budget.
func (f *Forwarder) spend(now time.Time, service clementineport.ServiceID, value float64) bool {
	f.budgets.SetShare(now, f.options.View().Share())
	return f.budgets.Spend(now, service, value)
}
