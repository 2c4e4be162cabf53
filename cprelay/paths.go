package cprelay

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// lostPathFailures is how many calls in a row must fail before the cause is taken to be the network path of the VM that made
// them. Fewer may be calls to one target that has ended.
const lostPathFailures = 3

// targetPaths tracks, for each VM that makes calls, whether it seems to have lost its network path to the targets. Calls that
// fail elsewhere too, because the targets are down, only change the VM that makes them.
type targetPaths struct {
	mu       sync.RWMutex
	retryGap time.Duration
	vms      map[clementineport.VMID]targetPath
}

// targetPath is what is known of one VM.
type targetPath struct {
	// failures counts the calls since a target last answered.
	failures int
	// nextTrial is when the VM gets its next call while its path seems to be lost.
	nextTrial time.Time
}

// newTargetPaths returns paths that seem to be sound. A VM whose path seems to be lost gets one call in each retryGap.
func newTargetPaths(retryGap time.Duration) *targetPaths {
	return &targetPaths{retryGap: retryGap, vms: map[clementineport.VMID]targetPath{}}
}

// observe records the result of a call that a VM has made, and reports whether the path of that VM now seems to be lost.
func (p *targetPaths) observe(vm clementineport.VMID, r *clementineport.CallResult, now time.Time) (lost bool) {
	answered, failed := r.Reply != nil || r.Signals.Start != "", connectFailed(r)
	if !failed && (!answered || !p.failing(vm)) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		delete(p.vms, vm)
		return false
	}
	path := p.vms[vm]
	if path.failures++; path.failures >= lostPathFailures {
		path.nextTrial = now.Add(p.retryGap)
	}
	p.vms[vm] = path
	return path.failures >= lostPathFailures
}

// failing reports whether a call of a VM has failed since a target last answered.
func (p *targetPaths) failing(vm clementineport.VMID) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	_, known := p.vms[vm]
	return known
}

// connectFailed reports whether a call failed in a way that a lost path could explain.
func connectFailed(r *clementineport.CallResult) bool {
	switch clementineport.FaultOf(r.Err) {
	case clementineport.FaultRefused:
		return true
	case clementineport.FaultTimeout, clementineport.FaultDeadline:
		return r.Elapsed > 0 // a call that no connection was tried for says nothing
	default:
		return false
	}
}

// usable reports whether a call may be made by a VM. A VM whose path seems to be lost gets a call from time to time, which shows
// whether it still is.
func (p *targetPaths) usable(vm clementineport.VMID, now time.Time) bool {
	if !p.failing(vm) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.vms[vm]
	if path.failures < lostPathFailures {
		return true
	}
	if now.Before(path.nextTrial) {
		return false
	}
	path.nextTrial = now.Add(p.retryGap)
	p.vms[vm] = path
	return true
}
