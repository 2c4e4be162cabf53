package cpfleetwatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cprollout"
)

// rolloutWatch is what the loop knows of the rollout of a service.
type rolloutWatch struct {
	order clementineport.Revision
	phase clementineport.RolloutPhase
	judge *cprollout.Judge
	// phaseEnded is the number of answers of the new version when the phase began.
	phaseEnded int64
	// drivers are the VMs that may drive the rollout, in the order in which they do.
	drivers    []clementineport.VMID
	nextReport time.Time
	oldEnded   bool
	// pendingSince is when a step became due that the store doesn't show yet, or zero.
	pendingSince time.Time
	saving       bool
	nextSave     time.Time
	saveFailed   bool
}

// setRollouts puts the rollouts into a view and gives them to the tracker. Without bounds, orders are ignored.
func (w *Watcher) setRollouts(now time.Time, view *cpfleetstate.View) {
	if !w.options.Rollouts.Enabled() {
		return
	}
	view.Rollouts = w.catalog.Rollouts()
	w.options.Rollouts.Set(now, view.Rollouts, view.Senders())
	if last := w.view.Load(); last != nil {
		w.logRollouts(last.Rollouts, view.Rollouts)
	}
}

// logRollouts logs the rollouts whose phase has changed.
func (w *Watcher) logRollouts(before, after map[clementineport.ServiceID]*cprollout.Rollout) {
	for service, r := range after {
		if last := before[service]; last != nil && last.Phase == r.Phase && last.Order.Revision == r.Order.Revision {
			continue
		}
		w.options.Log.Info(string(cplogevent.RolloutChanged), zap.String("Service", string(service)), zap.String("TargetVersion", string(r.Version)),
			zap.Stringer("Phase", r.Phase), zap.Float64("Share", r.Share), zap.String("Driver", string(r.Stored.Driver)), zap.String("Cause", r.Stored.Reason))
	}
}

// mayUse reports whether the rollout of a target's service lets it be used. After a rollout was completed, a service without any
// target of that version uses all others: they have been replaced without an order.
func (w *Watcher) mayUse(view *cpfleetstate.View, t *cpcatalog.Target) bool {
	r := view.Rollouts[t.Service]
	if r == nil || r.Usable(t.Version) {
		return true
	}
	if r.Phase != clementineport.RolloutCompleted || r.RoleOf(t.Version) == cprollout.AvoidedVersion {
		return false
	}
	for _, other := range w.catalog.Targets() {
		if other.Service == t.Service && other.Version == r.Version {
			return false
		}
	}
	return true
}

// checkRollouts reports what this VM has seen of rollouts, judges them, and takes the steps of those that it drives.
func (w *Watcher) checkRollouts(ctx context.Context, now time.Time) {
	if !w.options.Rollouts.Enabled() || now.Before(w.nextRollouts) {
		return
	}
	w.nextRollouts = now.Add(rolloutPeriod)
	rollouts := w.catalog.Rollouts()
	for service := range w.rollouts {
		if rollouts[service] == nil {
			delete(w.rollouts, service)
		}
	}
	w.reports.Keep(func(service clementineport.ServiceID, order clementineport.Revision) bool {
		r := rollouts[service]
		return r == nil || order > r.Order.Revision || r.Active() && order == r.Order.Revision
	})
	if len(rollouts) > 0 {
		w.options.Rollouts.Set(now, rollouts, w.View().Senders())
	}
	for service, r := range rollouts {
		watch := w.watchRollout(service, r)
		if r.Active() {
			w.report(now, service, r, watch)
			watch.judge.Observe(now, w.reports.Totals(service, r.Order.Revision))
			w.judgeRollout(service, r, watch)
		}
		w.drive(ctx, now, r, watch)
	}
}

// watchRollout returns the state of the loop for a rollout.
func (w *Watcher) watchRollout(service clementineport.ServiceID, r *cprollout.Rollout) *rolloutWatch {
	watch := w.rollouts[service]
	if watch == nil || watch.order != r.Order.Revision {
		watch = &rolloutWatch{order: r.Order.Revision, judge: cprollout.NewJudge()}
		w.rollouts[service] = watch
	}
	if watch.phase != r.Phase {
		watch.phase, watch.phaseEnded = r.Phase, watch.judge.Ended()
	}
	members := w.membership.Members()
	watch.drivers = watch.drivers[:0]
	for _, i := range cpowner.Rank("rollout "+string(service), members, rolloutDrivers, func(m *clementineport.Member) bool {
		return m.State == clementineport.MemberAlive && !m.Leaving
	}) {
		watch.drivers = append(watch.drivers, members[i].ID)
	}
	return watch
}

