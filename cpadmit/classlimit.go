package cpadmit

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Parameters of the limits of classes.
const (
	// missWeight is the weight of one query in the share of the queries of a class that miss their objective.
	missWeight = 0.05
	// missMargin is by how much the share of the queries of a class that miss their objectives may exceed that of a less urgent
	// class. It exceeds the random variation of the shares, and is less than the part of its value that a more urgent kind may
	// lose compared with a less urgent one (0.15).
	missMargin = 0.1
	// classCut and classGrowth are the factors of one change of the limit of a class. Cuts are the larger steps, so that the queues
	// at targets empty quickly.
	classCut    = 0.9
	classGrowth = 1.02
)

// classLimits limits the queries of less urgent classes in progress while a more urgent class misses its objectives more often.
// Targets serve calls in the order of their arrival, and gates don't see those queues: a wait that a less urgent query can
// bear may be too long for a more urgent one.
type classLimits struct {
	// running is the number of queries in progress of each class.
	running [clementineport.NumClasses]int
	// missed is the share of the queries of each class that were refused or ended after their objective, a moving average.
	missed [clementineport.NumClasses]float64
	// limits holds the limit on the queries in progress of each class, or zero for none.
	limits [clementineport.NumClasses]float64
}

// atLimit reports whether a class has as many queries in progress as it may.
func (l *classLimits) atLimit(c clementineport.Class) bool {
	return l.limits[c] > 0 && float64(l.running[c]+1) > l.limits[c]
}

// observeMiss records whether a query of a class has missed its objective.
func (l *classLimits) observeMiss(c clementineport.Class, missed bool) {
	value := 0.0
	if missed {
		value = 1
	}
	l.missed[c] += missWeight * (value - l.missed[c])
}

// observeEnd adjusts the limits of the less urgent classes when a query has ended. A limit that has grown to that of the gate is
// removed.
func (g *Gate) observeEnd(now time.Time, a *Arrival, o Outcome) {
	l := &g.fair.classLimits
	l.running[a.Class]--
	if o.Failed {
		return
	}
	late := now.After(a.Deadline)
	l.observeMiss(a.Class, late)
	for c := int(a.Class) + 1; c < len(l.limits); c++ {
		switch {
		case l.missed[a.Class] <= l.missed[c]+missMargin:
			if l.limits[c] *= classGrowth; l.limits[c] > g.limit.value {
				l.limits[c] = 0
			}
		case late:
			limit := float64(l.running[c] + 1)
			if l.limits[c] > 0 {
				limit = min(limit, l.limits[c])
			}
			l.limits[c] = max(limit*classCut, 1)
		}
	}
}
