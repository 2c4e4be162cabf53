package cpsnapshot

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// Cache keeps the choice of each service for a short interval, so that most queries plan without counting holders.
// A choice that has gone stale costs coverage checks in the query, never a wrong answer.
type Cache struct {
	chooser  *Chooser
	interval time.Duration
	services sync.Map // of clementineport.ServiceID to *cacheEntry
}

type cacheEntry struct {
	last atomic.Pointer[cached]
}

type cached struct {
	service *clementineport.ServiceTable
	view    clementineport.TargetView
	choice  Choice
	until   time.Time
}

// NewCache returns a Cache that keeps a choice for the interval.
// A choice made under another revision of the configuration is not used.
func NewCache(chooser *Chooser, interval time.Duration) *Cache {
	return &Cache{chooser: chooser, interval: interval}
}

// Choose returns the kept choice, or a fresh one. Incomplete choices are never kept.
func (c *Cache) Choose(
	service *clementineport.ServiceTable, view clementineport.TargetView, now time.Time, avoid ...clementineport.Snapshot,
) (Choice, bool) {
	if len(avoid) > 0 {
		return c.chooser.Choose(service, view, now, avoid...)
	}
	v, ok := c.services.Load(service.Service.Name)
	if !ok {
		v, _ = c.services.LoadOrStore(service.Service.Name, &cacheEntry{})
	}
	entry := v.(*cacheEntry)
	last := entry.last.Load()
	if last != nil && last.service == service && last.view == view && now.Before(last.until) {
		return last.choice, true
	}
	choice, ok := c.chooser.Choose(service, view, now)
	if ok && choice.Covered == choice.Shards {
		entry.last.Store(&cached{service: service, view: view, choice: choice, until: now.Add(c.interval)})
	}
	return choice, ok
}

// Invalidate drops the choice of a service; call it when a target no longer holds a snapshot.
func (c *Cache) Invalidate(service *clementineport.ServiceTable) {
	c.services.Delete(service.Service.Name)
}

// Clear drops all choices.
func (c *Cache) Clear() { c.services.Clear() }
