package cpfailover

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// refreshShare is the share of a list's life after which the next list is fetched in the background.
const refreshShare = 0.75

// minRefresh is the shortest time between two background fetches.
const minRefresh = time.Second

// EntryList keeps the list of entries for its life and spreads requests evenly over it.
type EntryList struct {
	mu         sync.Mutex
	suspectFor time.Duration
	entries    []Entry
	expires    time.Time
	refresh    time.Time
	next       int
	suspects   map[string]suspicion
}

// maxSuspicion is the longest time for which an entry is used last after a failure.
const maxSuspicion = 30 * time.Second

// suspicion says until when an entry is used last; its span doubles with each failure after it has run out.
type suspicion struct {
	until time.Time
	span  time.Duration
}

// NewEntryList returns an empty list; an entry that failed is used last for the given time.
func NewEntryList(suspectFor time.Duration) *EntryList {
	return &EntryList{suspectFor: suspectFor, suspects: make(map[string]suspicion)}
}

// Set replaces the list; start in [0, 1) says at which entry the spread begins.
func (l *EntryList) Set(now time.Time, entries []Entry, life time.Duration, start float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.Clone(entries)
	l.expires = now.Add(life)
	l.refresh = now.Add(time.Duration(float64(life) * refreshShare))
	l.next = int(start * float64(len(entries)))
	maps.DeleteFunc(l.suspects, func(address string, _ suspicion) bool {
		return !slices.ContainsFunc(entries, func(e Entry) bool { return e.Address == address })
	})
}

// Order returns the entries in the order in which one request uses them. A caller of a failure domain spreads
// its requests over the listed entries of the domain that the list begins with, which is another one only when
// its own has too few VMs; a caller of no domain spreads them over the whole list. The other entries of the
// caller's domain come next, and suspect entries come last.
func (l *EntryList) Order(now time.Time, home clementineport.FailureDomain) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return nil
	}
	spread := func(e Entry) bool { return home == "" || e.Domain == l.entries[0].Domain }
	rank := func(e Entry) int {
		switch {
		case now.Before(l.suspects[e.Address].until):
			return rankSuspect
		case spread(e):
			return rankSpread
		case e.Domain == home:
			return rankHome
		default:
			return rankOther
		}
	}
	l.next++
	order := slices.Clone(l.entries)
	slices.SortStableFunc(order, func(a, b Entry) int { return rank(a) - rank(b) })
	n := 1
	for n < len(order) && rank(order[n]) == rank(order[0]) {
		n++
	}
	first := l.next % n
	return slices.Concat(order[first:n], order[:first], order[n:])
}

// Ranks of entries in the order of one request.
const (
	rankSpread = iota
	rankHome
	rankOther
	rankSuspect
)

// State reports whether the list can be used and whether the next one should be fetched.
func (l *EntryList) State(now time.Time) (usable, refresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usable = len(l.entries) > 0 && now.Before(l.expires)
	refresh = !usable || !now.Before(l.refresh)
	if refresh && usable {
		l.refresh = now.Add(minRefresh)
	}
	return usable, refresh
}

// Suspect records that an entry failed, is silent or is leaving; the next list is fetched soon.
func (l *EntryList) Suspect(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.suspects[address]
	switch {
	case !known:
		l.refresh = now
		s.span = l.suspectFor
	case !now.Before(s.until):
		s.span = min(2*s.span, maxSuspicion)
	}
	s.until = now.Add(s.span)
	l.suspects[address] = s
}

// ClearSuspect records that an entry answered.
func (l *EntryList) ClearSuspect(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, address)
}

// Addresses returns the addresses of the listed entries, whether or not the list has expired.
func (l *EntryList) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := make([]string, 0, len(l.entries))
	for _, e := range l.entries {
		addresses = append(addresses, e.Address)
	}
	return addresses
}
