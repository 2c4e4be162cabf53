// Package cpcrash tracks which requests crash the targets that run them. A request is known by its contents, so that repeats
// of it count together, and VMs tell each other what they have seen.
//
// A target may also crash for another reason while it runs a request. So a request counts as the cause only after crashes of
// several targets, and no longer once a target has served it. The package makes no calls; the current time is passed in. A
// Tracker is not safe for concurrent use.
package cpcrash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Suspect is what is known of a request during which targets have crashed.
type Suspect struct {
	// Crashed is the number of targets that have crashed since one has served the request, at most maxRuns.
	Crashed int
	// LastCrash is when the latest of them crashed.
	LastCrash time.Time
}

// Blocked reports whether the request must not be sent to targets.
func (s Suspect) Blocked() bool { return s.Crashed >= MaxCrashes }

// maxRuns is the number of crashed targets that are kept for a request. Further ones change nothing.
const maxRuns = 2 * MaxCrashes

// Tracker holds the reports of all VMs about requests during which targets have crashed.
type Tracker struct {
	options Options
	records map[clementineport.RequestKey]*record
	// suspects is the result of Suspects, or nil if it is out of date.
	suspects map[clementineport.RequestKey]Suspect
}

// record holds the reports about one request.
type record struct {
	// crashes holds the runs of targets that have crashed since served, and when.
	crashes map[clementineport.TargetRun]time.Time
	// served is when a target has last served the request.
	served time.Time
	// learned is when this VM learned the latest of it.
	learned time.Time
}

// New returns an empty tracker.
func New(opts ...Option) *Tracker {
	return &Tracker{options: NewOptions(opts...), records: map[clementineport.RequestKey]*record{}}
}

// Report adds a report, and reports whether it changes what counts against the request. The order in which reports arrive
// does not matter.
func (t *Tracker) Report(now time.Time, r *clementineport.RequestReport) (changed bool) {
	at := now.Add(-max(r.Age, 0))
	if now.Sub(at) >= t.options.Retention {
		return false
	}
	known := t.records[r.Key]
	if known == nil {
		known = &record{crashes: map[clementineport.TargetRun]time.Time{}}
	}
	if r.Served {
		changed = known.serve(at)
	} else {
		changed = known.crash(at, r.Run)
	}
	t.records[r.Key] = known
	if changed {
		known.learned = now
		t.suspects = nil
	}
	t.evict()
	return changed
}

// serve records that a target has served the request, and reports whether earlier crashes count no longer.
func (r *record) serve(at time.Time) bool {
	if at.After(r.served) {
		r.served = at
	}
	before := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ clementineport.TargetRun, crashedAt time.Time) bool { return !crashedAt.After(r.served) })
	return len(r.crashes) < before
}

// crash records that a target has crashed while it ran the request, and reports whether that is new. VMs may report the same
// crash with slightly different times, of which the latest holds.
func (r *record) crash(at time.Time, run clementineport.TargetRun) bool {
	known, counted := r.crashes[run]
	if !at.After(r.served) || !counted && len(r.crashes) >= maxRuns {
		return false
	}
	if at.After(known) {
		r.crashes[run] = at
	}
	return !counted
}

// last returns when a target last crashed or served the request.
func (r *record) last() time.Time {
	last := r.served
	for _, at := range r.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// evict drops the least important record if there are too many: one with few crashes, learned long ago.
func (t *Tracker) evict() {
	if len(t.records) <= t.options.MaxRequests {
		return
	}
	var least clementineport.RequestKey
	var candidate *record
	for key, r := range t.records {
		if candidate == nil || cmp.Or(cmp.Compare(len(r.crashes), len(candidate.crashes)), r.learned.Compare(candidate.learned), cmp.Compare(key, least)) < 0 {
			least, candidate = key, r
		}
	}
	delete(t.records, least)
}

// Tick drops reports that are older than Retention, and reports whether there were any.
func (t *Tracker) Tick(now time.Time) (changed bool) {
	for key, r := range t.records {
		if now.Sub(r.last()) >= t.options.Retention {
			delete(t.records, key)
			t.suspects = nil
			changed = true
		}
	}
	return changed
}

// Suspects returns the requests during which targets have crashed since one has served them. The map must not be changed;
// the tracker does not change it either.
func (t *Tracker) Suspects() map[clementineport.RequestKey]Suspect {
	if t.suspects != nil {
		return t.suspects
	}
	t.suspects = map[clementineport.RequestKey]Suspect{}
	for key, r := range t.records {
		if len(r.crashes) > 0 {
			t.suspects[key] = Suspect{Crashed: len(r.crashes), LastCrash: r.last()}
		}
	}
	return t.suspects
}

// Since returns the reports about requests of which this VM learned something after a time, the latest first.
func (t *Tracker) Since(now, after time.Time) (reports []clementineport.RequestReport) {
	var keys []clementineport.RequestKey
	for key, r := range t.records {
		if r.learned.After(after) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b clementineport.RequestKey) int {
		return cmp.Or(t.records[b].learned.Compare(t.records[a].learned), cmp.Compare(a, b))
	})
	for _, key := range keys {
		reports = append(reports, t.records[key].reports(now, key)...)
	}
	return reports
}

// reports returns a record as reports.
func (r *record) reports(now time.Time, key clementineport.RequestKey) (reports []clementineport.RequestReport) {
	if !r.served.IsZero() {
		reports = append(reports, clementineport.RequestReport{Key: key, Served: true, Age: now.Sub(r.served)})
	}
	for run, at := range r.crashes {
		reports = append(reports, clementineport.RequestReport{Key: key, Run: run, Age: now.Sub(at)})
	}
	slices.SortFunc(reports, func(a, b clementineport.RequestReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Run.ID, b.Run.ID))
	})
	return reports
}
