package cpforward

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpreach"
)

// attempts counts the calls of each shard of a request that may have reached a target. A call counts from its start, and no longer
// once it has ended with the proof that it didn't.
type attempts struct {
	// running counts the calls that have not ended.
	running sync.WaitGroup

	mu    sync.Mutex
	calls []int
}

func newAttempts(shards int) *attempts { return &attempts{calls: make([]int, shards)} }

// began records the start of a call to a shard.
func (a *attempts) began(shard int) {
	a.running.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[shard]++
}

// ended records the end of a call to a shard.
func (a *attempts) ended(shard int, mayHaveRun bool) {
	if !mayHaveRun {
		a.mu.Lock()
		a.calls[shard]--
		a.mu.Unlock()
	}
	a.running.Done()
}

// most returns the highest number of calls of a shard that may have reached a target.
func (a *attempts) most() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, calls := range a.calls {
		n = max(n, calls)
	}
	return n
}

// called returns the shards that a call may have reached.
func (a *attempts) called(shards []clementineport.ServiceID) (called []clementineport.ServiceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, calls := range a.calls {
		if calls > 0 {
			called = append(called, shards[i])
		}
	}
	return called
}

// lostSignal returns a channel that is closed when this VM has lost its path to the targets, unless the request stays.
func (r *run) lostSignal() <-chan struct{} {
	if r.stay {
		return nil
	}
	return r.f.options.Reach.LostSignal()
}

// leaveCheckPeriod is the time between two checks whether the calls under way are still answered.
const leaveCheckPeriod = 100 * time.Millisecond

// mustLeave reports whether the request should be run by another VM, since this one has lost its path to the targets. It stays
// while calls are under way that may be answered over open connections, or that may have run if it is not idempotent.
func (r *run) mustLeave() bool {
	if !r.unreached || r.fan.Sufficient() {
		return false
	}
	return r.running == 0 || r.route.Idempotent && r.f.options.Reach.Silent(r.now())
}

// wake returns how long the request has nothing to do unless a call ends.
func (r *run) wake() time.Duration {
	d := max(0, r.fan.Wake().Sub(r.now()))
	if r.unreached {
		return min(d, leaveCheckPeriod)
	}
	return d
}

// markUnreached marks the result of a request that failed while this VM reached no target and may be run by another one. Calls
// that may have reached targets are charged to the budget as retries are, since the other VM repeats them.
func (r *run) markUnreached(answer *Result) {
	if r.stay || answer.Err == nil || r.f.options.Reach.State() != cpreach.Lost {
		return
	}
	answer.Attempts = r.attempts.most()
	if answer.Attempts > 0 && (!r.route.Idempotent || answer.Attempts >= r.route.MaxAttempts) {
		metrics.GetOrCreateCounter("clementineport_reroutes_withheld_total").Inc()
		return
	}
	answer.Unreached = answer.Attempts == 0 || r.f.SpendRetry(r.attempts.called(r.shards))
}

// SpendRetry takes one extra call to each of the services from the budget, and reports whether it allowed all of them.
func (f *Forwarder) SpendRetry(services []clementineport.ServiceID) bool {
	const value = 1
	for _, s := range services {
		if !f.spend(f.options.Clock.Now(), s, value) {
			return false
		}
	}
	return true
}
