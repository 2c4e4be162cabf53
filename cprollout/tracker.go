package cprollout

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplatency"
)

// Use is the order in which a call tries the versions of a service.
type Use uint8

const (
	// UseOld means that only old targets are used.
	UseOld Use = iota
	// UseOldFirst means that the new version is used if no old target is usable.
	UseOldFirst
	// UseNewFirst means that old targets are used if no target of the new version is usable.
	UseNewFirst
	// UseNew means that only the new version is used.
	UseNew
	// UseNone means that no target is used until the view is confirmed.
	UseNone
)

// Tracker is the part that one VM has in rollouts. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu     sync.Mutex
	meters map[clementineport.ServiceID]*meter
}

// meter counts the requests of this process for one order.
type meter struct {
	order   clementineport.Revision
	version clementineport.TargetVersion
	phase   clementineport.RolloutPhase
	share   float64
	// offset is a fraction of a request by which this process begins earlier than others.
	offset float64
	// requests counts the requests that reached the service, and sent those that went to the new version.
	requests int64
	sent     int64
	// slack is the part of the fleet's slack that this process has earned until slackAt.
	slack   float64
	slackAt time.Time
	routes  map[clementineport.RouteID]*routeMeter
	// oldRecent averages the outcomes of the old version.
	oldRecent average
	bad       int64
	ended     int64
	stopped   bool
	// stoppedAt is when this VM found that it had stopped, and fullFrom when it began to send all requests to the new version.
	stoppedAt time.Time
	fullFrom  time.Time
	// promised is true once this VM has stated that it sends no requests to old targets any more.
	promised bool
}

// routeMeter counts the requests of one route.
type routeMeter struct {
	counts clementineport.RolloutCounts
	// credit is the number of requests by which the new version is behind its share.
	credit  float64
	latency *cplatency.Window
	samples int
}

// NewTracker returns a tracker without rollouts.
func NewTracker(opts ...Option) *Tracker {
	return &Tracker{options: NewOptions(opts...), meters: map[clementineport.ServiceID]*meter{}}
}

// Bounds returns the fleet-wide limits.
func (t *Tracker) Bounds() Bounds { return t.options.Bounds }

// Enabled reports whether orders are followed.
func (t *Tracker) Enabled() bool { return t.options.Bounds.Share > 0 }

// Set sets the rollouts that this VM knows, and the number of VMs that may send requests.
func (t *Tracker) Set(now time.Time, rollouts map[clementineport.ServiceID]*Rollout, vms int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.meters {
		if r := rollouts[service]; r == nil || !r.Active() {
			delete(t.meters, service)
		}
	}
	for service, r := range rollouts {
		if !r.Active() {
			continue
		}
		m := t.meters[service]
		if m == nil || m.order != r.Order.Revision || m.version != r.Version {
			m = &meter{
				order: r.Order.Revision, version: r.Version, slackAt: now,
				routes: map[clementineport.RouteID]*routeMeter{}, offset: unit(t.options.Start + "\n" + string(service)),
			}
			t.meters[service] = m
		}
		if r.Phase == clementineport.RolloutCompleting && m.phase != r.Phase {
			m.fullFrom = now
		}
		m.phase, m.share = r.Phase, r.Share
		if m.stopped && m.stoppedAt.IsZero() {
			m.stoppedAt = now
		}
		m.earn(now, &t.options.Bounds, r.Order.Duration, vms)
	}
}

// earn adds the part of the slack that belongs to the time since the last call. A process that starts again has earned
// nothing, so that restarts don't spend the slack several times.
func (m *meter) earn(now time.Time, b *Bounds, duration time.Duration, vms int) {
	passed := now.Sub(m.slackAt)
	if passed <= 0 || duration <= 0 {
		return
	}
	m.slackAt = now
	whole := slackPart * b.Slack / float64(max(1, vms))
	m.slack = min(whole, m.slack+whole*float64(passed)/float64(duration))
}

// room reports whether the new version may get another request of this process.
func (m *meter) room(b *Bounds) bool {
	if m.phase == clementineport.RolloutCompleting {
		return true
	}
	part := cautiousPart
	if m.phase == clementineport.RolloutCanary && m.share >= scarceShare {
		part = scarcePart
	}
	// A process may send a fraction of a request only if it rounds it up or down. The offset makes some processes round up and
	// others down, so that all together send what the bound allows.
	const rounding = 1e-9
	return float64(m.sent+1) <= part*(b.Share*float64(m.requests)+m.slack)+m.offset+rounding
}

// route returns the counts of a route.
func (t *Tracker) route(m *meter, service clementineport.ServiceID, route clementineport.RouteID) *routeMeter {
	r := m.routes[route]
	if r == nil {
		r = &routeMeter{counts: clementineport.RolloutCounts{Route: route}, latency: cplatency.New()}
		// Processes begin at different points of the sequence. Otherwise none of many VMs with few requests each would send
		// the first request to the new version for a long time, and then all would at once.
		r.credit = unit(t.options.Start + "\n" + string(service) + "\n" + string(route))
		m.routes[route] = r
	}
	return r
}

// unit returns a number from 0 to 1 by a text.
func unit(text string) float64 { return float64(xxhash.Sum64String(text)) / math.MaxUint64 }

// Arrived counts a request that reached a service, once.
func (t *Tracker) Arrived(service clementineport.ServiceID, route clementineport.RouteID, r *Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.meters[service]; m != nil {
		const maxCredit = 1.5 // what could not be sent is not sent in a burst later
		m.requests++
		rm := t.route(m, service, route)
		rm.credit = min(maxCredit, rm.credit+r.Share)
	}
}

