package cpfollow

import (
	"context"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// mostHistory is the number of changes that are kept for other VMs; one that has missed more of them gets everything.
const mostHistory = 64

// history keeps the latest changes, for other VMs that follow this one. It belongs to the loop.
type history struct {
	changes []change
}

// change is news that led from one revision to the next one that was heard of.
type change struct {
	from clementineport.Revision
	news *clementineport.FleetNews
}

// add keeps news that was applied to a revision. Whole news says nothing about what came before it.
func (h *history) add(from clementineport.Revision, news *clementineport.FleetNews) {
	if news.Whole {
		h.changes = h.changes[:0]
		return
	}
	h.changes = append(h.changes, change{from, news})
	if extra := len(h.changes) - mostHistory; extra > 0 {
		h.changes = slices.Delete(h.changes, 0, extra)
	}
}

// since returns the changes after a revision as one, or false when they are not kept. A change that began before the
// revision is told whole: what it names is as it was at its end.
func (h *history) since(after clementineport.Revision) (*clementineport.FleetNews, bool) {
	first := slices.IndexFunc(h.changes, func(c change) bool { return c.news.AsOf > after })
	if first < 0 || h.changes[first].from > after {
		return nil, false
	}
	merged := &clementineport.FleetNews{}
	for _, c := range h.changes[first:] {
		merge(merged, c.news)
	}
	return merged, true
}

// merge adds later news.
func merge(to, later *clementineport.FleetNews) {
	to.AsOf = later.AsOf
	if later.Routes != nil {
		to.Routes = later.Routes
	}
	to.Domains = append(to.Domains, later.Domains...)
	to.Targets, to.Gone = mergeEntries(to.Targets, to.Gone, later.Targets, later.Gone, targetID)
	to.VMs, to.GoneVMs = mergeEntries(to.VMs, to.GoneVMs, later.VMs, later.GoneVMs, vmID)
}

func targetID(d *clementineport.Discovered) clementineport.TargetID { return d.ID }

func vmID(vm *clementineport.VM) clementineport.VMID { return vm.ID }

// mergeEntries adds later entries and ends of entries to earlier ones: for each id the latest word counts.
func mergeEntries[E any, ID comparable](entries []E, gone []ID, later []E, laterGone []ID, id func(*E) ID) ([]E, []ID) {
	named := make(map[ID]bool, len(later)+len(laterGone))
	for i := range later {
		named[id(&later[i])] = true
	}
	for _, g := range laterGone {
		named[g] = true
	}
	entries = slices.DeleteFunc(entries, func(e E) bool { return named[id(&e)] })
	gone = slices.DeleteFunc(gone, func(g ID) bool { return named[g] })
	return append(entries, later...), append(gone, laterGone...)
}

// Config implements cppeer.Handler. It returns what has changed after a revision, as soon as there is something or the
// store has said that there is nothing; or everything, at once, when the revision is zero. A VM that has lost the store
// itself does not let others wait.
func (f *Follower) Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	began := f.options.Clock.Now()
	for {
		heard := f.heardOf.Load()
		news, err := f.changesSince(ctx, have)
		if err != nil {
			return nil, err
		}
		waited := f.options.Clock.Now().Sub(began)
		if have == 0 || news.Changes() || news.AsOf >= have && news.Age < waited {
			news.Age -= waited
			return encodeNews(news)
		}
		left := f.options.PeerAge() - max(news.Age, waited)
		if left <= 0 {
			return nil, clementineport.Fail(clementineport.FaultStale, "the store was last heard %v ago", news.Age)
		}
		if err := f.await(ctx, *heard, left); err != nil {
			return nil, err
		}
	}
}

// changesSince asks the loop for what has changed after a revision.
func (f *Follower) changesSince(ctx context.Context, have clementineport.Revision) (*clementineport.FleetNews, error) {
	answer := make(chan *clementineport.FleetNews, 1)
	f.send(ctx, func(_ context.Context, f *Follower, now time.Time) {
		news, known := f.history.since(have)
		switch {
		case have > 0 && have >= f.catalog.AsOf():
			news = &clementineport.FleetNews{AsOf: f.catalog.AsOf()}
		case have == 0 || !known:
			news = f.catalog.News(now)
		}
		news.Age = now.Sub(f.catalog.Confirmed())
		answer <- news
	})
	select {
	case news := <-answer:
		return news, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
}

// await waits for news or for a time to pass.
func (f *Follower) await(ctx context.Context, heard <-chan struct{}, d time.Duration) error {
	select {
	case <-heard:
	case <-f.options.Clock.After(max(d, time.Millisecond)):
	case <-ctx.Done():
		return clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
	return nil
}

// announce wakes those that wait for news.
func (f *Follower) announce() {
	next := make(chan struct{})
	close(*f.heardOf.Swap(&next))
}
