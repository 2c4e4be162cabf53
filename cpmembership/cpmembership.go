// Package cpmembership decides which entry VMs are alive, and which of them to contact next.
//
// It implements a membership protocol of the SWIM family as a deterministic state machine. Its inputs are the results of
// exchanges, the platform's list of VMs and the time; its output is the exchanges to make. It makes no calls and starts
// no goroutines. Member states can be wrong, so no guarantee about a request may depend on them.
package cpmembership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplocalhealth"
	"github.com/clementineport/clementineport/cpmemberlist"
)

// Action is an exchange to make with a peer. Its result is passed to HandleResponse or HandleFailure.
type Action struct {
	Peer    clementineport.VM
	Timeout time.Duration
	// Began is the time at which the exchange was requested; it is passed back with the result.
	Began time.Time
}

// Membership is one VM's view of the others. It is not safe for concurrent use.
type Membership struct {
	options Options
	self    clementineport.Member
	rand    *rand.Rand
	health  *cplocalhealth.Health
	limiter *rate.Limiter // for urgent exchanges

	peers      *cpmemberlist.List
	updates    []*cpmemberlist.Peer // peers with transmits left
	suspects   []*cpmemberlist.Peer
	urgent     []*cpmemberlist.Peer // peers to contact in addition to the regular exchanges
	unverified []*cpmemberlist.Peer // peers to contact when urgent is empty

	partners       []clementineport.VMID
	rounds         int
	pageAfter      clementineport.VMID
	sampleIndex    int
	joined         bool
	minIncarnation uint64 // the highest incarnation seen of this VM, while it joins
	nextRegular    time.Time
	nextDeadProbe  time.Time
	startedAt      time.Time // when this VM first ticked
	presuming      bool
	lastTick       time.Time
	lastInbound    time.Time // when another VM last called
	version        uint64
}

// New returns the membership of a VM without peers.
func New(self clementineport.Member, opts ...Option) *Membership {
	options := NewOptions(opts...)
	self.State = clementineport.MemberAlive
	self.Incarnation = 0
	seed := xxhash.Sum64String(string(self.ID) + "/" + string(self.Start))
	return &Membership{
		options: options,
		self:    self,
		rand:    rand.New(rand.NewPCG(options.Seed, seed)),
		health:  cplocalhealth.New(options.MaxHealthScore),
		limiter: rate.NewLimiter(rate.Limit(options.UrgentPerSecond), options.UrgentBurst),
		peers:   cpmemberlist.New(),
		version: 1,

		presuming: true,
	}
}

// Self returns the member record of this VM.
func (m *Membership) Self() clementineport.Member { return m.self }

// Joined reports whether this VM has received the full member list from another VM.
func (m *Membership) Joined() bool { return m.joined }

// Version returns a number that changes whenever the result of Members changes.
func (m *Membership) Version() uint64 { return m.version }

// Health returns the local health score; zero is healthy.
func (m *Membership) Health() int { return m.health.Score() }

// LastAnswer returns when a VM last answered an exchange that this VM started, or the zero time.
func (m *Membership) LastAnswer(id clementineport.VMID) time.Time {
	if p := m.peers.Get(id); p != nil {
		return p.LastAnswer
	}
	return time.Time{}
}

// Members returns this VM and all confirmed peers, sorted by id.
func (m *Membership) Members() []clementineport.Member { return m.peers.Members(m.self) }

// Presumed returns the VMs that this VM takes for alive, sorted by id: the members and, until it has had the time to learn of them, the
// VMs that the platform lists. What a VM may take for its own follows from them, since VMs that start together know the
// same list long before they have reached each other.
func (m *Membership) Presumed() []clementineport.Member {
	if !m.presuming {
		return m.Members()
	}
	return m.peers.MembersAndListed(m.self)
}

// Presuming reports whether the VMs that the platform lists are presumed to be alive.
func (m *Membership) Presuming() bool { return m.presuming }

// SetRevision records the revision in force at this VM.
func (m *Membership) SetRevision(r clementineport.Revision) {
	if m.self.Revision != r {
		m.self.Revision = r
		m.version++
	}
}

// SetTicket records the ticket of this process; it spreads with the regular exchanges. A ticket must be longer than the
// earlier ones, or of equal length and greater as a string.
func (m *Membership) SetTicket(ticket string) {
	if m.self.Ticket != ticket {
		m.self.Ticket = ticket
		m.version++
	}
}

// Leave records that this VM is shutting down and announces it to some peers at once.
func (m *Membership) Leave() {
	if m.self.State == clementineport.MemberLeaving {
		return
	}
	m.self.State = clementineport.MemberLeaving
	m.bumpIncarnation()
	m.queueBurst()
}

// Announce makes exchanges with some random peers at once, for news that must not wait for the regular exchanges.
func (m *Membership) Announce() { m.queueBurst() }

// bumpIncarnation raises the incarnation of this VM, so that its current record replaces those that other VMs have.
func (m *Membership) bumpIncarnation() {
	m.version++
	if m.joined {
		m.self.Incarnation++
	}
}

