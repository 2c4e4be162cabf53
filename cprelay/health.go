package cprelay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// health remembers which VMs failed a relay; a failed one is tried again after a while.
type health struct {
	retryAfter time.Duration
	// failures is the size of notBefore, so that a healthy fleet takes no lock.
	failures  atomic.Int32
	mu        sync.RWMutex
	notBefore map[clementineport.VMID]time.Time
}

func newHealth(retryAfter time.Duration) *health {
	return &health{retryAfter: retryAfter, notBefore: make(map[clementineport.VMID]time.Time)}
}

func (h *health) usable(vm clementineport.VMID, now time.Time) bool {
	if h.failures.Load() == 0 {
		return true
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	return !now.Before(h.notBefore[vm])
}

func (h *health) failed(vm clementineport.VMID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notBefore[vm] = now.Add(h.retryAfter)
	h.failures.Store(int32(len(h.notBefore)))
}

func (h *health) answered(vm clementineport.VMID) {
	if h.failures.Load() == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.notBefore, vm)
	h.failures.Store(int32(len(h.notBefore)))
}