// report makes the report of this VM and sends it to the VMs that drive the rollout.
func (w *Watcher) report(now time.Time, service clementineport.ServiceID, r *cprollout.Rollout, watch *rolloutWatch) {
	if now.Before(watch.nextReport) {
		return
	}
	watch.nextReport = now.Add(reportPeriod)
	report, ok := w.options.Rollouts.Report(service)
	if !ok {
		return
	}
	report.VM, report.Start = w.options.Self.ID, w.options.Self.Start
	promised := cprollout.MayPromise(now, r, w.Age(), w.bounds()) && w.options.Rollouts.Promise(service, r.Order.Revision)
	report.OldEnded = promised && !w.callsOld(service, r)
	if report.OldEnded != watch.oldEnded {
		watch.oldEnded = report.OldEnded
		w.membership.Announce()
	}
	w.reports.Set(now, &report)
	for _, id := range watch.drivers[:min(2, len(watch.drivers))] {
		if id != w.options.Self.ID {
			w.membership.RequestProbe(now, id)
		}
	}
}

// bounds returns the fleet-wide limits of rollouts.
func (w *Watcher) bounds() *cprollout.Bounds {
	b := w.options.Rollouts.Bounds()
	return &b
}

// callsOld reports whether a call of this VM to an old target of a service is under way.
func (w *Watcher) callsOld(service clementineport.ServiceID, r *cprollout.Rollout) bool {
	for _, s := range w.states {
		if s.State.Service == service && r.RoleOf(s.State.Version) == cprollout.OldVersion && s.State.InFlight() > 0 {
			return true
		}
	}
	return false
}

// judgeRollout ends the requests of this VM to a version that the reports show to be bad, without waiting for the store.
func (w *Watcher) judgeRollout(service clementineport.ServiceID, r *cprollout.Rollout, watch *rolloutWatch) {
	reason, bad := watch.judge.Alarm()
	if vm := w.reports.Stopped(service, r.Order.Revision); !bad && vm != "" {
		reason, bad = "VM "+string(vm)+" has stopped", true
	}
	if bad {
		w.stopRollout(service, r.Order.Revision, reason)
	}
}

// stopRollout ends the requests of this VM to the new version of an order, and tells others at once.
func (w *Watcher) stopRollout(service clementineport.ServiceID, order clementineport.Revision, reason string) bool {
	if !w.options.Rollouts.Stop(service, order) {
		return false
	}
	w.options.Log.Warn(string(cplogevent.RolloutStopped), zap.String("Service", string(service)), zap.Uint64("Order", uint64(order)),
		zap.String("Cause", reason))
	if watch := w.rollouts[service]; watch != nil {
		watch.nextReport = time.Time{}
	}
	w.membership.Announce()
	return true
}

// applyRolloutReport records a report of another VM. It reports whether this VM has stopped because of it.
func (w *Watcher) applyRolloutReport(now time.Time, r *clementineport.RolloutReport, source string) bool {
	if !w.options.Rollouts.Enabled() || r.VM == w.options.Self.ID && r.Start == w.options.Self.Start {
		return false
	}
	return w.reports.Set(now, r) && r.Stopped && w.stopRollout(r.Service, r.Order, "VM "+string(r.VM)+" has stopped, as "+source+" states")
}

// rolloutNews returns the reports that another VM needs: that of this VM, those of VMs that have stopped, and all for the VMs
// that drive the rollout. With all reports for all VMs, the messages would grow with the square of the VMs.
func (w *Watcher) rolloutNews(now, after time.Time, to clementineport.VMID) []clementineport.RolloutReport {
	reports := slices.DeleteFunc(w.reports.Since(now, after), func(r clementineport.RolloutReport) bool {
		watch := w.rollouts[r.Service]
		return r.VM != w.options.Self.ID && !r.Stopped && (watch == nil || !slices.Contains(watch.drivers, to))
	})
	return first(reports, maxRolloutNews)
}

// drive stores the next step of a rollout if this VM drives it. A VM that ranks later does so if the step has been due for
// longer; the conditions of the write decide between two drivers.
func (w *Watcher) drive(ctx context.Context, now time.Time, r *cprollout.Rollout, watch *rolloutWatch) {
	rank := slices.Index(watch.drivers, w.options.Self.ID)
	if w.options.RolloutStore == nil || rank < 0 || watch.saving || w.Age() > w.bounds().Contact {
		watch.pendingSince = time.Time{}
		return
	}
	next := cprollout.Decide(w.evidence(now, r, watch), w.bounds())
	if next == nil {
		watch.pendingSince = time.Time{}
		return
	}
	if watch.pendingSince.IsZero() {
		watch.pendingSince = now
	}
	if now.Before(watch.nextSave) || now.Sub(watch.pendingSince) < takeOver(rank, r.Stored.Driver == w.options.Self.ID) {
		return
	}
	next.Driver = w.options.Self.ID
	if next.Phase == clementineport.RolloutRolledBack {
		w.stopRollout(next.Service, r.Order.Revision, next.Reason)
	}
	w.save(ctx, r, watch, next)
}

