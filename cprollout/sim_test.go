package cprollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cprollout"
)

// The bounds are those of both deployments.
var bounds = cprollout.Bounds{Share: 0.1, Slack: 50, Contact: 5 * time.Second, Outage: 15 * time.Second}

const (
	service  = clementineport.ServiceID("desk")
	simStep  = 50 * time.Millisecond
	rollBack = 5 * time.Second
)

// behavior returns whether an answer of a version fails, and its latency. load is the share of the requests that the version
// gets.
type behavior func(at time.Duration, route clementineport.RouteID, load float64) (failed bool, latency time.Duration)

// site is a fleet in virtual time with one service whose version is rolled out.
type site struct {
	vms      int
	rate     float64 // requests a second of all VMs
	duration time.Duration
	old, new behavior
	// newFrom is when targets of the new version are registered; negative means never.
	newFrom time.Duration
	// oldGone is when no old target is usable any more, or zero.
	oldGone time.Duration
	// oldEnds is how long it takes until calls to old targets have ended.
	oldEnds time.Duration
	// learn is the longest time until a VM learns a state, and news until the reports of a VM reach the driver.
	learn, news time.Duration
	// cut reports whether a VM reaches neither the store nor other VMs, and restarts whether it begins anew.
	cut      func(vm int, at time.Duration) bool
	restarts func(vm int, at time.Duration) bool
	// driverless reports whether no driver is running or none can write.
	driverless func(at time.Duration) bool
	cold       bool
	rand       *rand.Rand
}

// result is what a site has seen.
type result struct {
	phase        clementineport.RolloutPhase
	reason       string
	endedAt      time.Duration
	total, fresh int
	bad          int
	// fiftieth is when the 50th bad answer came, and lastSent when the last request went to the new version.
	fiftieth, lastSent time.Duration
	failedCallers      int
}

// simVM is one VM of a site.
type simVM struct {
	tracker   *cprollout.Tracker
	start     int
	rollout   *cprollout.Rollout
	confirmed time.Duration
	pending   []pendingCall
}

type pendingCall struct {
	at     time.Duration
	finish func(now time.Time)
}

type delivery struct {
	at time.Duration
	do func()
}

func (s *site) run() *result {
	out := &result{}
	epoch := time.Unix(1000, 0)
	order := clementineport.RolloutOrder{Service: service, Version: "v2", Duration: s.duration, Revision: 5}
	stored := &clementineport.RolloutStatus{}
	vms := make([]*simVM, s.vms)
	fresh := func(i, start int) *simVM {
		return &simVM{start: start, tracker: cprollout.NewTracker(cprollout.WithBounds(bounds), cprollout.WithStart(fmt.Sprint(i, start)))}
	}
	for i := range vms {
		vms[i] = fresh(i, 0)
	}
	reports, judge := cprollout.NewReports(), cprollout.NewJudge()
	var deliveries []delivery
	revision := clementineport.Revision(5)
	phaseAt, lastWrite, phaseEnded := time.Duration(0), time.Duration(-time.Hour), int64(0)
	var recentNew, recentAll float64
	for at := time.Duration(0); at < s.duration+25*time.Second; at += simStep {
		now := epoch.Add(at)
		due := deliveries
		deliveries = nil
		for _, d := range due {
			if d.at <= at {
				d.do()
			} else {
				deliveries = append(deliveries, d)
			}
		}
		recentNew, recentAll = recentNew*0.95, recentAll*0.95
		for i, vm := range vms {
			if s.restarts != nil && s.restarts(i, at) {
				vms[i] = fresh(i, vm.start+1)
				vm = vms[i]
			}
			cut := s.cut != nil && s.cut(i, at)
			if !cut {
				vm.confirmed = at
			}
			if vm.rollout == nil && !cut && at >= time.Duration(s.rand.Float64()*float64(s.learn)) {
				s.set(vm, now, cprollout.New(&order, nilIfNone(stored)), epoch)
			}
			pending := vm.pending[:0]
			for _, p := range vm.pending {
				if p.at <= at {
					p.finish(now)
				} else {
					pending = append(pending, p)
				}
			}
			vm.pending = pending
			if vm.rollout == nil {
				continue
			}
			vm.tracker.Set(now, map[clementineport.ServiceID]*cprollout.Rollout{service: vm.rollout}, s.vms)
			for n := s.arrivals(); n > 0; n-- {
				toNew, ok := s.send(vm, at, now, recentNew/max(1, recentAll), out)
				recentAll++
				if at < s.duration {
					out.total++ // the bound is for the time until the deadline
				}
				if toNew {
					recentNew++
				}
				if !ok {
					out.failedCallers++
				}
			}
			if report, ok := vm.tracker.Report(service); ok && at%(500*time.Millisecond) == 0 && !cut {
				report.VM, report.Start = clementineport.VMID(fmt.Sprint("vm-", i)), clementineport.StartID(fmt.Sprint(vm.start))
				made := now
				deliveries = append(deliveries, delivery{at + s.news, func() {
					report.Age = epoch.Add(at + s.news).Sub(made)
					reports.Set(epoch.Add(at+s.news), &report)
				}})
				if report.Stopped {
					for _, other := range vms {
						deliveries = append(deliveries, delivery{at + s.news, func() { other.tracker.Stop(service, order.Revision) }})
					}
				}
			}
		}
		if at%(200*time.Millisecond) == 0 {
			judge.Observe(now, reports.Totals(service, order.Revision))
		}
		if _, bad := judge.Alarm(); bad { // every VM that gets reports judges by itself
			for i, vm := range vms {
				if s.cut == nil || !s.cut(i, at) {
					vm.tracker.Stop(service, order.Revision)
				}
			}
		}
		if at%(200*time.Millisecond) != 0 || s.driverless != nil && s.driverless(at) || at-lastWrite < s.news {
			continue
		}
		rollout := cprollout.New(&order, nilIfNone(stored))
		rollout.OrderedAt, rollout.PhaseAt = epoch, epoch.Add(phaseAt)
		e := &cprollout.Evidence{
			Now: now, Rollout: rollout, Judge: judge, OldTargets: 3, OldSlots: 9, Stopped: reports.Stopped(service, order.Revision),
			TrialAnswers: judge.Ended() - phaseEnded, OldEnded: at-phaseAt >= s.learn+s.oldEnds,
		}
		if s.newFrom >= 0 && at >= s.newFrom {
			e.NewTargets, e.NewSlots = 3, 9
		}
		next := cprollout.Decide(e, &bounds)
		if next == nil {
			continue
		}
		revision++
		next.Revision = revision
		if next.Phase != stored.Phase {
			phaseAt, phaseEnded = at, judge.Ended()
		}
		lastWrite = at
		stored = next
		if out.endedAt == 0 && next.Phase.Ended() {
			out.endedAt, out.phase, out.reason = at, next.Phase, next.Reason
		}
		for i := range vms {
			delay := s.news/2 + time.Duration(s.rand.Float64()*float64(s.learn))
			var set func()
			set = func() {
				if s.cut != nil && s.cut(i, at+delay) {
					delay += time.Second
					deliveries = append(deliveries, delivery{at + delay, set})
					return
				}
				if vms[i].rollout == nil || vms[i].rollout.Stored.Revision < next.Revision {
					s.set(vms[i], epoch.Add(at+delay), cprollout.New(&order, next), epoch)
				}
			}
			deliveries = append(deliveries, delivery{at + delay, set})
		}
	}
	return out
}

