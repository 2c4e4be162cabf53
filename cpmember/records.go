package cpmember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
)

// rank orders states of the same incarnation; a higher one replaces a lower one.
var rank = [...]int{
	clementineport.MemberAlive:   0,
	clementineport.MemberSuspect: 1,
	clementineport.MemberLeaving: 2,
	clementineport.MemberDead:    3,
}

// ensure returns the peer with the id, which it adds if need be.
func (m *Membership) ensure(now time.Time, vm *clementineport.VM) *peer {
	if p := m.byID[vm.ID]; p != nil {
		return p
	}
	p := &peer{
		member: clementineport.Member{VM: *vm},
		hash:   xxhash.Sum64String(string(vm.ID)),
		died:   now,
	}
	at, _ := slices.BinarySearchFunc(m.peers, vm.ID, comparePeer)
	m.peers = slices.Insert(m.peers, at, p)
	m.byID[vm.ID] = p
	return p
}

// Listed takes the platform's list of VMs, which lags.
func (m *Membership) Listed(now time.Time, vms []clementineport.VM) {
	for _, p := range m.peers {
		p.listed = false
	}
	for i := range vms {
		if vms[i].ID == m.self.ID {
			continue
		}
		_, seen := m.byID[vms[i].ID]
		p := m.ensure(now, &vms[i])
		p.listed = true
		if p.listedLeaving != vms[i].Leaving {
			p.listedLeaving = vms[i].Leaving
			m.version++
		}
		if !seen {
			m.check(p)
		}
	}
}

// claim takes what a calling VM says about itself. Only a VM that can be reached is believed alive,
// so a call that says something new leads to a probe.
func (m *Membership) claim(now time.Time, from *clementineport.Member) {
	if from.ID == m.self.ID {
		return
	}
	p := m.ensure(now, &from.VM)
	if m.options.TrustCallers {
		m.reached(now, from)
		return
	}
	if !p.known || p.member.Start != from.Start {
		p.member.VM = from.VM
		m.check(p)
		return
	}
	m.refresh(p, from)
	switch {
	case from.State == clementineport.MemberLeaving && from.Incarnation > p.member.Incarnation:
		p.member.Incarnation = from.Incarnation
		m.setState(p, clementineport.MemberLeaving, now)
	case from.Incarnation > p.member.Incarnation || !p.answers():
		m.check(p)
	}
}

// refresh takes over what changes without a change of state.
func (m *Membership) refresh(p *peer, r *clementineport.Member) {
	if r.Revision > p.member.Revision {
		p.member.Revision = r.Revision
		m.version++
	}
	if laterTicket(r.Ticket, p.member.Ticket) {
		p.member.Ticket = r.Ticket
		m.version++
	}
}

// laterTicket reports whether a ticket was given out after another one of the same process.
func laterTicket(x, y string) bool {
	return len(x) > len(y) || len(x) == len(y) && x > y
}

// reached takes what a VM that answered says about itself.
func (m *Membership) reached(now time.Time, from *clementineport.Member) {
	if from.ID == m.self.ID {
		return
	}
	p := m.ensure(now, &from.VM)
	p.failures = 0
	p.answered = now
	news := !p.known || p.member.Start != from.Start || p.member.State != from.State ||
		p.member.Incarnation < from.Incarnation
	incarnation := max(p.member.Incarnation, from.Incarnation)
	if p.member.VM != from.VM || p.member.Ticket != from.Ticket || p.member.Revision != from.Revision {
		m.version++
	}
	state := p.member.State
	p.known = true
	p.member = *from
	p.member.Incarnation = incarnation
	p.member.State = state
	p.private = false
	m.setState(p, from.State, now)
	if from.State == clementineport.MemberSuspect {
		m.hasten(now, p, m.options.SuspicionOwn)
	}
	if news {
		m.tell(p)
	}
}

// told takes what a third VM says about a VM.
func (m *Membership) told(now time.Time, r *clementineport.Member) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	p := m.byID[r.ID]
	if p == nil || !p.known {
		m.learn(now, r)
		return
	}
	if r.Start == p.member.Start {
		m.refresh(p, r)
	}
	newer := r.Incarnation > p.member.Incarnation || p.private && r.Incarnation == p.member.Incarnation
	if !newer && (r.Incarnation < p.member.Incarnation || rank[r.State] <= rank[p.member.State]) {
		return
	}
	if r.Start != p.member.Start && r.Peer == "" && r.State != clementineport.MemberDead {
		return
	}
	if r.Peer != "" {
		p.member.VM = r.VM
	}
	if r.Start != p.member.Start {
		p.member.Ticket = r.Ticket
	}
	if newer && r.State == clementineport.MemberAlive && p.failures > 0 {
		p.failures = 0
		p.muted = now.Add(m.options.Mute)
	}
	p.member.Start, p.member.Incarnation = r.Start, r.Incarnation
	p.member.Revision = max(p.member.Revision, r.Revision)
	p.private = false
	m.setState(p, r.State, now)
	m.tell(p)
}

