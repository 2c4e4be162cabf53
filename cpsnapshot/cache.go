package cpsnapshot

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// Cache caches the choice of each service for a short interval, so that most queries are planned without
// counting holders. A stale choice costs coverage checks in the query, but never causes a wrong answer.
type Cache struct {
	chooser  *Chooser
	interval time.Duration
	services sync.Map // of clementineport.ServiceID to *cacheEntry
}

type cacheEntry struct {
	current atomic.Pointer[cachedChoice]
}

type cachedChoice struct {
	service *clementineport.ServiceTable
	view    clementineport.TargetView
	choice  Choice
	until   time.Time
}

// NewCache returns a Cache that keeps each choice for the interval. A choice that was made under another revision
// of the configuration is not used.
func NewCache(chooser *Chooser, interval time.Duration) *Cache {
	return &Cache{chooser: chooser, interval: interval}
}

// Choose returns the cached choice or a new one. Choices that do not cover every shard are not cached.
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
	last := entry.current.Load()
	if last != nil && last.service == service && last.view == view && now.Before(last.until) {
		return last.choice, true
	}
	choice, ok := c.chooser.Choose(service, view, now)
	if ok && choice.Covered == choice.Shards {
		entry.current.Store(&cachedChoice{service: service, view: view, choice: choice, until: now.Add(c.interval)})
	}
	return choice, ok
}

// Invalidate removes the choice of a service. It must be called when a target no longer holds a snapshot.
func (c *Cache) Invalidate(service *clementineport.ServiceTable) {
	c.services.Delete(service.Service.Name)
}

// Clear removes all choices.
func (c *Cache) Clear() { c.services.Clear() }