// queueBurst queues urgent exchanges with as many random peers as the burst limit allows.
func (m *Membership) queueBurst() {
	for _, p := range m.peers.Pick(m.rand, m.options.UrgentBurst) {
		m.queueExchange(p)
	}
}

// RequestProbe requests a probe of a VM that may have failed, at most one per period.
func (m *Membership) RequestProbe(now time.Time, id clementineport.VMID) {
	p := m.peers.Get(id)
	if p == nil || now.Sub(p.ProbeRequested) < m.options.Period {
		return
	}
	p.ProbeRequested = now
	m.queueExchange(p)
}

// Tick returns the exchanges to make now. It must be called several times a second.
func (m *Membership) Tick(now time.Time) []Action {
	m.endPresumption(now)
	m.detectPause(now)
	m.expireSuspects(now)
	m.reportIsolation(now)
	var actions []Action
	if m.nextRegular.IsZero() {
		m.nextRegular, m.nextDeadProbe = now, now.Add(m.jitter(m.options.DeadProbePeriod))
	}
	if !now.Before(m.nextRegular) {
		period := m.options.Period
		if !m.joined {
			period = m.options.JoinPeriod
		}
		m.nextRegular = now.Add(m.jitter(period))
		if p := m.regularPeer(); p != nil {
			actions = append(actions, m.action(p.Member.VM, now))
		}
	}
	if !now.Before(m.nextDeadProbe) {
		m.nextDeadProbe = now.Add(m.jitter(m.options.DeadProbePeriod))
		m.removeDead(now)
		if p := m.inactivePeer(); p != nil {
			m.queueExchange(p)
		}
	}
	for p := m.nextUrgent(now); p != nil; p = m.nextUrgent(now) {
		actions = append(actions, m.action(p.Member.VM, now))
	}
	return actions
}

// endPresumption ends the time after the start of this VM in which the VMs that the platform lists are presumed to be alive.
func (m *Membership) endPresumption(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	if m.presuming && now.Sub(m.startedAt) >= m.options.PresumeTime {
		m.presuming = false
		m.version++
	}
}

// nextUrgent returns the next peer for an additional exchange, or nil if there is none or the rate limit is reached.
func (m *Membership) nextUrgent(now time.Time) *cpmemberlist.Peer {
	if len(m.urgent) > 0 && m.limiter.AllowN(now, 1) {
		p := m.urgent[0]
		m.urgent = m.urgent[1:]
		return p
	}
	for len(m.urgent) == 0 && len(m.unverified) > 0 && m.limiter.AllowN(now, 1) {
		p := m.unverified[0]
		m.unverified = m.unverified[1:]
		return p
	}
	return nil
}

func (m *Membership) action(vm clementineport.VM, now time.Time) Action {
	return Action{Peer: vm, Timeout: m.health.Timeout(m.options.ProbeTimeout), Began: now}
}

func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.rand.Float64()))
}

// detectPause detects from the time since the last tick that this VM was paused or starved of CPU. It then makes this VM
// more tolerant of failures, extends the deadlines of suspects by the pause, and rejoins after a long one.
func (m *Membership) detectPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	paused := !m.lastTick.IsZero() && gap > m.options.PauseThreshold
	m.lastTick = now
	if !paused || m.options.MaxHealthScore == 0 {
		return
	}
	m.health.RecordPause(now, int(gap/m.options.PauseThreshold))
	if gap > m.options.DirectSuspicionTimeout {
		m.rejoin()
	}
	for _, p := range m.suspects {
		p.SuspicionDeadline = p.SuspicionDeadline.Add(gap)
	}
}

// expireSuspects declares suspects dead at their deadline. It requests a probe of each suspect to which this VM has not
// had a failed call when less than half of IndirectSuspicionTimeout is left.
func (m *Membership) expireSuspects(now time.Time) {
	for i := 0; i < len(m.suspects); {
		p := m.suspects[i]
		left := p.SuspicionDeadline.Sub(now)
		if left > 0 {
			if p.Failures == 0 && left < m.options.IndirectSuspicionTimeout/2 {
				m.RequestProbe(now, p.Member.ID)
			}
			i++
			continue
		}
		m.setState(p, clementineport.MemberDead, now)
	}
}

// reportIsolation sets the state of this VM to suspect while it gets calls from others but can't reach any of them.
func (m *Membership) reportIsolation(now time.Time) {
	isolated := m.health.Isolated(now, m.options.IsolatedAfter) && now.Sub(m.lastInbound) < m.options.IsolatedAfter
	switch {
	case isolated && m.self.State == clementineport.MemberAlive:
		m.self.State = clementineport.MemberSuspect
		m.bumpIncarnation()
	case !isolated && m.self.State == clementineport.MemberSuspect:
		m.self.State = clementineport.MemberAlive
		m.bumpIncarnation()
	}
}

// removeDead removes dead and unconfirmed VMs that the platform doesn't list, after DeadRetention.
func (m *Membership) removeDead(now time.Time) {
	m.peers.DeleteFunc(func(p *cpmemberlist.Peer) bool {
		removable := !p.Confirmed || p.Member.State == clementineport.MemberDead
		if !removable || p.Listed || now.Sub(p.InactiveSince) <= m.options.DeadRetention {
			return false
		}
		m.version++
		return true
	})
}
