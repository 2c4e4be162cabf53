package cpfleetwatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplogevent"
)

// targetSource is the Source field of log lines for what a target has stated to this VM.
const targetSource = "Target"

// TargetLeaving records that a target has stated to this VM that it is shutting down, and tells some other VMs at once. It
// does not block.
func (w *Watcher) TargetLeaving(run clementineport.TargetRun) {
	w.learn(clementineport.TargetNews{Leaving: []clementineport.TargetRun{run}})
}

// TargetLimit records what a target has stated to this VM about the requests that it takes, and tells some other VMs at once
// if that is new. It does not block.
func (w *Watcher) TargetLimit(l clementineport.TargetLimit) {
	w.learn(clementineport.TargetNews{Limits: []clementineport.TargetLimit{l}})
}

// RequestReport records that a target has crashed while it ran a request, or that one has served it, and tells some other
// VMs at once if that is new. It does not block.
func (w *Watcher) RequestReport(r clementineport.RequestReport) {
	w.learn(clementineport.TargetNews{Requests: []clementineport.RequestReport{r}})
}

// learn passes what a target has stated to this VM to the loop.
func (w *Watcher) learn(news clementineport.TargetNews) {
	report := func(_ context.Context, w *Watcher, now time.Time) {
		if w.applyNews(now, &news, targetSource) {
			w.membership.Announce()
		}
	}
	go func() { w.events <- report }()
}

// applyNews records news about targets, and reports whether any of it was new.
func (w *Watcher) applyNews(now time.Time, news *clementineport.TargetNews, source string) (changed bool) {
	for _, run := range news.Leaving {
		changed = w.markLeaving(now, run, source) || changed
	}
	for i := range news.Limits {
		changed = w.setLimit(now, &news.Limits[i], source) || changed
	}
	for i := range news.Requests {
		changed = w.applyReport(now, &news.Requests[i], source) || changed
	}
	for i := range news.Reach {
		changed = w.applyReach(now, &news.Reach[i], source) || changed
	}
	for i := range news.Loads {
		w.loads.Set(now, &news.Loads[i]) // used by the next checkActive
	}
	for i := range news.Rollouts {
		changed = w.applyRolloutReport(now, &news.Rollouts[i], source) || changed
	}
	if changed {
		w.dirty = true
		w.notifyWaiters()
	}
	return changed
}

// markLeaving records that a run of a target is shutting down, and reports whether that was not known.
func (w *Watcher) markLeaving(now time.Time, run clementineport.TargetRun, source string) bool {
	if !w.catalog.MarkLeaving(now, run) {
		return false
	}
	w.options.Log.Info(string(cplogevent.TargetLeaving), zap.String("Target", string(run.ID)), zap.Int64("Born", run.Born),
		zap.String("Source", source))
	return true
}

// setLimit records what a target takes, and reports whether that was not known.
func (w *Watcher) setLimit(now time.Time, l *clementineport.TargetLimit, source string) bool {
	set := w.catalog.SetLimit
	if source == targetSource {
		set = w.catalog.StateLimit
	}
	if !set(now, l) {
		return false
	}
	fields := []zap.Field{zap.String("Target", string(l.Run.ID)), zap.Int64("Born", l.Run.Born), zap.String("Source", source)}
	if !l.Limited {
		w.options.Log.Info(string(cplogevent.TargetUnlimited), fields...)
		return true
	}
	w.options.Log.Info(string(cplogevent.TargetLimited), append(fields, zap.Float64("PerSecond", float64(l.Rate)))...)
	return true
}

// applyReport records a report about a request, and reports whether it was new.
func (w *Watcher) applyReport(now time.Time, r *clementineport.RequestReport, source string) bool {
	if !w.crashes.Report(now, r) {
		return false
	}
	fields := []zap.Field{zap.Stringer("Contents", r.Key), zap.String("Source", source)}
	if r.Served {
		w.options.Log.Info(string(cplogevent.SuspectServed), fields...)
		return true
	}
	w.options.Log.Warn(string(cplogevent.TargetCrashed), append(fields, zap.String("Target", string(r.Run.ID)),
		zap.Int64("Born", r.Run.Born), zap.Int("Crashed", w.crashes.Suspects()[r.Key].Crashed))...)
	return true
}

// news returns what another VM is told about targets: what this VM learned recently, or all of it for a VM that has none yet.
// Which reports about rollouts it contains depends on the other VM; they are those for a VM that drives none if to is empty.
func (w *Watcher) news(now time.Time, to clementineport.VMID, all bool) clementineport.TargetNews {
	if all {
		everything := w.newsSince(now, time.Time{})
		everything.Rollouts = w.rolloutNews(now, time.Time{}, to)
		return everything
	}
	recent := now.Add(-newsTime)
	return clementineport.TargetNews{
		Leaving:  first(w.catalog.LeavingSince(recent), maxNews),
		Limits:   first(w.catalog.LimitsSince(now, recent), maxNews),
		Requests: first(w.crashes.Since(now, recent), maxNews),
		Reach:    first(w.reach.Since(now, now.Add(-reachNewsTime)), maxReachNews),
		Rollouts: w.rolloutNews(now, now.Add(-rolloutNewsTime), to),
	}
}

// first returns the first n elements, or all if there are fewer.
func first[T any](all []T, n int) []T { return all[:min(len(all), n)] }

// newsSince returns what this VM learned about targets after a time, the latest first.
func (w *Watcher) newsSince(now, after time.Time) clementineport.TargetNews {
	return clementineport.TargetNews{
		Leaving: w.catalog.LeavingSince(after), Limits: w.catalog.LimitsSince(now, after), Requests: w.crashes.Since(now, after),
		Reach: w.reach.Since(now, after),
	}
}
