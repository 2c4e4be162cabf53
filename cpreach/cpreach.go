// Package cpreach determines whether one VM has lost its network path to the targets, from the calls that it makes, and keeps
// what VMs state about that.
//
// Targets that are slow or down look alike to a VM that has lost its path, so what it sees only raises a suspicion: several
// targets have answered nothing, or none of them accepts a new connection, or another VM has lost its
// path and no target has answered since. Connection attempts to further targets (ConnectAny) decide; the caller makes them
// and reports the result. A path that carries only the connections that are open already counts as lost, since a VM needs
// new ones all the time. The current time is passed in.
package cpreach

import (
	"maps"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// State is whether a VM reaches targets.
type State uint8

const (
	// Reached means that targets answer, or that too few have been called to tell.
	Reached State = iota
	// Suspected means that the targets called last have not answered, or refused connections.
	Suspected
	// Lost means that connection attempts to further targets have failed as well.
	Lost
)

var stateNames = [...]string{"reached", "suspected", "lost"}

// String returns the name of the state in logs.
func (s State) String() string { return stateNames[s] }

// Call is one call to a target, from Sent to Done.
type Call struct {
	target  clementineport.TargetID
	service clementineport.ServiceID
	sent    time.Time
	// overdueAfter is how long the call may stay without an answer before it counts against the path.
	overdueAfter time.Duration
}

// Tracker tracks the calls of one VM. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu    sync.Mutex
	state State
	// answered is when a target last answered, and silentSince when the first call after it was sent.
	answered    time.Time
	silentSince time.Time
	inFlight    map[*Call]struct{}
	// failed holds the targets whose calls have ended without an answer since then, with their services, and unconnected
	// those that could not be connected to since the last connection was opened.
	failed      map[clementineport.TargetID]clementineport.ServiceID
	unconnected map[clementineport.TargetID]clementineport.ServiceID
	// called holds the services that have been called since the last connection was opened.
	called map[clementineport.ServiceID]bool
	// lost is closed when the state becomes Lost, and replaced when it is no longer.
	lost chan struct{}
}

// New returns a tracker of a VM that has made no calls.
func New(opts ...Option) *Tracker {
	return &Tracker{
		options: NewOptions(opts...), inFlight: map[*Call]struct{}{}, lost: make(chan struct{}),
		failed:      map[clementineport.TargetID]clementineport.ServiceID{},
		unconnected: map[clementineport.TargetID]clementineport.ServiceID{},
		called:      map[clementineport.ServiceID]bool{},
	}
}

// State returns the state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// LostSignal returns a channel that is closed while the state is Lost, or once it becomes Lost.
func (t *Tracker) LostSignal() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Sent records a call, whose answer usually takes the typical latency.
func (t *Tracker) Sent(now time.Time, target *clementineport.TargetInstance, typical time.Duration) *Call {
	c := &Call{
		target: target.ID, service: target.Service, sent: now,
		overdueAfter: min(t.options.MaxOverdue, max(t.options.MinOverdue, time.Duration(overdueFactor*float64(typical)))),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[c] = struct{}{}
	t.called[c.service] = true
	if t.silentSince.IsZero() {
		t.silentSince = now
	}
	return c
}

// Done records the end of a call with its fault, which is FaultUnknown if the target answered.
func (t *Tracker) Done(now time.Time, c *Call, fault clementineport.Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, c)
	switch fault {
	case clementineport.FaultDeadline:
	case clementineport.FaultRefused:
		t.failed[c.target], t.unconnected[c.target] = c.service, c.service
	case clementineport.FaultReset:
		t.failed[c.target] = c.service
	case clementineport.FaultTimeout, clementineport.FaultCanceled, clementineport.FaultUnsent:
		if t.overdue(now, c) {
			t.failed[c.target] = c.service
		}
	default:
		t.answer(now)
	}
	if len(t.inFlight) == 0 && len(t.failed) == 0 {
		t.silentSince = time.Time{}
	}
}

// answer records that a target has answered.
func (t *Tracker) answer(now time.Time) {
	t.answered, t.silentSince = now, time.Time{}
	if len(t.inFlight) > 0 {
		t.silentSince = now
	}
	clear(t.failed)
}

// overdue reports whether a call has waited too long, counted from its start or from the last answer of any target.
func (t *Tracker) overdue(now time.Time, c *Call) bool {
	since := c.sent
	if t.answered.After(since) {
		since = t.answered
	}
	return now.Sub(since) >= c.overdueAfter
}

// Connected records that a connection to a target was opened.
func (t *Tracker) Connected(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer(now)
	clear(t.unconnected)
	clear(t.called)
	if t.state == Lost {
		t.lost = make(chan struct{})
	}
	t.state = Reached
}

// Suspect moves from Reached to Suspected if enough targets have not answered or could not be connected to, and returns the
// state and these targets. targets holds the number of targets of each service that the VM may call.
func (t *Tracker) Suspect(now time.Time, targets map[clementineport.ServiceID]int) (State, map[clementineport.TargetID]clementineport.ServiceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	failing, suspicious := maps.Clone(t.unconnected), t.connectsToNone(targets)
	if t.silent(now) {
		failing = t.unanswered(now)
		long := now.Sub(t.silentSince) >= t.options.MaxOverdue
		suspicious = len(failing) >= enough(servicesOf(failing, targets)) || long && len(failing) > 0
	}
	if t.state == Reached && suspicious {
		t.state = Suspected
	}
	return t.state, failing
}

// connectsToNone reports whether enough targets could not be connected to. If calls to several services have been made, so must
// the failures have been, since all targets of one service may have ended.
func (t *Tracker) connectsToNone(targets map[clementineport.ServiceID]int) bool {
	services := servicesOf(t.unconnected, targets)
	return len(t.unconnected) >= enough(targets) && len(services) >= min(minFailingServices, len(t.called))
}

// Doubt moves from Reached to Suspected if no target has answered since a time at which another VM had lost its path. VMs often
// lose it together, and one that makes few calls would find out late.
func (t *Tracker) Doubt(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Reached && !t.answered.After(since) {
		t.state = Suspected
	}
}

// servicesOf returns the numbers of targets of the services that failing targets belong to.
func servicesOf(failing map[clementineport.TargetID]clementineport.ServiceID, targets map[clementineport.ServiceID]int) map[clementineport.ServiceID]int {
	called := map[clementineport.ServiceID]int{}
	for _, service := range failing {
		called[service] = targets[service]
	}
	return called
}

// enough returns how many targets must fail for the path to be suspected, of those that may be called.
func enough(targets map[clementineport.ServiceID]int) int {
	total := 0
	for _, n := range targets {
		total += n
	}
	return max(1, min(minFailingTargets, total))
}

// Silent reports whether calls have been sent, and none has been answered for a time.
func (t *Tracker) Silent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent(now)
}

func (t *Tracker) silent(now time.Time) bool {
	return !t.silentSince.IsZero() && now.Sub(t.silentSince) >= t.options.MinOverdue
}

// unanswered returns the targets of calls without an answer, with their services.
func (t *Tracker) unanswered(now time.Time) map[clementineport.TargetID]clementineport.ServiceID {
	all := maps.Clone(t.failed)
	for c := range t.inFlight {
		if t.overdue(now, c) {
			all[c.target] = c.service
		}
	}
	return all
}

// Unreachable records that none of several further targets has accepted a connection.
func (t *Tracker) Unreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Suspected {
		t.state = Lost
		close(t.lost)
	}
}
