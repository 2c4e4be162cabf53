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
	report := func(_ context.Context, w *Watcher, now time.Time) {
		if w.markLeaving(now, []clementineport.TargetRun{run}, targetSource) {
			w.membership.Announce()
		}
	}
	go func() { w.events <- report }()
}

// markLeaving records runs of targets that are shutting down, and reports whether any of them was not known to be.
func (w *Watcher) markLeaving(now time.Time, runs []clementineport.TargetRun, source string) (changed bool) {
	for _, run := range runs {
		if !w.catalog.MarkLeaving(now, run) {
			continue
		}
		changed = true
		w.options.Log.Info(string(cplogevent.TargetLeaving), zap.String("Target", string(run.ID)), zap.Int64("Born", run.Born),
			zap.String("Source", source))
	}
	if changed {
		w.dirty = true
		w.notifyWaiters()
	}
	return changed
}

// leavingNews returns the targets that are shutting down of which another VM is told: those of which this VM learned
// lately, or all of them for a VM that has none yet.
func (w *Watcher) leavingNews(now time.Time, all bool) []clementineport.TargetRun {
	if all {
		return w.catalog.LeavingSince(time.Time{})
	}
	runs := w.catalog.LeavingSince(now.Add(-leavingNewsTime))
	return runs[:min(len(runs), maxLeavingNews)]
}