func nilIfNone(s *clementineport.RolloutStatus) *clementineport.RolloutStatus {
	if s.Revision == 0 {
		return nil
	}
	return s
}

func (s *site) set(vm *simVM, now time.Time, r *cprollout.Rollout, epoch time.Time) {
	r.OrderedAt, r.PhaseAt = epoch, now
	vm.rollout = r
	vm.tracker.Set(now, map[clementineport.ServiceID]*cprollout.Rollout{service: r}, s.vms)
}

// arrivals returns the number of requests that arrive at one VM in one step.
func (s *site) arrivals() (n int) {
	expected := s.rate / float64(s.vms) * simStep.Seconds()
	for ; expected >= 1; expected-- {
		n++
	}
	if s.rand.Float64() < expected {
		n++
	}
	return n
}

// send sends one request, and reports whether it went to the new version and whether any target was usable.
func (s *site) send(vm *simVM, at time.Duration, now time.Time, load float64, out *result) (toNew, ok bool) {
	route := clementineport.RouteID("a")
	if s.rand.IntN(4) == 0 {
		route = "b"
	}
	vm.tracker.Arrived(service, route, vm.rollout)
	use := vm.tracker.Plan(service, route, vm.rollout, true, at-vm.confirmed)
	hasNew, hasOld := s.newFrom >= 0 && at >= s.newFrom, s.oldGone == 0 || at < s.oldGone
	role := cprollout.OldVersion
	switch {
	case use == cprollout.UseNew, use == cprollout.UseNewFirst && hasNew, use == cprollout.UseOldFirst && !hasOld && hasNew:
		role = cprollout.NewVersion
	case !hasOld:
		return false, false
	}
	if role == cprollout.NewVersion && !hasNew {
		return false, false
	}
	call := vm.tracker.Sent(service, route, role, role == cprollout.NewVersion && s.cold)
	behave := s.old
	if role == cprollout.NewVersion {
		behave = s.new
		out.fresh++
		out.lastSent = at
	}
	failed, latency := behave(at, route, load)
	vm.pending = append(vm.pending, pendingCall{at + latency, func(done time.Time) {
		outcome := cprollout.Answered
		if failed {
			outcome = cprollout.Failed
		}
		if role == cprollout.NewVersion && (failed || latency > 250*time.Millisecond) {
			if out.bad++; out.bad == 50 {
				out.fiftieth = done.Sub(now) + at
			}
		}
		call.Done(done, outcome, latency, 60*time.Millisecond)
	}})
	return role == cprollout.NewVersion, true
}