// Plan returns which versions a call may use. first is true for the first call of a request to the service; viewAge is the age
// of the view.
func (t *Tracker) Plan(service clementineport.ServiceID, route clementineport.RouteID, r *Rollout, first bool, viewAge time.Duration) Use {
	switch r.Phase {
	case clementineport.RolloutCompleted:
		return UseNew
	case clementineport.RolloutRolledBack, clementineport.RolloutWaiting:
		return UseOld
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meters[service]
	stale := viewAge > t.options.Bounds.Contact
	switch {
	case m == nil || m.order != r.Order.Revision:
		return UseOld
	case m.stopped && m.promised && (m.stoppedAt.IsZero() || m.slackAt.Sub(m.stoppedAt) < reconsiderTime):
		// The driver may be about to store that the rollout is completed, by the promise of this VM.
		return UseNone
	case m.stopped:
		return UseOld
	case stale && m.promised:
		// The version may have been rolled back, or the old targets may have been stopped.
		return UseNone
	case stale:
		return UseOld
	case r.Phase == clementineport.RolloutCompleting:
		return UseNew
	case !m.room(&t.options.Bounds):
		return UseOld
	case first && r.Share > 0 && t.route(m, service, route).credit >= 1:
		return UseNewFirst
	default:
		return UseOldFirst
	}
}

// Call is a call to a target of a service with a rollout.
type Call struct {
	t     *Tracker
	m     *meter
	r     *routeMeter
	fresh bool
	cold  bool
}

// Sent counts a call. It must be called together with Plan while no other call for the service is planned, so that the
// limits hold. cold is true if the target is in its cold start.
func (t *Tracker) Sent(service clementineport.ServiceID, route clementineport.RouteID, role Role, cold bool) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meters[service]
	if m == nil || role == AvoidedVersion {
		return nil
	}
	c := &Call{t: t, m: m, r: t.route(m, service, route), fresh: role == NewVersion, cold: cold}
	if c.fresh {
		m.sent++
		c.r.counts.New.Sent++
		c.r.credit = max(-1, c.r.credit-1) // calls while no old target is usable are not made up for later
	} else {
		c.r.counts.Old.Sent++
	}
	return c
}

// Outcome is how a call ended.
type Outcome uint8

const (
	// Unknown is the end of a call that says nothing about the version, such as one that its target refused to run.
	Unknown Outcome = iota
	// Answered is a call that got an answer.
	Answered
	// Failed is a call that got an error, or none in time.
	Failed
	// Canceled is a call that was not needed any more.
	Canceled
)

// Done counts the outcome of a call. usual is the usual latency of the route, for a VM that doesn't know that of the old
// version yet.
func (c *Call) Done(now time.Time, outcome Outcome, elapsed, usual time.Duration) {
	if c == nil || outcome == Unknown {
		return
	}
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	opening := now.Add(-elapsed).Before(c.m.fullFrom.Add(openTime))
	slow := outcome != Failed && !c.cold && !opening && c.r.slow(elapsed, usual)
	counts := &c.r.counts.Old
	if c.fresh {
		counts = &c.r.counts.New
	}
	if outcome == Failed {
		counts.Failed++
	} else {
		counts.Answered++
		counts.Elapsed += elapsed
	}
	if slow {
		counts.Slow++
	}
	bad := slow || outcome == Failed
	if !c.fresh {
		if outcome == Answered && !c.cold {
			c.r.latency.Add(now, elapsed)
			c.r.samples++
		}
		c.m.oldRecent.add(now, longTime, 1, count(bad))
		return
	}
	c.m.ended++
	c.m.bad += count(bad)
	c.m.stopped = c.m.stopped || c.m.isBad()
}

// slow reports whether an answer took several times as long as is usual for the old version.
func (r *routeMeter) slow(elapsed, usual time.Duration) bool {
	if r.samples >= minLatencySamples {
		usual = r.latency.Typical()
	}
	return usual > 0 && elapsed > time.Duration(slowFactor*float64(usual))+minSlow
}

// isBad reports whether this VM alone has seen that the version is bad.
func (m *meter) isBad() bool {
	return m.bad >= maxBadAnswers && !m.oldRecent.asBad(float64(m.bad)/float64(m.ended))
}

// Stop ends the requests to the new version of an order, and reports whether that is new.
func (t *Tracker) Stop(service clementineport.ServiceID, order clementineport.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meters[service]
	if m == nil || m.order != order || m.stopped {
		return false
	}
	m.stopped = true
	return true
}

// Promise ends the requests to old targets of an order, unless the version is found to be bad. It reports whether they had been
// ended before, so that all that were planned earlier have been sent.
func (t *Tracker) Promise(service clementineport.ServiceID, order clementineport.Revision) (before bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meters[service]
	if m == nil || m.order != order || m.stopped {
		return false
	}
	before, m.promised = m.promised, true
	return before
}

// Report returns what this process has seen of the rollout of a service, or false if it has no part in one.
func (t *Tracker) Report(service clementineport.ServiceID) (clementineport.RolloutReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meters[service]
	if m == nil {
		return clementineport.RolloutReport{}, false
	}
	report := clementineport.RolloutReport{Service: service, Order: m.order, Stopped: m.stopped}
	for _, r := range m.routes {
		report.Routes = append(report.Routes, r.counts)
	}
	return report, true
}

func count(is bool) int64 {
	if is {
		return 1
	}
	return 0
}
