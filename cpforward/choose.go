package cpforward

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpchoice"
	"github.com/clementineport/clementineport/cpfan"
	"github.com/clementineport/clementineport/cpknown"
	"github.com/clementineport/clementineport/cpquota"
)

// Choose implements cpfan.Targets. It reads the newest view each time, so that a target that is leaving gets nothing
// more, not even a call that was planned before.
func (r *run) Choose(now time.Time, service clementineport.ServiceID, purpose cpfan.Purpose, excluded func(*cpchoice.Target) bool) (*cpchoice.Target, cpfan.Availability) {
	view := r.f.options.View()
	warm, cold := split(now, view.Services[service])
	request := &cpchoice.Request{
		Usual: r.usual, VMs: view.VMs, Excluded: excluded, Best: purpose == cpfan.Hedge || purpose == cpfan.Retry,
		Spare: purpose == cpfan.Hedge || purpose == cpfan.Late,
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	target, busy := r.f.chooser.Choose(now, warm, request)
	if target != nil {
		return target, cpfan.Available
	}
	if busy {
		return nil, cpfan.Busy
	}
	return r.f.chooseCold(now, view, cold, request)
}

// Expected implements cpfan.Targets.
func (r *run) Expected(now time.Time, service clementineport.ServiceID) time.Duration {
	view := r.f.options.View()
	warm, _ := split(now, view.Services[service])
	return cpchoice.Expected(now, warm, &cpchoice.Request{Usual: r.usual, VMs: view.VMs})
}

// split divides the targets of a service into warm and cold ones.
func split(now time.Time, targets []cpknown.Target) (warm []cpchoice.Candidate, cold []*cpknown.Target) {
	warm = make([]cpchoice.Candidate, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if t.Cold(now) {
			cold = append(cold, t)
			continue
		}
		warm = append(warm, cpchoice.Candidate{Target: t.State, Near: t.Near, Limit: t.Limit})
	}
	return warm, cold
}

// chooseCold returns a cold target that this VM alone asks, if its next request is due.
func (f *Forwarder) chooseCold(now time.Time, view *cpknown.View, cold []*cpknown.Target, r *cpchoice.Request) (*cpchoice.Target, cpfan.Availability) {
	availability := cpfan.Absent
	for _, t := range cold {
		if !t.Owned || r.Excluded(t.State) {
			continue
		}
		availability = cpfan.Busy
		if now.Before(f.cold[t.State.ID]) {
			continue
		}
		f.cold[t.State.ID] = now.Add(cpquota.ColdInterval(f.coldRate(view, t.State.Service)))
		return t.State, cpfan.Available
	}
	return nil, availability
}

// coldRate returns the requests a second that a cold target of a service may get from all VMs.
func (f *Forwarder) coldRate(view *cpknown.View, service clementineport.ServiceID) float64 {
	spec := view.Router.Table().Services[service]
	return spec.ColdPerSecond*f.options.ColdOverrun + f.options.ColdSlack
}

// MayRepeat implements cpfan.Targets.
func (r *run) MayRepeat(service clementineport.ServiceID, value float64) bool {
	return r.f.budgets.Spend(r.now(), service, value)
}
