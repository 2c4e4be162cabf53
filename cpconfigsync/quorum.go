package cpconfigsync

import (
	"time"

	"github.com/clementineport/clementineport"
)

// quorum judges whether this VM reaches so few of the others that a change may have been accepted without it. It is
// for the time in which nobody within reach hears from the store: an outage of the store leaves the VMs together, a
// cut leaves some of them apart.
type quorum struct {
	// fleet holds the VMs that were alive when this VM last knew that its revision was the newest, those that have
	// joined since, and not those that have announced that they leave.
	expected map[clementineport.VMID]bool
	// changed is true when the members are others than those that were judged.
	changed bool
	// since is when this VM was first in a minority, or zero.
	since time.Time
}

// reset takes the members of a moment at which the revision in force was known to be the newest.
func (q *quorum) reset(members []clementineport.Member) {
	q.expected, q.since, q.changed = make(map[clementineport.VMID]bool, len(members)), time.Time{}, true
	for i := range members {
		if members[i].State == clementineport.MemberAlive {
			q.expected[members[i].ID] = true
		}
	}
}

// judge takes the members of this moment.
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

// reach reports whether less than half of the fleet is reached. Of two equal halves the one with the lowest id counts
// as the larger one.
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
