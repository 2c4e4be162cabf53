package cpfailover

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// refreshShare is the share of the entry list TTL after which the next list is fetched in the background.
const refreshShare = 0.75

// minRefresh is the minimum time between two background fetches.
const minRefresh = time.Second

// EntryList holds the entries until their TTL has elapsed and spreads requests evenly over them.
type EntryList struct {
	mu         sync.Mutex
	suspectFor time.Duration
	entries    []Entry
	expires    time.Time
	refresh    time.Time
	next       int
	suspects   map[string]suspect
}

// maxSuspectTime is the maximum time for which an entry is used last after a failure.
const maxSuspectTime = 30 * time.Second

// suspect is the state of an entry that is used last until a time. Its period doubles with each failure after that
// time.
type suspect struct {
	until  time.Time
	period time.Duration
}

// NewEntryList returns an empty list. An entry that has failed is used last for the time suspectFor.
func NewEntryList(suspectFor time.Duration) *EntryList {
	return &EntryList{suspectFor: suspectFor, suspects: make(map[string]suspect)}
}

// Set replaces the list. start, in [0, 1), is the relative position of the entry at which the rotation starts.
func (l *EntryList) Set(now time.Time, entries []Entry, ttl time.Duration, start float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.Clone(entries)
	l.expires = now.Add(ttl)
	l.refresh = now.Add(time.Duration(float64(ttl) * refreshShare))
	l.next = int(start * float64(len(entries)))
	maps.DeleteFunc(l.suspects, func(address string, _ suspect) bool {
		return !slices.ContainsFunc(entries, func(e Entry) bool { return e.Address == address })
	})
}

// Order returns the entries in the order in which one request uses them. A caller with a failure domain spreads
// its requests over the entries of the domain of the first listed entry; this differs from the caller's own domain
// only if that has too few VMs. A caller without a domain spreads its requests over all entries. The other entries
// of the caller's domain follow, then those of other domains, and suspect entries come last.
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

// State reports whether the list is usable and whether the next one should be fetched.
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

// Suspect records that an entry has failed, is unresponsive or is leaving. After a new suspect, State reports that the
// next list should be fetched.
func (l *EntryList) Suspect(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.suspects[address]
	switch {
	case !known:
		l.refresh = now
		s.period = l.suspectFor
	case !now.Before(s.until):
		s.period = min(2*s.period, maxSuspectTime)
	}
	s.until = now.Add(s.period)
	l.suspects[address] = s
}

// ClearSuspect records that an entry has answered.
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
