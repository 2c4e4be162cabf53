package cprelay

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// health remembers which VMs failed a relay. A VM that was silent is tried once more at once, since its
// connection may have gone silent and is replaced; after a second silence, as after any other failure, it is
// avoided for a while.
type health struct {
	mu         sync.RWMutex
	retryAfter time.Duration
	failures   map[clementineport.VMID]failure
}

type failure struct {
	// replaced is when the connection was replaced.
	replaced time.Time
	// notBefore is when the VM is tried again.
	notBefore time.Time
}

func newHealth(retryAfter time.Duration) *health {
	return &health{retryAfter: retryAfter, failures: make(map[clementineport.VMID]failure)}
}

func (h *health) usable(vm clementineport.VMID, now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return !now.Before(h.failures[vm].notBefore)
}

// failed records a failed relay that began at a time.
func (h *health) failed(vm clementineport.VMID, fault clementineport.Fault, began, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.failures[vm]
	switch {
	case fault != clementineport.FaultTimeout:
		f.notBefore = now.Add(h.retryAfter)
	case f.replaced.IsZero():
		f.replaced = now
	case began.After(f.replaced):
		f.notBefore = now.Add(h.retryAfter)
		f.replaced = now
	}
	h.failures[vm] = f
}

func (h *health) answered(vm clementineport.VMID) {
	h.mu.RLock()
	_, known := h.failures[vm]
	h.mu.RUnlock()
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.failures, vm)
}
