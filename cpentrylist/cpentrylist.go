// Package cpentrylist selects the entry VMs that a caller should use.
//
// The selection is a pure function of the members, what is out of service, the caller and the time.
// The package makes no calls and keeps no state about callers.
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

// Entry is an entry VM that a caller may use.
type Entry struct {
	VM      clementineport.VMID
	Address string
	Domain  clementineport.FailureDomain
	Ticket  string
}

// List is an ordered list of entry VMs, the preferred one first, and the time for which a caller may use it.
type List struct {
	Entries []Entry
	TTL     time.Duration
}

// Caller identifies the caller that requests a list.
type Caller struct {
	// Address distinguishes callers, so that they are spread over the VMs.
	Address string
	// Domain is the caller's own failure domain; it may be empty.
	Domain clementineport.FailureDomain
}

// Selector selects lists from one set of members. It is immutable and safe for concurrent use.
type Selector struct {
	options Options
	entries []Entry
	domains []domain
}

// domain is a failure domain and its entries, as a range of Selector.entries.
type domain struct {
	name       clementineport.FailureDomain
	start, end int
	demand     float64
	// spare is the capacity of the domain's VMs beyond the demand of its own callers, as a fraction of the total load.
	spare float64
}

// goldenRatio is the step of a Kronecker sequence, which covers the unit interval evenly.
const goldenRatio = 0.6180339887498949

// New returns a Selector for the members. If none of them is alive and in service, its lists contain self only.
func New(self clementineport.VMID, members []clementineport.Member, out *clementineport.OutOfService, opts ...Option) *Selector {
	s := &Selector{options: NewOptions(opts...)}
	for i := range members {
		m := &members[i]
		if m.State == clementineport.MemberAlive && !cpowner.IsOutOfService(&m.VM, out) {
			s.entries = append(s.entries, newEntry(m))
		}
	}
	if len(s.entries) == 0 {
		s.addSelf(self, members)
	}
	slices.SortFunc(s.entries, func(x, y Entry) int {
		if c := strings.Compare(string(x.Domain), string(y.Domain)); c != 0 {
			return c
		}
		return strings.Compare(string(x.VM), string(y.VM))
	})
	s.groupByDomain()
	return s
}

func newEntry(m *clementineport.Member) Entry {
	return Entry{VM: m.ID, Address: m.Caller, Domain: m.Domain, Ticket: m.Ticket}
}

func (s *Selector) addSelf(self clementineport.VMID, members []clementineport.Member) {
	for i := range members {
		if members[i].ID == self {
			s.entries = append(s.entries, newEntry(&members[i]))
		}
	}
}

// groupByDomain finds the failure domains of the sorted entries and computes their demand and spare capacity.
func (s *Selector) groupByDomain() {
	for i, e := range s.entries {
		n := len(s.domains)
		if n == 0 || s.domains[n-1].name != e.Domain {
			s.domains = append(s.domains, domain{name: e.Domain, start: i})
			n++
		}
		s.domains[n-1].end = i + 1
	}
	for i := range s.domains {
		d := &s.domains[i]
		d.demand = s.demand(d.name)
		d.spare = math.Max(0, s.share(d)-d.demand)
	}
}

// demand returns the fraction of the load that comes from callers of a failure domain.
func (s *Selector) demand(name clementineport.FailureDomain) float64 {
	if s.options.Demand == nil {
		return 1 / float64(len(s.domains))
	}
	return s.options.Demand[name]
}

// share returns the fraction of the VMs that are in the domain.
func (s *Selector) share(d *domain) float64 {
	return float64(d.end-d.start) / float64(len(s.entries))
}

// Select returns the list for a caller. The first entry changes with each TTL, so that over several TTLs a caller uses
// all of its possible first entries equally and the load is even whatever the load of each caller is.
func (s *Selector) Select(c Caller, now time.Time) List {
	list := List{TTL: s.options.TTL}
	if len(s.entries) == 0 {
		return list
	}
	u := s.point(c, now)
	home, u := s.homeDomain(c, u)
	if home == nil {
		list.Entries = s.appendRotated(list.Entries, 0, len(s.entries), u)
		return list
	}
	list.Entries = s.appendRotated(list.Entries, home.start, home.end, u)
	own := s.findDomain(c.Domain)
	if own != nil && own != home {
		list.Entries = s.appendRotated(list.Entries[:1], own.start, own.end, u)
	}
	list.Entries = s.appendOtherDomains(list.Entries, u)
	return list
}

// point returns the caller's position in the unit interval for the current TTL period. Periods of different callers
// start at different times.
func (s *Selector) point(c Caller, now time.Time) float64 {
	h := xxhash.Sum64String(c.Address)
	start := float64(h>>11) / (1 << 53)
	phase := time.Duration(h % uint64(max(s.options.TTL, 1)))
	period := now.Add(phase).UnixNano() / int64(max(s.options.TTL, 1))
	if !s.options.Rotate {
		period = 0
	}
	_, u := math.Modf(start + float64(period%(1<<24))*goldenRatio)
	return u
}

// findDomain returns a failure domain that has entries, or nil.
func (s *Selector) findDomain(name clementineport.FailureDomain) *domain {
	for i := range s.domains {
		if s.domains[i].name == name && name != "" {
			return &s.domains[i]
		}
	}
	return nil
}

// homeDomain chooses the failure domain of the first entry and returns the point rescaled to the unit interval within
// that choice. A domain whose demand exceeds its share of the VMs sends the excess to domains with spare capacity.
func (s *Selector) homeDomain(c Caller, u float64) (*domain, float64) {
	own := s.findDomain(c.Domain)
	if own == nil {
		return nil, u
	}
	keep := 1.0
	if own.demand > 0 {
		keep = math.Min(1, s.share(own)/own.demand)
	}
	if u < keep {
		return own, u / keep
	}
	spare := 0.0
	for i := range s.domains {
		spare += s.domains[i].spare
	}
	u = (u - keep) / (1 - keep)
	at := u * spare
	for i := range s.domains {
		d := &s.domains[i]
		if at < d.spare {
			return d, at / d.spare
		}
		at -= d.spare
	}
	return own, u
}

// appendRotated appends the entries of a range in circular order, starting at the point u of the range.
func (s *Selector) appendRotated(entries []Entry, start, end int, u float64) []Entry {
	n := end - start
	first := min(int(u*float64(n)), n-1)
	for i := range n {
		if len(entries) >= s.options.MaxEntries {
			break
		}
		entries = append(entries, s.entries[start+(first+i)%n])
	}
	return entries
}

// appendOtherDomains appends entries of failure domains other than that of the first entry. It replaces the last
// entry of a full list, so that the list stays usable when one failure domain is lost.
func (s *Selector) appendOtherDomains(entries []Entry, u float64) []Entry {
	first := int(u * float64(len(s.entries)))
	kept := len(entries)
	if kept == s.options.MaxEntries && kept > 1 {
		kept--
	}
	firstDomain := entries[0].Domain
	entries = entries[:kept]
	for i := range s.entries {
		if len(entries) >= s.options.MaxEntries {
			break
		}
		e := s.entries[(first+i)%len(s.entries)]
		if e.Domain != firstDomain && !slices.Contains(entries, e) {
			entries = append(entries, e)
		}
	}
	return entries
}
