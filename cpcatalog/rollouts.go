package cpcatalog

import (
	"maps"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cprollout"
)

// rolloutEntry is what the catalog knows of the rollout of a service.
type rolloutEntry struct {
	order  *clementineport.RolloutOrder
	stored *clementineport.RolloutStatus
	// orderedAt is the earliest time at which the order can have been given, and phaseAt when this VM learned the phase.
	orderedAt time.Time
	phaseAt   time.Time
	// keepUntil is the time until which an order that a restore of the store has lost stays in force, or zero. orderLost is
	// true until it was written again, and stateLost until the store has a state of at least the known phase again.
	keepUntil time.Time
	orderLost bool
	stateLost bool
	rollout   *cprollout.Rollout
}

// Rollouts returns the rollouts by service. The map is valid until the next change.
func (c *Catalog) Rollouts() map[clementineport.ServiceID]*cprollout.Rollout {
	all := make(map[clementineport.ServiceID]*cprollout.Rollout, len(c.rollouts))
	for service, e := range c.rollouts {
		all[service] = e.rollout
	}
	return all
}

// applyRollouts applies changes of orders and stored states.
func (c *Catalog) applyRollouts(now time.Time, update *clementineport.FleetUpdate) (changed bool) {
	next := maps.Clone(c.rollouts)
	edit := func(service clementineport.ServiceID) *rolloutEntry {
		e := &rolloutEntry{}
		if known := next[service]; known != nil {
			*e = *known
		}
		next[service] = e
		return e
	}
	if update.Whole {
		for service := range c.rollouts {
			e := edit(service)
			if !e.orderLost {
				e.order = nil
			}
			if !e.stateLost {
				e.stored = nil
			}
		}
	}
	for _, service := range update.GoneRollouts {
		e := edit(service)
		e.order, e.orderLost = nil, false
	}
	for _, service := range update.GoneRolloutStates {
		e := edit(service)
		e.stored, e.stateLost = nil, false
	}
	for i := range update.Rollouts {
		c.setOrder(now, edit(update.Rollouts[i].Service), &update.Rollouts[i])
	}
	for i := range update.RolloutStates {
		setStored(now, edit(update.RolloutStates[i].Service), &update.RolloutStates[i])
	}
	for service, e := range next {
		changed = e.refresh(now) || changed
		if e.rollout == nil {
			delete(next, service)
		}
	}
	c.rollouts = next
	return changed
}

// setOrder records an order. After a restore of the store, the order that operators write again continues the same rollout.
func (c *Catalog) setOrder(now time.Time, e *rolloutEntry, o *clementineport.RolloutOrder) {
	at := now.Add(-max(0, o.Age))
	known := e.rollout
	switch {
	case known == nil || !known.Ordered || known.Order.Version != o.Version || known.Order.Duration != o.Duration:
		e.orderedAt = at
	case known.Order.Revision != o.Revision && e.orderLost:
		if e.stored != nil && e.stored.Order == known.Order.Revision {
			// The state that this VM has accepted also belongs to the order that was written again.
			continued := *e.stored
			continued.Order = o.Revision
			e.stored = &continued
		}
	case known.Order.Revision != o.Revision:
		e.orderedAt = at
	case at.Before(e.orderedAt):
		e.orderedAt = at
	}
	order := *o
	order.Age = 0
	e.order, e.orderLost = &order, false
}

// setStored records a stored state. After a restore of the store, a phase that comes before the known one doesn't replace it,
// but its revision does, so that the driver writes the known one again.
func setStored(now time.Time, e *rolloutEntry, s *clementineport.RolloutStatus) {
	state := *s
	if known := e.stored; known != nil && e.stateLost && known.Version == s.Version && s.Phase < known.Phase {
		state = *known
		state.Revision = s.Revision
	} else {
		e.stateLost = false
	}
	e.stored = &state
	if e.order != nil && state.Order == e.order.Revision {
		if at := now.Add(-state.Elapsed); at.Before(e.orderedAt) {
			e.orderedAt = at
		}
	}
}

// refresh derives the rollout from the order and the stored state, and reports whether it has changed.
func (e *rolloutEntry) refresh(now time.Time) bool {
	last, next := e.rollout, cprollout.New(e.order, e.stored)
	if next == nil {
		e.rollout = nil
		return last != nil
	}
	if last == nil || last.Phase != next.Phase || last.Order.Revision != next.Order.Revision {
		e.phaseAt = now
	}
	next.OrderedAt, next.PhaseAt, next.Lost = e.orderedAt, e.phaseAt, e.stateLost
	if last != nil && last.Stored.Revision == next.Stored.Revision && last.Order == next.Order && last.Ordered == next.Ordered &&
		last.Phase == next.Phase && last.Stored.Order == next.Stored.Order && last.Lost == next.Lost && last.OrderedAt.Equal(next.OrderedAt) {
		return false
	}
	e.rollout = next
	return true
}

// keepRollouts keeps the orders and states of an earlier era of the store until operators and drivers have written them again.
func (c *Catalog) keepRollouts(now time.Time) {
	for _, e := range c.rollouts {
		e.keepUntil, e.orderLost = now.Add(c.options.RestoreGrace), e.order != nil
		if e.stored != nil {
			lost := *e.stored
			lost.Revision = 0 // revisions of the earlier era mean nothing any more
			e.stored, e.stateLost = &lost, true
		}
	}
}

// dropLostRollouts drops the orders that were not written again in time, and reports whether there were any.
func (c *Catalog) dropLostRollouts(now time.Time) (changed bool) {
	for service, e := range c.rollouts {
		if !e.orderLost || now.Before(e.keepUntil) {
			continue
		}
		next := *e
		next.order, next.orderLost = nil, false
		changed = next.refresh(now) || changed
		c.rollouts[service] = &next
		if next.rollout == nil {
			delete(c.rollouts, service)
		}
	}
	return changed
}

// fillRollouts adds the orders and stored states to a full update.
func (c *Catalog) fillRollouts(now time.Time, update *clementineport.FleetUpdate) {
	for _, e := range c.rollouts {
		if e.order != nil && !e.orderLost {
			o := *e.order
			o.Age = max(0, now.Sub(e.orderedAt))
			update.Rollouts = append(update.Rollouts, o)
		}
		if e.stored != nil {
			update.RolloutStates = append(update.RolloutStates, *e.stored)
		}
	}
}
