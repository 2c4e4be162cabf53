package cpmembership

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpmemberlist"
	"github.com/clementineport/clementineport/cpowner"
)

// precedence orders the states of the same incarnation; a higher one replaces a lower one.
var precedence = [...]int{
	clementineport.MemberAlive:   0,
	clementineport.MemberSuspect: 1,
	clementineport.MemberLeaving: 2,
	clementineport.MemberDead:    3,
}

// SetListed records the platform's list of VMs, which may be out of date.
func (m *Membership) SetListed(now time.Time, vms []clementineport.VM) {
	for _, p := range m.peers.All() {
		p.Listed = false
	}
	for i := range vms {
		if vms[i].ID == m.self.ID {
			continue
		}
		seen := m.peers.Get(vms[i].ID) != nil
		p := m.peers.GetOrAdd(now, &vms[i])
		p.Listed = true
		if p.ListedLeaving != vms[i].Leaving {
			p.ListedLeaving = vms[i].Leaving
			m.version++
		}
		if !seen {
			m.queueVerification(p)
		}
	}
}

// handleCaller handles the member record of a calling VM. A VM only counts as alive if it can be reached, so a call with
// new information leads to a probe.
func (m *Membership) handleCaller(now time.Time, from *clementineport.Member) {
	if from.ID == m.self.ID {
		return
	}
	p := m.peers.GetOrAdd(now, &from.VM)
	if m.options.SkipCallerProbe {
		m.handleAnswer(now, from)
		return
	}
	if !p.Confirmed || p.Member.Start != from.Start {
		p.Member.VM = from.VM
		m.queueVerification(p)
		return
	}
	m.updateDetails(p, from)
	switch {
	case from.State == clementineport.MemberLeaving && from.Incarnation > p.Member.Incarnation:
		p.Member.Incarnation = from.Incarnation
		m.setState(p, clementineport.MemberLeaving, now)
	case from.Incarnation > p.Member.Incarnation || !p.Responsive():
		m.queueVerification(p)
	}
}

// updateDetails updates what can change without a change of state: the revision and the ticket.
func (m *Membership) updateDetails(p *cpmemberlist.Peer, r *clementineport.Member) {
	if r.Revision > p.Member.Revision {
		p.Member.Revision = r.Revision
		m.version++
	}
	if laterTicket(r.Ticket, p.Member.Ticket) {
		p.Member.Ticket = r.Ticket
		m.version++
	}
}

// laterTicket reports whether ticket x was issued after ticket y of the same process.
func laterTicket(x, y string) bool {
	return len(x) > len(y) || len(x) == len(y) && x > y
}

// handleAnswer handles the member record of a VM that answered.
func (m *Membership) handleAnswer(now time.Time, from *clementineport.Member) {
	if from.ID == m.self.ID {
		return
	}
	p := m.peers.GetOrAdd(now, &from.VM)
	p.Failures = 0
	p.LastAnswer = now
	changed := !p.Confirmed || p.Member.Start != from.Start || p.Member.State != from.State ||
		p.Member.Incarnation < from.Incarnation
	incarnation := max(p.Member.Incarnation, from.Incarnation)
	if p.Member.VM != from.VM || p.Member.Ticket != from.Ticket || p.Member.Revision != from.Revision {
		m.version++
	}
	state := p.Member.State
	p.Confirmed = true
	p.Member = *from
	p.Member.Incarnation = incarnation
	p.Member.State = state
	p.Private = false
	m.setState(p, from.State, now)
	if from.State == clementineport.MemberSuspect {
		m.shortenSuspicion(now, p, m.options.DirectSuspicionTimeout)
	}
	if changed {
		m.queueUpdate(p)
	}
}

// handleReport handles a member record that was received from another VM.
func (m *Membership) handleReport(now time.Time, r *clementineport.Member) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	p := m.peers.Get(r.ID)
	if p == nil || !p.Confirmed {
		m.addReported(now, r)
		return
	}
	if r.Start == p.Member.Start {
		m.updateDetails(p, r)
	}
	newer := r.Incarnation > p.Member.Incarnation || p.Private && r.Incarnation == p.Member.Incarnation
	if !newer && (r.Incarnation < p.Member.Incarnation || precedence[r.State] <= precedence[p.Member.State]) {
		return
	}
	if r.Start != p.Member.Start && r.Peer == "" && r.State != clementineport.MemberDead {
		return
	}
	if r.Peer != "" {
		p.Member.VM = r.VM
	}
	if r.Start != p.Member.Start {
		p.Member.Ticket = r.Ticket
	}
	if newer && r.State == clementineport.MemberAlive && p.Failures > 0 {
		p.Failures = 0
		p.CooldownUntil = now.Add(m.options.SuspicionCooldown)
	}
	p.Member.Start, p.Member.Incarnation = r.Start, r.Incarnation
	p.Member.Revision = max(p.Member.Revision, r.Revision)
	p.Private = false
	m.setState(p, r.State, now)
	m.queueUpdate(p)
}

// addReported adds a VM that others have reached.
func (m *Membership) addReported(now time.Time, r *clementineport.Member) {
	if r.Peer == "" || r.State == clementineport.MemberDead {
		return
	}
	p := m.peers.GetOrAdd(now, &r.VM)
	p.Confirmed = true
	m.unverified = slices.DeleteFunc(m.unverified, func(q *cpmemberlist.Peer) bool { return q == p })
	p.Member = *r
	p.Member.State = clementineport.MemberAlive
	m.setState(p, r.State, now)
	m.queueUpdate(p)
}