// takeOver returns how long a step must have been due before a VM of a rank takes it. The VM that took the last one goes on at
// once: those that rank before it did not take that step in time.
func takeOver(rank int, last bool) time.Duration {
	if last {
		return 0
	}
	return time.Duration(rank) * takeOverDelay
}

// save stores a state on condition that the order and the state are still those of the rollout.
func (w *Watcher) save(ctx context.Context, r *cprollout.Rollout, watch *rolloutWatch, next *clementineport.RolloutStatus) {
	watch.saving = true
	order := clementineport.Revision(0)
	if r.Ordered {
		order = r.Order.Revision
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, saveTimeout)
		defer cancel()
		err := w.options.RolloutStore.SaveRollout(call, order, r.Stored.Revision, next)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) {
			watch.saving, watch.nextSave = false, now.Add(saveRetryDelay)
			w.logSave(r, watch, next, err)
		})
	}()
}

// logSave logs a step with the counts that decided it, or that it could not be stored, once.
func (w *Watcher) logSave(r *cprollout.Rollout, watch *rolloutWatch, next *clementineport.RolloutStatus, err error) {
	fields := []zap.Field{
		zap.String("Service", string(next.Service)), zap.String("TargetVersion", string(next.Version)), zap.Stringer("From", r.Phase),
		zap.Stringer("Phase", next.Phase), zap.Float64("Share", next.Share), zap.String("Cause", next.Reason),
	}
	if err != nil {
		if !watch.saveFailed {
			w.options.Log.Warn(string(cplogevent.RolloutNotSaved), append(fields, cplog.Cause("Error", err))...)
		}
		watch.saveFailed = true
		return
	}
	watch.saveFailed = false
	if next.Phase == r.Phase && next.Share == r.Share && r.HasState {
		return // only the elapsed time was stored
	}
	var old, fresh clementineport.VersionCounts
	for _, c := range w.reports.Totals(next.Service, r.Order.Revision) {
		old.Add(&c.Old)
		fresh.Add(&c.New)
	}
	w.options.Log.Info(string(cplogevent.RolloutStep), append(fields, zap.Duration("Elapsed", next.Elapsed),
		zap.Int64("NewSent", fresh.Sent), zap.Int64("NewFailed", fresh.Failed), zap.Int64("NewSlow", fresh.Slow),
		zap.Int64("OldSent", old.Sent), zap.Int64("OldFailed", old.Failed), zap.Int64("OldSlow", old.Slow))...)
}

// evidence returns what this VM knows to decide the next step of a rollout.
func (w *Watcher) evidence(now time.Time, r *cprollout.Rollout, watch *rolloutWatch) *cprollout.Evidence {
	e := &cprollout.Evidence{Now: now, Rollout: r, Judge: watch.judge, TrialAnswers: watch.judge.Ended() - watch.phaseEnded}
	if !r.Ordered {
		return e
	}
	service := r.Order.Service
	e.Stopped = w.reports.Stopped(service, r.Order.Revision)
	for _, t := range w.catalog.Targets() {
		if t.Service != service || t.Draining || w.catalog.Leaving(t) {
			continue
		}
		slots := t.Slots
		if w.catalog.Out(t.Domain) || t.Cold(now) {
			slots = 0
		}
		switch r.RoleOf(t.Version) {
		case cprollout.NewVersion:
			e.NewTargets++
			e.NewSlots += slots
		case cprollout.OldVersion:
			e.OldTargets++
			e.OldSlots += slots
		default:
		}
	}
	e.OldEnded = r.Phase == clementineport.RolloutCompleting && w.oldEnded(now, r)
	return e
}

// oldEnded reports whether no VM sends requests to old targets any more or has any under way there. A VM that makes no reports is
// waited for until it must have learned of the phase, or must have noticed that it learns nothing.
func (w *Watcher) oldEnded(now time.Time, r *cprollout.Rollout) bool {
	unknown := false
	dead := map[clementineport.VMID]bool{}
	for _, m := range w.membership.Members() {
		if m.State == clementineport.MemberDead {
			dead[m.ID] = true
			continue
		}
		ended, recent := w.reports.OldEnded(now, r.Order.Service, r.Order.Revision, &m)
		if recent && !ended {
			return false
		}
		unknown = unknown || !recent
	}
	for id := range w.catalog.VMs() {
		unknown = unknown || dead[id] // the store lists a VM that doesn't answer this one
	}
	return !unknown || now.Sub(r.PhaseAt) >= w.bounds().Contact
}