// learn takes over a VM that others have reached.
func (m *Membership) learn(now time.Time, r *clementineport.Member) {
	if r.Peer == "" || r.State == clementineport.MemberDead {
		return
	}
	p := m.ensure(now, &r.VM)
	p.known = true
	m.claims = slices.DeleteFunc(m.claims, func(q *peer) bool { return q == p })
	p.member = *r
	p.member.State = clementineport.MemberAlive
	m.setState(p, r.State, now)
	m.tell(p)
}

// refute answers a false belief about this VM with a higher incarnation.
func (m *Membership) refute(r *clementineport.Member) {
	stale := r.Start != m.self.Start
	accused := r.State == clementineport.MemberDead || r.State == clementineport.MemberSuspect
	if r.Incarnation < m.self.Incarnation || !stale && !accused {
		return
	}
	if !m.joined {
		m.floor = max(m.floor, r.Incarnation)
		return
	}
	m.self.Incarnation = r.Incarnation + 1
	m.version++
	if accused && !stale {
		m.health.Refuted()
	}
}

// Failed takes an exchange that was not answered. The second failure in a row makes the peer suspect.
// While this VM may itself be the cause, it keeps what it believes to itself.
func (m *Membership) Failed(now time.Time, id clementineport.VMID, began time.Time, fault clementineport.Fault) {
	m.noticePause(now)
	m.health.SetOthers(len(m.peers))
	p := m.byID[id]
	if !m.health.Failure(now, began, id) || p == nil || !p.known || now.Before(p.muted) {
		if p != nil && !p.known {
			p.failures++
		}
		return
	}
	p.failures++
	m.keepPrivate()
	if p.failures == 1 && fault != clementineport.FaultRefused {
		m.push(p)
		return
	}
	m.accuse(now, p)
	if fault == clementineport.FaultRefused {
		m.hasten(now, p, m.options.SuspicionRefused)
	}
}

// keepPrivate marks the peers whose failures this VM itself may have caused.
func (m *Membership) keepPrivate() {
	if !m.health.Alone() {
		return
	}
	for _, id := range m.health.Failed() {
		if p := m.byID[id]; p != nil {
			p.private = true
		}
	}
}

func (m *Membership) accuse(now time.Time, p *peer) {
	switch p.member.State {
	case clementineport.MemberAlive:
		m.setState(p, clementineport.MemberSuspect, now)
		m.callWitnesses(p)
	case clementineport.MemberLeaving:
		if p.deadline.IsZero() {
			p.deadline = now.Add(m.health.Patience(m.options.SuspicionHeard))
			m.suspect = append(m.suspect, p)
		}
	}
	m.hasten(now, p, m.options.SuspicionOwn)
}

// hasten shortens the time of a suspect for which this VM has evidence of its own.
func (m *Membership) hasten(now time.Time, p *peer, d time.Duration) {
	deadline := now.Add(m.health.Patience(d))
	if !p.deadline.IsZero() && deadline.Before(p.deadline) {
		p.deadline = deadline
	}
}

// witnesses returns the VMs that probe a suspect; every VM with the same view finds the same ones.
func (m *Membership) witnesses(p *peer) []clementineport.Member {
	members := m.Members()
	var found []clementineport.Member
	for _, i := range cpowner.Rank(string(p.member.ID), members, m.options.Witnesses, func(r *clementineport.Member) bool {
		return r.State == clementineport.MemberAlive
	}) {
		found = append(found, members[i])
	}
	return found
}

// callWitnesses tells the witnesses of an accusation.
func (m *Membership) callWitnesses(p *peer) {
	for _, w := range m.witnesses(p) {
		if q := m.byID[w.ID]; q != nil {
			m.push(q)
		}
	}
}

// setState changes the state of a peer and keeps the list of suspects.
func (m *Membership) setState(p *peer, s clementineport.MemberState, now time.Time) {
	if s == clementineport.MemberAlive || s == clementineport.MemberDead {
		m.suspect = slices.DeleteFunc(m.suspect, func(q *peer) bool { return q == p })
		p.deadline = time.Time{}
	}
	if p.member.State == s {
		return
	}
	refuted := s == clementineport.MemberAlive && p.member.State == clementineport.MemberSuspect
	p.member.State = s
	m.tell(p)
	if refuted || s != clementineport.MemberAlive {
		m.spreadNews()
	}
	switch s {
	case clementineport.MemberSuspect:
		p.deadline = now.Add(m.health.Patience(m.options.SuspicionHeard))
		m.suspect = append(m.suspect, p)
		m.witness(p)
	case clementineport.MemberDead:
		p.died = now
	}
}

// witness probes a suspect if this VM is one of its witnesses.
func (m *Membership) witness(p *peer) {
	if slices.ContainsFunc(m.witnesses(p), func(w clementineport.Member) bool { return w.ID == m.self.ID }) {
		m.push(p)
	}
}

// newsFanOut is the number of peers that are told at once that a VM is dead or leaving.
const newsFanOut = 2

func (m *Membership) spreadNews() {
	for _, p := range m.pick(newsFanOut) {
		m.push(p)
	}
}
