package cpfleetwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpreach"
)

// checkReach attempts to connect to some targets while no target answers this VM.
func (w *Watcher) checkReach(ctx context.Context, now time.Time) {
	state, silent := w.options.Reach.Suspect(now, len(w.states), len(w.View().Services))
	w.updateLost(now, silent)
	if state == cpreach.Reached || w.probing || now.Before(w.nextProbe) {
		return
	}
	clients := w.clientsToProbe()
	if len(clients) == 0 {
		return
	}
	w.probing, w.nextProbe = true, now.Add(probePeriod)
	go func() {
		reached, known := connectAny(ctx, clients)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) {
			w.probing = false
			if known {
				w.handleProbe(now, reached, silent)
			}
		})
	}()
}

// clientsToProbe returns the clients of some targets at random, those with the fewest open connections first.
func (w *Watcher) clientsToProbe() []clementineport.OpaqueTarget {
	all := make([]*cpfleetstate.Target, 0, len(w.states))
	for _, s := range w.states {
		all = append(all, s)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *cpfleetstate.Target) int {
		openA, _ := a.Client.Open()
		openB, _ := b.Client.Open()
		return openA - openB
	})
	var clients []clementineport.OpaqueTarget
	for _, s := range all[:min(probedTargets, len(all))] {
		clients = append(clients, s.Client)
	}
	return clients
}

// connectAny reports whether any of the targets accepts a connection. known is false if none could be attempted.
func connectAny(ctx context.Context, clients []clementineport.OpaqueTarget) (reached, known bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan error, len(clients))
	for _, c := range clients {
		go func() { results <- c.Connect(ctx) }()
	}
	for range clients {
		err := <-results
		if err == nil {
			return true, true
		}
		known = known || clementineport.FaultOf(err) != clementineport.FaultUnsent
	}
	return false, known
}

// handleProbe handles the result of connection attempts after a number of targets had left this VM without an answer.
func (w *Watcher) handleProbe(now time.Time, reached bool, silent int) {
	w.options.Reach.Probed(now, reached)
	w.updateLost(now, silent)
}

// updateLost tells the other VMs when this VM has lost its network path to the targets, and when it has it again.
func (w *Watcher) updateLost(now time.Time, silent int) {
	lost := w.options.Reach.State() == cpreach.Lost
	switch {
	case lost && w.lostAt.IsZero():
		w.lostAt = now
		w.options.Log.Warn(string(cplogevent.TargetsLost), zap.Int("Silent", silent), zap.Int("Targets", len(w.states)))
	case !lost && !w.lostAt.IsZero():
		w.options.Log.Info(string(cplogevent.TargetsRegained), zap.Duration("Lost", now.Sub(w.lostAt)))
		w.lostAt = time.Time{}
	default:
		return
	}
	w.stateReach(now)
}

// stateReach states whether this VM reaches targets.
func (w *Watcher) stateReach(now time.Time) {
	statement := clementineport.VMReach{VM: w.options.Self.ID, Lost: !w.lostAt.IsZero()}
	if w.reach.Set(now, &statement) {
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
		w.stateReach(now.Add(time.Nanosecond))
		return false
	}
	w.options.Log.Info(string(cplogevent.ReachChanged), zap.String("VM", string(r.VM)), zap.Bool("Lost", r.Lost), zap.String("Source", source))
	return true
}

// forgetReach drops the statements of VMs that have ended.
func (w *Watcher) forgetReach() {
	dead := map[clementineport.VMID]bool{}
	for _, m := range w.membership.Members() {
		dead[m.ID] = m.State == clementineport.MemberDead
	}
	w.reach.Forget(func(vm clementineport.VMID) bool { return dead[vm] })
}
