package cpconfigsync_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
)

// step is the resolution of the virtual time. Each message of a call takes one step.
const step = 10 * time.Millisecond

// fleet simulates the syncers of several VMs and a store in virtual time.
type fleet struct {
	now   time.Time
	rand  *rand.Rand
	ids   []clementineport.VMID
	nodes map[clementineport.VMID]*cpconfigsync.Syncer
	due   map[time.Time][]func()

	revision      clementineport.Revision // in the store
	down          bool                    // the store does not answer
	watchRevision clementineport.Revision // the revision that all watches see, if set: they miss later changes
	calls         int                     // to the store
	perSecond     map[int64]int           // store calls by Unix second
}

func newFleet(n int, seed uint64, opts ...cpconfigsync.Option) *fleet {
	f := &fleet{
		now:       time.Unix(1_700_000_000, 0),
		rand:      rand.New(rand.NewPCG(seed, 1)),
		nodes:     map[clementineport.VMID]*cpconfigsync.Syncer{},
		due:       map[time.Time][]func(){},
		perSecond: map[int64]int{},
	}
	var members []clementineport.Member
	for i := range n {
		id := clementineport.VMID(fmt.Sprintf("vm%03d", i))
		f.ids = append(f.ids, id)
		f.nodes[id] = cpconfigsync.New(id, append([]cpconfigsync.Option{cpconfigsync.WithSeed(seed)}, opts...)...)
		members = append(members, clementineport.Member{
			VM: clementineport.VM{ID: id, Domain: clementineport.FailureDomain(fmt.Sprint("zone", i%4))},
		})
	}
	for _, id := range f.ids {
		f.nodes[id].SetMembers(members, n)
	}
	return f
}

func (f *fleet) after(d time.Duration, fn func()) {
	at := f.now.Add(d.Round(step))
	f.due[at] = append(f.due[at], fn)
}

// run advances the virtual time until done returns true, by d at most, and returns the time that passed.
func (f *fleet) run(d time.Duration, done func() bool) time.Duration {
	from := f.now
	for f.now.Sub(from) < d && !done() {
		f.now = f.now.Add(step)
		calls := f.calls
		for _, fn := range f.due[f.now] {
			fn()
		}
		delete(f.due, f.now)
		for i, id := range f.ids {
			if (f.now.UnixNano()/int64(step)+int64(i))%int64(time.Second/step) == 0 {
				f.exchange(id, f.ids[f.rand.IntN(len(f.ids))])
			}
			for _, a := range f.nodes[id].Tick(f.now) {
				f.execute(id, a)
			}
		}
		f.perSecond[f.now.Unix()] += f.calls - calls
	}
	return f.now.Sub(from)
}

// exchange makes an exchange between two VMs.
func (f *fleet) exchange(from, to clementineport.VMID) {
	began := f.now
	f.after(step, func() { f.nodes[to].ObserveRevision(f.now, from, f.nodes[from].Revision()) })
	f.after(2*step, func() {
		f.nodes[from].RecordContact(began)
		f.nodes[from].ObserveRevision(f.now, to, f.nodes[to].Revision())
	})
}

func (f *fleet) execute(id clementineport.VMID, a cpconfigsync.Action) {
	n := f.nodes[id]
	switch a.Kind {
	case cpconfigsync.KindRead:
		f.calls++
		f.after(2*step, func() { f.answer(n, a, f.revision) })
	case cpconfigsync.KindWatch:
		f.calls++
		f.watch(n, a, f.now.Add(a.Wait))
	case cpconfigsync.KindFetch:
		f.after(2*step, func() { n.HandleFetched(f.now, a, f.nodes[a.Peer].Revision()) })
	default:
		f.exchange(id, a.Peer)
	}
}

// answer delivers the store's answer, or the failure of the call at its timeout while the store is down.
func (f *fleet) answer(n *cpconfigsync.Syncer, a cpconfigsync.Action, r clementineport.Revision) {
	if f.down {
		f.after(a.Timeout, func() { n.HandleFailure(f.now, a) })
		return
	}
	n.HandleStored(f.now, a, uint64(r), r)
}

func (f *fleet) watch(n *cpconfigsync.Syncer, a cpconfigsync.Action, end time.Time) {
	f.after(step, func() {
		seen := f.revision
		if f.watchRevision > 0 {
			seen = f.watchRevision
		}
		if f.down || uint64(seen) != a.Seen || !f.now.Before(end) {
			f.answer(n, a, seen)
			return
		}
		f.watch(n, a, end)
	})
}

// reached returns a function that reports whether all VMs have the revision.
func (f *fleet) reached(r clementineport.Revision) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.Revision() < r {
				return false
			}
		}
		return true
	}
}

func never() bool { return false }
