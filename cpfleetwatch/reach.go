package cpfleetwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpreach"
)

// checkReach attempts to connect to some targets while others fail in a way that a lost path could explain.
func (w *Watcher) checkReach(ctx context.Context, now time.Time) {
	state, failing := w.options.Reach.Suspect(now, w.targetCounts())
	w.updateLost(now, len(failing))
	if state == cpreach.Reached || w.probing || now.Before(w.nextProbe) {
		return
	}
	clients := w.clientsToProbe(failing)
	if len(clients) == 0 {
		return
	}
	w.probing, w.nextProbe = true, now.Add(probePeriod)
	go func() {
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		reached, known := cpreach.ConnectAny(attempt, clients, probedTargets, probedTargets)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) {
			w.probing = false
			if known {
				w.handleProbe(now, reached, len(failing))
			}
		})
	}()
}

// targetCounts returns the number of targets of each service.
func (w *Watcher) targetCounts() map[clementineport.ServiceID]int {
	counts := map[clementineport.ServiceID]int{}
	for service, targets := range w.View().Services {
		counts[service] = len(targets)
	}
	return counts
}

// clientsToProbe returns the clients of all targets in random order, those of failing targets last, since these may have failed
// for reasons of their own.
func (w *Watcher) clientsToProbe(failing map[clementineport.TargetID]clementineport.ServiceID) []clementineport.OpaqueTarget {
	var preferred, others []clementineport.OpaqueTarget
	for id, s := range w.states {
		if _, ok := failing[id]; ok {
			others = append(others, s.Client)
		} else {
			preferred = append(preferred, s.Client)
		}
	}
	rand.Shuffle(len(preferred), func(i, j int) { preferred[i], preferred[j] = preferred[j], preferred[i] })
	return append(preferred, others...)
}

// handleProbe handles the result of connection attempts while a number of targets were failing.
func (w *Watcher) handleProbe(now time.Time, reached bool, failing int) {
	if reached {
		w.options.Reach.Connected(now)
		w.nextProbe = now.Add(soundPathPeriod)
	} else {
		w.options.Reach.Unreachable()
	}
	w.updateLost(now, failing)
}

// updateLost tells the other VMs when this VM has lost its network path to the targets, and when it has it again.
func (w *Watcher) updateLost(now time.Time, failing int) {
	lost := w.options.Reach.State() == cpreach.Lost
	switch {
	case lost && w.lostAt.IsZero():
		w.lostAt = now
		w.options.Log.Warn(string(cplogevent.TargetsLost), zap.Int("Failing", failing), zap.Int("Targets", len(w.states)))
	case !lost && !w.lostAt.IsZero():
		w.options.Log.Info(string(cplogevent.TargetsRegained), zap.Duration("Lost", now.Sub(w.lostAt)))
		w.lostAt, w.ownsFrom = time.Time{}, now.Add(ownershipDelay)
	default:
		return
	}
	w.stateReach(now)
}

// stateReach states whether this VM reaches targets.
func (w *Watcher) stateReach(now time.Time) {
	if w.reach.State(now, w.options.Self.ID, !w.lostAt.IsZero()) {
		w.dirty = true
		w.notifyWaiters()
		w.membership.Announce()
	}
}

// applyReach records what a VM has stated about its path to targets, and reports whether that was not known. A statement of
// this VM itself that is out of date, such as one from before a restart, is answered with the present one.
func (w *Watcher) applyReach(now time.Time, r *clementineport.VMReach, source string) bool {
	if !w.reach.Set(now, r) {
		return false
	}
	if r.VM == w.options.Self.ID {
		w.stateReach(now)
		return false
	}
	if r.Lost {
		w.options.Reach.Doubt(now.Add(-r.Age))
	}
	w.options.Log.Info(string(cplogevent.ReachChanged), zap.String("VM", string(r.VM)), zap.Bool("Lost", r.Lost), zap.String("Source", source))
	return true
}

// forgetReach drops the statements of VMs that have ended.
func (w *Watcher) forgetReach() {
	dead := w.deadVMs()
	w.reach.Forget(func(vm clementineport.VMID) bool { return dead[vm] })
}

// deadVMs returns the VMs that have ended.
func (w *Watcher) deadVMs() map[clementineport.VMID]bool {
	dead := map[clementineport.VMID]bool{}
	for _, m := range w.membership.Members() {
		dead[m.ID] = m.State == clementineport.MemberDead
	}
	return dead
}