// refute replaces a wrong record of this VM by raising its incarnation above that of the record.
func (m *Membership) refute(r *clementineport.Member) {
	stale := r.Start != m.self.Start
	suspected := r.State == clementineport.MemberDead || r.State == clementineport.MemberSuspect
	if r.Incarnation < m.self.Incarnation || !stale && !suspected {
		return
	}
	if !m.joined {
		m.minIncarnation = max(m.minIncarnation, r.Incarnation)
		return
	}
	m.self.Incarnation = r.Incarnation + 1
	m.version++
	if suspected && !stale {
		m.health.RecordRefutation()
	}
}

// HandleFailure handles an exchange that was not answered. The peer becomes suspect at the second failure in a row, or at
// the first one if it refused the connection. While this VM may itself be the cause, it doesn't send the state to others.
func (m *Membership) HandleFailure(now time.Time, id clementineport.VMID, began time.Time, fault clementineport.Fault) {
	m.detectPause(now)
	m.health.SetPeerCount(m.peers.Len())
	p := m.peers.Get(id)
	if !m.health.RecordFailure(now, began, id) || p == nil || !p.Confirmed || now.Before(p.CooldownUntil) {
		if p != nil && !p.Confirmed {
			p.Failures++
		}
		return
	}
	p.Failures++
	m.markPrivate()
	if p.Failures == 1 && fault != clementineport.FaultRefused {
		m.queueExchange(p)
		return
	}
	m.suspectPeer(now, p)
	if fault == clementineport.FaultRefused {
		m.shortenSuspicion(now, p, m.options.RefusedSuspicionTimeout)
	}
}

// markPrivate marks as private the peers whose failures this VM itself may have caused.
func (m *Membership) markPrivate() {
	if !m.health.LikelyIsolated() {
		return
	}
	for _, id := range m.health.FailedPeers() {
		if p := m.peers.Get(id); p != nil {
			p.Private = true
		}
	}
}

func (m *Membership) suspectPeer(now time.Time, p *cpmemberlist.Peer) {
	switch p.Member.State {
	case clementineport.MemberAlive:
		m.setState(p, clementineport.MemberSuspect, now)
		m.notifyProbers(p)
	case clementineport.MemberLeaving:
		if p.SuspicionDeadline.IsZero() {
			p.SuspicionDeadline = now.Add(m.health.ScaleWait(m.options.IndirectSuspicionTimeout))
			m.suspects = append(m.suspects, p)
		}
	}
	m.shortenSuspicion(now, p, m.options.DirectSuspicionTimeout)
}

// shortenSuspicion moves up the deadline of a suspect for which this VM has direct evidence.
func (m *Membership) shortenSuspicion(now time.Time, p *cpmemberlist.Peer, d time.Duration) {
	deadline := now.Add(m.health.ScaleWait(d))
	if !p.SuspicionDeadline.IsZero() && deadline.Before(p.SuspicionDeadline) {
		p.SuspicionDeadline = deadline
	}
}

// probers returns the VMs that are to probe a suspect. VMs with the same view choose the same ones.
func (m *Membership) probers(p *cpmemberlist.Peer) []clementineport.Member {
	members := m.Members()
	var found []clementineport.Member
	for _, i := range cpowner.Rank(string(p.Member.ID), members, m.options.SuspectProbers, func(r *clementineport.Member) bool {
		return r.State == clementineport.MemberAlive
	}) {
		found = append(found, members[i])
	}
	return found
}

// notifyProbers queues exchanges with the probers of a suspect, which inform them of the suspicion.
func (m *Membership) notifyProbers(p *cpmemberlist.Peer) {
	for _, w := range m.probers(p) {
		if q := m.peers.Get(w.ID); q != nil {
			m.queueExchange(q)
		}
	}
}

// setState changes the state of a peer and maintains the list of suspects.
func (m *Membership) setState(p *cpmemberlist.Peer, s clementineport.MemberState, now time.Time) {
	if s == clementineport.MemberAlive || s == clementineport.MemberDead {
		m.suspects = slices.DeleteFunc(m.suspects, func(q *cpmemberlist.Peer) bool { return q == p })
		p.SuspicionDeadline = time.Time{}
	}
	if p.Member.State == s {
		return
	}
	refuted := s == clementineport.MemberAlive && p.Member.State == clementineport.MemberSuspect
	p.Member.State = s
	m.queueUpdate(p)
	if refuted || s != clementineport.MemberAlive {
		m.queueFanOut()
	}
	switch s {
	case clementineport.MemberSuspect:
		p.SuspicionDeadline = now.Add(m.health.ScaleWait(m.options.IndirectSuspicionTimeout))
		m.suspects = append(m.suspects, p)
		m.probeIfChosen(p)
	case clementineport.MemberDead:
		p.InactiveSince = now
	}
}

// probeIfChosen probes a suspect if this VM is one of its probers.
func (m *Membership) probeIfChosen(p *cpmemberlist.Peer) {
	if slices.ContainsFunc(m.probers(p), func(w clementineport.Member) bool { return w.ID == m.self.ID }) {
		m.queueExchange(p)
	}
}

// stateFanOut is the number of peers that are informed at once when a VM becomes suspect, dead or leaving, or refutes a
// suspicion.
const stateFanOut = 2

func (m *Membership) queueFanOut() {
	for _, p := range m.peers.Pick(m.rand, stateFanOut) {
		m.queueExchange(p)
	}
}
