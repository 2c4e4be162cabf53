package cprelay

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// peerHealth records which VMs failed a relay. After a timeout a VM stays eligible, because only its connection may
// be unresponsive, and that is replaced. A VM is avoided for a while after a second timeout and after any other
// failure.
type peerHealth struct {
	mu         sync.RWMutex
	retryAfter time.Duration
	failures   map[clementineport.VMID]failure
}

type failure struct {
	// reconnected is when the connection was last replaced.
	reconnected time.Time
	// avoidUntil is when the VM becomes eligible again.
	avoidUntil time.Time
}

func newPeerHealth(retryAfter time.Duration) *peerHealth {
	return &peerHealth{retryAfter: retryAfter, failures: make(map[clementineport.VMID]failure)}
}

func (h *peerHealth) eligible(vm clementineport.VMID, now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return !now.Before(h.failures[vm].avoidUntil)
}

// failed records a failed relay that began at start. A timeout of a relay that began before the connection was
// replaced is ignored.
func (h *peerHealth) failed(vm clementineport.VMID, fault clementineport.Fault, start, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.failures[vm]
	switch {
	case fault != clementineport.FaultTimeout:
		f.avoidUntil = now.Add(h.retryAfter)
	case f.reconnected.IsZero():
		f.reconnected = now
	case start.After(f.reconnected):
		f.avoidUntil = now.Add(h.retryAfter)
		f.reconnected = now
	}
	h.failures[vm] = f
}

func (h *peerHealth) succeeded(vm clementineport.VMID) {
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
