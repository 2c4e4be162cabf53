// Package cpentrylist decides which entry VMs a caller is told to use.
//
// The decision is pure: members, what is taken out, the caller and the time in, a list out.
// It makes no calls and keeps no state about callers.
package cpentrylist

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
)

// Entry is one entry VM that a caller may use.
type Entry struct {
	VM      clementineport.VMID
	Address string
	Domain  clementineport.FailureDomain
	Ticket  string
}

// List lists entry VMs, the one to use first at the front, and how long the list may be kept.
type List struct {
	Entries []Entry
	TTL     time.Duration
}

// Caller identifies who asks for advice.
type Caller struct {
	// Address tells callers apart, so that they are spread over the VMs.
	Address string
	// Domain is the caller's own failure domain; it may be empty.
	Domain clementineport.FailureDomain
}

// Selector gives advice for one set of members; it is immutable and safe for concurrent use.
type Selector struct {
	options Options
	entries []Entry
	domains []domain
}

// domain is a failure domain and its entries, as a range of Adviser.entries.
type domain struct {
	name       clementineport.FailureDomain
	start, end int
	demand     float64
	// spare is the load that the domain's VMs can take beyond that of the domain's own callers.
	spare float64
}

// goldenRatio is the step of a Kronecker sequence, which fills the unit interval evenly.
const goldenRatio = 0.6180339887498949

// New returns the Adviser for the members; self is advised when no member can be.
func New(self clementineport.VMID, members []clementineport.Member, out *clementineport.OutOfService, opts ...Option) *Selector {
	a := &Selector{options: NewOptions(opts...)}
	for i := range members {
		m := &members[i]
		if m.State == clementineport.MemberAlive && !cpowner.IsOutOfService(&m.VM, out) {
			a.entries = append(a.entries, entry(m))
		}
	}
	if len(a.entries) == 0 {
		a.addSelf(self, members)
	}
	slices.SortFunc(a.entries, func(x, y Entry) int {
		if c := strings.Compare(string(x.Domain), string(y.Domain)); c != 0 {
			return c
		}
		return strings.Compare(string(x.VM), string(y.VM))
	})
	a.group()
	return a
}

func entry(m *clementineport.Member) Entry {
	return Entry{VM: m.ID, Address: m.Caller, Domain: m.Domain, Ticket: m.Ticket}
}

func (a *Selector) addSelf(self clementineport.VMID, members []clementineport.Member) {
	for i := range members {
		if members[i].ID == self {
			a.entries = append(a.entries, entry(&members[i]))
		}
	}
}

func (a *Selector) group() {
	for i, e := range a.entries {
		n := len(a.domains)
		if n == 0 || a.domains[n-1].name != e.Domain {
			a.domains = append(a.domains, domain{name: e.Domain, start: i})
			n++
		}
		a.domains[n-1].end = i + 1
	}
	for i := range a.domains {
		d := &a.domains[i]
		d.demand = a.demand(d.name)
		d.spare = math.Max(0, a.share(d)-d.demand)
	}
}

func (a *Selector) demand(name clementineport.FailureDomain) float64 {
	if a.options.Demand == nil {
		return 1 / float64(len(a.domains))
	}
	return a.options.Demand[name]
}

// share returns the domain's share of the VMs.
func (a *Selector) share(d *domain) float64 {
	return float64(d.end-d.start) / float64(len(a.entries))
}

// Select returns the entries for a caller. Over several lives every caller uses every entry of its share alike,
// so the load is even whatever the callers' weights are.
func (a *Selector) Select(c Caller, now time.Time) List {
	r := List{TTL: a.options.TTL}
	if len(a.entries) == 0 {
		return r
	}
	u := a.point(c, now)
	home, u := a.home(c, u)
	if home == nil {
		r.Entries = a.rotate(r.Entries, 0, len(a.entries), u)
		return r
	}
	r.Entries = a.rotate(r.Entries, home.start, home.end, u)
	own := a.find(c.Domain)
	if own != nil && own != home {
		r.Entries = a.rotate(r.Entries[:1], own.start, own.end, u)
	}
	r.Entries = a.fill(r.Entries, u)
	return r
}

// point returns the caller's place in the unit interval for this life.
func (a *Selector) point(c Caller, now time.Time) float64 {
	h := xxhash.Sum64String(c.Address)
	start := float64(h>>11) / (1 << 53)
	phase := time.Duration(h % uint64(max(a.options.TTL, 1)))
	epoch := now.Add(phase).UnixNano() / int64(max(a.options.TTL, 1))
	if !a.options.Rotate {
		epoch = 0
	}
	_, u := math.Modf(start + float64(epoch%(1<<24))*goldenRatio)
	return u
}

func (a *Selector) find(name clementineport.FailureDomain) *domain {
	for i := range a.domains {
		if a.domains[i].name == name && name != "" {
			return &a.domains[i]
		}
	}
	return nil
}

// home chooses the domain of the first entry, and returns the point scaled to that choice.
// A domain whose VMs have less than an even share per caller gives the excess to domains with spare room.
func (a *Selector) home(c Caller, u float64) (*domain, float64) {
	own := a.find(c.Domain)
	if own == nil {
		return nil, u
	}
	keep := 1.0
	if own.demand > 0 {
		keep = math.Min(1, a.share(own)/own.demand)
	}
	if u < keep {
		return own, u / keep
	}
	spare := 0.0
	for i := range a.domains {
		spare += a.domains[i].spare
	}
	u = (u - keep) / (1 - keep)
	at := u * spare
	for i := range a.domains {
		d := &a.domains[i]
		if at < d.spare {
			return d, at / d.spare
		}
		at -= d.spare
	}
	return own, u
}

// rotate appends the entries of a range, beginning at a point of it.
func (a *Selector) rotate(entries []Entry, start, end int, u float64) []Entry {
	n := end - start
	first := min(int(u*float64(n)), n-1)
	for i := range n {
		if len(entries) >= a.options.MaxEntries {
			break
		}
		entries = append(entries, a.entries[start+(first+i)%n])
	}
	return entries
}

// fill appends entries of other domains, so that the loss of one domain leaves some.
func (a *Selector) fill(entries []Entry, u float64) []Entry {
	first := int(u * float64(len(a.entries)))
	kept := len(entries)
	if kept == a.options.MaxEntries && kept > 1 {
		kept--
	}
	listed := entries[0].Domain
	entries = entries[:kept]
	for i := range a.entries {
		if len(entries) >= a.options.MaxEntries {
			break
		}
		e := a.entries[(first+i)%len(a.entries)]
		if e.Domain != listed && !slices.Contains(entries, e) {
			entries = append(entries, e)
		}
	}
	return entries
}
