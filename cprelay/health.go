package cprelay

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// health remembers which VMs failed a relay; a failed one is tried again after a while.
type health struct {
	mu         sync.RWMutex
	retryAfter time.Duration
	notBefore  map[clementineport.VMID]time.Time
}

func newHealth(retryAfter time.Duration) *health {
	return &health{retryAfter: retryAfter, notBefore: make(map[clementineport.VMID]time.Time)}
}

func (h *health) usable(vm clementineport.VMID, now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return !now.Before(h.notBefore[vm])
}

func (h *health) failed(vm clementineport.VMID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notBefore[vm] = now.Add(h.retryAfter)
}

func (h *health) answered(vm clementineport.VMID) {
	h.mu.RLock()
	_, known := h.notBefore[vm]
	h.mu.RUnlock()
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.notBefore, vm)
}
