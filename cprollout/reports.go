package cprollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Reports holds the latest report of each process about each rollout. It is not safe for concurrent use.
type Reports struct {
	all map[reportKey]*report
}

type reportKey struct {
	service clementineport.ServiceID
	vm      clementineport.VMID
	start   clementineport.StartID
}

// report is the latest report of a process.
type report struct {
	clementineport.RolloutReport
	// at is when the process made it, and learnedAt when this VM learned its present contents.
	at        time.Time
	learnedAt time.Time
}

// NewReports returns no reports.
func NewReports() *Reports { return &Reports{all: map[reportKey]*report{}} }

// Set records a report, and reports whether it is newer than what is known. The counts of a process only grow, so the report
// with more calls is the later one, whatever the order in which they arrive.
func (s *Reports) Set(now time.Time, r *clementineport.RolloutReport) (changed bool) {
	key := reportKey{r.Service, r.VM, r.Start}
	known := s.all[key]
	next := &report{RolloutReport: *r, at: now.Add(-max(r.Age, 0)), learnedAt: now}
	if known == nil || r.Order > known.Order {
		s.all[key] = next
		return true
	}
	if r.Order < known.Order {
		return false
	}
	switch before, after := progress(&known.RolloutReport), progress(r); {
	case after < before:
		return false
	case after > before:
		next.Stopped = r.Stopped || known.Stopped
		next.OldEnded = r.OldEnded || known.OldEnded
		s.all[key] = next
		return true
	}
	if !next.at.After(known.at) {
		return false
	}
	changed = r.Stopped && !known.Stopped || r.OldEnded && !known.OldEnded
	known.at, known.OldEnded, known.Stopped = next.at, r.OldEnded || known.OldEnded, r.Stopped || known.Stopped
	known.learnedAt = now // drivers need to know that the process still makes reports
	return changed
}

// progress returns the number of calls in a report that were sent or have ended.
func progress(r *clementineport.RolloutReport) (n int64) {
	for i := range r.Routes {
		c := &r.Routes[i]
		n += c.Old.Sent + c.Old.Ended() + c.New.Sent + c.New.Ended()
	}
	return n
}

// Since returns the reports that this VM learned after a time, the latest first.
func (s *Reports) Since(now, after time.Time) (reports []clementineport.RolloutReport) {
	var found []*report
	for _, r := range s.all {
		if r.learnedAt.After(after) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *report) int {
		return cmp.Or(b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Service, b.Service))
	})
	for _, r := range found {
		out := r.RolloutReport
		out.Age = now.Sub(r.at)
		reports = append(reports, out)
	}
	return reports
}

// Totals returns the counts of all processes for an order, by route.
func (s *Reports) Totals(service clementineport.ServiceID, order clementineport.Revision) map[clementineport.RouteID]clementineport.RolloutCounts {
	totals := map[clementineport.RouteID]clementineport.RolloutCounts{}
	for key, r := range s.all {
		if key.service != service || r.Order != order {
			continue
		}
		for i := range r.Routes {
			c := &r.Routes[i]
			total := totals[c.Route]
			total.Route = c.Route
			total.Old.Add(&c.Old)
			total.New.Add(&c.New)
			totals[c.Route] = total
		}
	}
	return totals
}

// Stopped returns a VM that has stopped sending requests to the new version of an order, or an empty id.
func (s *Reports) Stopped(service clementineport.ServiceID, order clementineport.Revision) (vm clementineport.VMID) {
	for key, r := range s.all {
		if key.service == service && r.Order == order && r.Stopped && (vm == "" || r.VM < vm) {
			vm = r.VM
		}
	}
	return vm
}

// OldEnded reports whether a process has stated that its calls to old targets have ended, which stays so, and whether it has made
// any recent report.
func (s *Reports) OldEnded(now time.Time, service clementineport.ServiceID, order clementineport.Revision, m *clementineport.Member) (ended, recent bool) {
	r := s.all[reportKey{service, m.ID, m.Start}]
	if r == nil || r.Order != order {
		return false, false
	}
	return r.OldEnded, r.OldEnded || now.Sub(r.at) <= maxReportAge
}

// Keep drops the reports about orders for which keep returns false.
func (s *Reports) Keep(keep func(service clementineport.ServiceID, order clementineport.Revision) bool) {
	maps.DeleteFunc(s.all, func(key reportKey, r *report) bool { return !keep(key.service, r.Order) })
}
