package cpconfigsync

import (
	"time"

	"github.com/clementineport/clementineport"
)

// quorum determines whether this VM reaches so few of the others that a change may have been accepted without it. It
// matters while no reachable VM has contact to the store: in a store outage the VMs still reach each other, whereas a
// network partition separates some of them from the rest.
type quorum struct {
	// expected holds the VMs that were alive when this VM last knew that its revision was the newest, and those that have
	// joined since, without those that have announced that they are leaving.
	expected map[clementineport.VMID]bool
	// changed is true when the members have changed since the last evaluation.
	changed bool
	// since is when this VM became a part of a minority, or zero.
	since time.Time
}

// reset sets the expected VMs from the members at a time when the revision in force was known to be the newest.
func (q *quorum) reset(members []clementineport.Member) {
	q.expected, q.since, q.changed = make(map[clementineport.VMID]bool, len(members)), time.Time{}, true
	for i := range members {
		if members[i].State == clementineport.MemberAlive {
			q.expected[members[i].ID] = true
		}
	}
}

// evaluate determines from the current members whether this VM is in a minority.
func (q *quorum) evaluate(now time.Time, members []clementineport.Member) {
	if !q.changed || q.expected == nil {
		return
	}
	q.changed = false
	switch minority := q.lacksMajority(members); {
	case !minority:
		q.since = time.Time{}
	case q.since.IsZero():
		q.since = now
	}
}

// lacksMajority reports whether less than half of the expected VMs are reached. Of two equal halves, the one with the
// lowest id counts as the majority.
func (q *quorum) lacksMajority(members []clementineport.Member) (minority bool) {
	n := 0
	lowest, lowestAlive := clementineport.VMID(""), false
	for i := range members {
		m := &members[i]
		alive := m.State == clementineport.MemberAlive
		if m.Leaving {
			delete(q.expected, m.ID)
		} else if alive {
			q.expected[m.ID] = true
		}
		if !q.expected[m.ID] {
			continue
		}
		if alive {
			n++
		}
		if lowest == "" || m.ID < lowest {
			lowest, lowestAlive = m.ID, alive
		}
	}
	half := 2*n == len(q.expected)
	return 2*n < len(q.expected) || half && n > 0 && !lowestAlive
}

// minority reports whether this VM is in a minority.
func (q *quorum) minority() bool { return !q.since.IsZero() }
