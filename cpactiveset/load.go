package cpactiveset

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

const (
	// loadValidity is how long a statement counts. A VM that gets requests repeats its statement after repeatAfter, so a
	// statement lapses only after three repeats have been lost.
	loadValidity = 25 * time.Second
	repeatAfter  = 8 * time.Second
	// minInterval is the shortest time between two statements of a VM.
	minInterval = time.Second
	// notableChange is the relative change that is stated, and minBusyChange the smallest one of the used share of the
	// processor. Smaller changes are noise of a measurement over a second or two.
	notableChange = 0.25
	minBusyChange = 0.05
	// minRate is the rate of requests, per second, below which the load of a VM is not counted: its processor is then used for exchanges
	// with other VMs, which don't go elsewhere.
	minRate clementineport.RequestRate = 0.5
	// announcedRise is the rise of the used share of the processor that other VMs are told at once.
	announcedRise = 0.2
)

// Loads holds the latest statement of each VM about its load. It is not safe for concurrent use.
type Loads struct {
	all map[clementineport.VMID]statement
}

// statement is what a VM has stated, and when. learnedAt is when this VM learned it.
type statement struct {
	load          clementineport.VMLoad
	at, learnedAt time.Time
}

// NewLoads returns no statements.
func NewLoads() *Loads { return &Loads{all: map[clementineport.VMID]statement{}} }

// Set records a statement, and reports whether it is the latest of its VM.
func (l *Loads) Set(now time.Time, load *clementineport.VMLoad) bool {
	at := now.Add(-max(load.Age, 0))
	if known, ok := l.all[load.VM]; ok && !at.After(known.at) || !valid(load) {
		return false
	}
	l.all[load.VM] = statement{load: *load, at: at, learnedAt: now}
	return true
}

// valid reports whether the numbers of a statement are not negative and small enough to be added up.
func valid(load *clementineport.VMLoad) bool {
	for _, n := range []float64{float64(load.Rate), float64(load.Refused), load.Busy} {
		if !(n >= 0 && n <= math.MaxInt32) {
			return false
		}
	}
	return true
}

// Since returns the valid statements that this VM learned after a time, the latest first.
func (l *Loads) Since(now, after time.Time) (loads []clementineport.VMLoad) {
	for _, known := range l.all {
		if known.learnedAt.After(after) && now.Sub(known.at) <= loadValidity {
			load := known.load
			load.Age = now.Sub(known.at)
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b clementineport.VMLoad) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.VM, b.VM))
	})
	return loads
}

// Forget drops the statements of VMs for which gone returns true, and those that are no longer valid.
func (l *Loads) Forget(now time.Time, gone func(clementineport.VMID) bool) {
	maps.DeleteFunc(l.all, func(vm clementineport.VMID, s statement) bool { return gone(vm) || now.Sub(s.at) > loadValidity })
}

// ToState reports whether this VM must state its present load, and whether others must learn of it at once.
func (l *Loads) ToState(now time.Time, load *clementineport.VMLoad) (state, atOnce bool) {
	last, ok := l.all[load.VM]
	if !ok {
		return load.Rate >= minRate, false
	}
	if now.Sub(last.at) < minInterval {
		return false, false
	}
	refusing := (load.Refused > 0) != (last.load.Refused > 0)
	changed := differs(load.Busy, last.load.Busy, minBusyChange) || (load.Rate < minRate) != (last.load.Rate < minRate)
	repeat := now.Sub(last.at) >= repeatAfter && load.Rate >= minRate
	atOnce = load.Busy-last.load.Busy >= announcedRise || refusing && load.Refused > 0
	return refusing || changed || repeat, atOnce
}

// differs reports whether two numbers differ by a notable part, and by at least least.
func differs(a, b, least float64) bool {
	return math.Abs(a-b) >= max(least, notableChange*max(a, b))
}

// Demand returns the processor time that the requests of all callers need. VMs that members doesn't list as alive or suspect
// don't count. A refused request needs as much as one that was served, but all of them count for no more than those: callers
// may repeat what is refused any number of times.
func (l *Loads) Demand(now time.Time, members []clementineport.Member) Millicores {
	used, served, refused := 0.0, 0.0, 0.0
	for i := range members {
		m := &members[i]
		s, ok := l.all[m.ID]
		if !ok || now.Sub(s.at) > loadValidity || m.State != clementineport.MemberAlive && m.State != clementineport.MemberSuspect {
			continue
		}
		if s.load.Rate < minRate {
			continue
		}
		used += s.load.Busy * float64(cmp.Or(CapacityOf(clementineport.VMCapacity{Cores: m.Capacity.Cores}), unknownCapacity))
		served += float64(max(0, s.load.Rate-s.load.Refused))
		refused += float64(s.load.Refused)
	}
	if refused > 0 {
		used *= 1 + min(1, refused/max(served, 1))
	}
	return Millicores(used)
}
