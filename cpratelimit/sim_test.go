package cpratelimit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// bounds are those of deployment K.
var bounds = cpquotas.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

const (
	latency   = 3 * time.Millisecond
	tokenWait = 100 * time.Millisecond
	timeout   = 300 * time.Millisecond
	tick      = 100 * time.Millisecond
)

// fleet is a fleet of VMs in virtual time.
type fleet struct {
	now     time.Time
	events  events
	seq     int
	vms     []*vm
	rand    *rand.Rand
	quotas  cpquotas.Quotas
	version clementineport.Revision
	// served holds the times at which requests were sent to targets, and refused the number of those that weren't.
	served  map[clementineport.WorkspaceID][]time.Duration
	refused map[clementineport.WorkspaceID]int
	calls   int
	// delay returns the latency of a message, and false if it is lost.
	delay func(from, to int) (time.Duration, bool)
	// severed holds the pairs of VMs whose open connection is silent: a call over it has no answer, and the next one uses another.
	severed map[[2]int]bool
	// members returns the VMs that a VM takes to be alive, and senders the number of VMs that it counts.
	members func(v int) []clementineport.Member
	senders func(v int) int
}

// vm is one VM. Its events wait while it is paused, and are lost when it is started again.
type vm struct {
	f      *fleet
	i      int
	id     clementineport.VMID
	node   *cpratelimit.Node
	down   bool
	starts int
	paused time.Time
	open   []*cpratelimit.Request
	wake   time.Time
	// asked is the number of calls that it has got.
	asked int
	// earlier is true if it runs an earlier build, which answers no calls.
	earlier bool
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(n int, seed uint64, quotas cpquotas.Quotas) *fleet {
	f := &fleet{
		now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(seed, 1)), quotas: quotas, version: 1,
		served: map[clementineport.WorkspaceID][]time.Duration{}, refused: map[clementineport.WorkspaceID]int{},
		delay:   func(int, int) (time.Duration, bool) { return latency, true },
		severed: map[[2]int]bool{},
	}
	f.members = func(int) (all []clementineport.Member) {
		for _, v := range f.vms {
			if !v.down {
				all = append(all, clementineport.Member{VM: clementineport.VM{ID: v.id}})
			}
		}
		return all
	}
	f.senders = func(int) int { return len(f.vms) }
	for i := range n {
		f.vms = append(f.vms, &vm{f: f, i: i, id: clementineport.VMID(fmt.Sprintf("vm-%d", i))})
	}
	for _, v := range f.vms {
		v.start()
	}
	return f
}

func (f *fleet) at(t time.Time, do func()) {
	f.seq++
	heap.Push(&f.events, event{t, f.seq, do})
}

func (f *fleet) after(d time.Duration, do func()) { f.at(f.now.Add(d), do) }

// run runs the fleet for a time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// load makes requests of a workspace arrive at random VMs at random times, at a mean rate.
func (f *fleet) load(name clementineport.WorkspaceID, perSecond float64, d time.Duration) {
	end := f.now.Add(d)
	for t := f.now; ; {
		t = t.Add(time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second)))
		if t.After(end) {
			return
		}
		v := f.vms[f.rand.IntN(len(f.vms))]
		f.at(t, func() { v.request(name) })
	}
}

// setViews makes all VMs see the members and quotas as they are now.
func (f *fleet) setViews() {
	for _, v := range f.vms {
		v.setView()
	}
}

// start starts the process of the VM, or starts it again.
func (v *vm) start() {
	v.starts++
	v.down, v.paused, v.open, v.wake = false, time.Time{}, nil, time.Time{}
	v.node = cpratelimit.NewNode(v.f.now, v.id, clementineport.StartID(fmt.Sprint(v.starts)), cpquotas.WithBounds(bounds),
		cpquotas.WithSalt(v.f.rand.Uint64()))
	v.setView()
	var ticks func()
	ticks = func() { v.do(func() { v.f.after(tick, ticks) }) }
	v.f.after(time.Duration(v.f.rand.Int64N(int64(tick))), ticks)
}

func (v *vm) setView() {
	v.do(func() {
		v.node.SetQuotas(v.f.now, v.f.version, v.f.quotas)
		v.node.SetFleet(v.f.members(v.i), v.f.senders(v.i))
	})
}

// do lets the process do something, after its pause if it is paused.
func (v *vm) do(act func()) { v.doAs(v.starts, act) }

func (v *vm) doAs(start int, act func()) {
	switch {
	case v.down || start != v.starts:
		return
	case v.f.now.Before(v.paused):
		v.f.at(v.paused, func() { v.doAs(start, act) })
		return
	}
	act()
	calls := v.node.Advance(v.f.now)
	for i := range calls {
		v.call(&calls[i])
	}
	v.decided()
	if at := v.node.Wake(); !at.IsZero() && (at.Before(v.wake) || !v.wake.After(v.f.now)) {
		v.wake = at
		at = cpquotas.Later(at, v.f.now.Add(time.Millisecond))
		v.f.at(at, func() { v.doAs(start, func() {}) })
	}
}

func (v *vm) request(name clementineport.WorkspaceID) {
	v.do(func() { v.open = append(v.open, v.node.Request(v.f.now, name, tokenWait)) })
}

// decided counts the requests that were decided.
func (v *vm) decided() {
	open := v.open[:0]
	for _, r := range v.open {
		select {
		case <-r.Decided:
			if r.Granted {
				v.f.served[r.Workspace] = append(v.f.served[r.Workspace], v.f.now.Sub(time.Unix(1e9, 0)))
			} else {
				v.f.refused[r.Workspace]++
			}
		default:
			open = append(open, r)
		}
	}
	v.open = open
}

// call sends a call, and delivers its answer or its failure, whichever is first.
func (v *vm) call(c *cpratelimit.Call) {
	f, start, done := v.f, v.starts, false
	finish := func(answer *clementineport.QuotaAnswer, err error) {
		v.doAs(start, func() {
			if !done {
				done = true
				v.node.Done(f.now, c, answer, err)
			}
		})
	}
	var to *vm
	for _, other := range f.vms {
		if other.id == c.To.ID {
			to = other
		}
	}
	if to != v {
		f.calls++
	}
	f.after(timeout, func() { finish(nil, clementineport.Fail(clementineport.FaultTimeout, "no answer")) })
	if pair := [2]int{v.i, to.i}; f.severed[pair] {
		delete(f.severed, pair)
		return
	}
	there, ok := f.delay(v.i, to.i)
	if to == v {
		there, ok = 0, true
	}
	if !ok {
		return
	}
	f.after(there, func() {
		if to.down || to.earlier {
			f.after(there, func() { finish(nil, clementineport.Fail(clementineport.FaultRefused, "nothing answers the call")) })
			return
		}
		to.do(func() {
			to.asked++
			answer := to.node.Handle(f.now, c.Request)
			if back, ok := f.delay(to.i, v.i); ok || to == v {
				f.after(back, func() { finish(answer, nil) })
			}
		})
	})
}

// excess returns by how many requests a workspace exceeded a quota in the worst window, or a number below zero.
func (f *fleet) excess(name clementineport.WorkspaceID, q cpquotas.Quota, from time.Duration) float64 {
	limit := (float64(q.Rate)*bounds.Window.Seconds()+q.Burst)*(1+bounds.Overrun) + bounds.Slack
	times, first, most := f.served[name], 0, 0
	for last := range times {
		for times[last]-times[first] > bounds.Window || times[first] < from && first < last {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) - limit
}
