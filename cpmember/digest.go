package cpmember

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
)

const (
	// memberBytes is the size of an encoded member without its strings.
	memberBytes = 24
	// tellFactor scales how often a change is told with the logarithm of the number of VMs.
	tellFactor = 2
)

// Digest returns what to send to a peer in an exchange.
func (m *Membership) Digest(to clementineport.VMID) *clementineport.Digest {
	d := &clementineport.Digest{From: m.self, Revision: m.self.Revision}
	if !m.joined {
		if m.page != "" {
			d.Members = []clementineport.Member{{VM: clementineport.VM{ID: m.page}}}
		}
		return d
	}
	m.fill(d, to)
	return d
}

// Heard takes the digest of a VM that called, and returns the response.
func (m *Membership) Heard(now time.Time, d *clementineport.Digest) *clementineport.Digest {
	m.heard = now
	m.claim(now, &d.From)
	response := &clementineport.Digest{From: m.self, Revision: m.self.Revision}
	if d.From.Incarnation == 0 {
		var after clementineport.VMID
		if len(d.Members) > 0 {
			after = d.Members[0].ID
		}
		response.Members = m.members(after)
		return response
	}
	for i := range d.Members {
		m.told(now, &d.Members[i])
	}
	response.From = m.self
	m.fill(response, d.From.ID)
	return response
}

// Reached takes the response to an exchange that this VM began.
func (m *Membership) Reached(now time.Time, peer clementineport.VMID, began time.Time, d *clementineport.Digest) {
	if d.From.ID != peer {
		m.Failed(now, peer, began, clementineport.FaultMismatched)
	}
	if m.health.Cut(now, m.options.CutAfter) {
		m.rejoin()
	}
	m.health.Success(now, began)
	m.reached(now, &d.From)
	for i := range d.Members {
		m.told(now, &d.Members[i])
	}
	if !m.joined {
		m.turnPage(now, d.Members)
	}
}

// rejoin asks for all members again, since this VM has missed what changed.
func (m *Membership) rejoin() {
	m.floor = max(m.floor, m.self.Incarnation)
	m.self.Incarnation = 0
	m.joined = false
	m.page = ""
}

// turnPage continues joining; a short page is the last one.
func (m *Membership) turnPage(now time.Time, page []clementineport.Member) {
	if len(page) >= m.options.PageMembers {
		m.page = page[len(page)-1].ID
		return
	}
	m.joined = true
	m.self.Incarnation = max(m.floor+1, uint64(now.Unix()))
	m.version++
	m.pushAll()
}

// members returns one page of the known members in order of id.
func (m *Membership) members(after clementineport.VMID) []clementineport.Member {
	at, found := slices.BinarySearchFunc(m.peers, after, comparePeer)
	if found {
		at++
	}
	var page []clementineport.Member
	for _, p := range m.peers[at:] {
		if len(page) == m.options.PageMembers {
			break
		}
		if p.known && !p.private && p.member.State != clementineport.MemberDead {
			page = append(page, p.member)
		}
	}
	return page
}

func comparePeer(p *peer, id clementineport.VMID) int {
	return strings.Compare(string(p.member.ID), string(id))
}

// fill adds members within the bytes of a digest: what the receiver is accused of, changes, and a sample.
func (m *Membership) fill(d *clementineport.Digest, to clementineport.VMID) {
	left := m.options.DigestBytes - size(&d.From)
	if p := m.byID[to]; p != nil && p.known && !p.private && p.member.State != clementineport.MemberAlive {
		left = add(d, p.brief(), left)
	}
	left = m.fillChanges(d, to, left)
	m.fillSample(d, to, left)
}

func (m *Membership) fillChanges(d *clementineport.Digest, to clementineport.VMID, left int) int {
	slices.SortStableFunc(m.changed, compareNews)
	kept := m.changed[:0]
	for _, p := range m.changed {
		if p.member.ID != to && !p.private {
			if r := p.brief(); len(d.Members) == 0 || size(&r) <= left {
				left = add(d, r, left)
				p.tellings--
			}
		}
		if p.tellings > 0 {
			kept = append(kept, p)
		}
	}
	clear(m.changed[len(kept):])
	m.changed = kept
	return left
}

// compareNews puts bad news first, and of equal news what has been told least.
func compareNews(x, y *peer) int {
	xAlive, yAlive := x.member.State == clementineport.MemberAlive, y.member.State == clementineport.MemberAlive
	if xAlive != yAlive {
		if yAlive {
			return -1
		}
		return 1
	}
	return y.tellings - x.tellings
}

// fillSample adds one peer in turn, so that every difference between views is repaired in time.
func (m *Membership) fillSample(d *clementineport.Digest, to clementineport.VMID, left int) {
	for range m.peers {
		m.sample = (m.sample + 1) % len(m.peers)
		p := m.peers[m.sample]
		if !p.known || p.member.ID == to || p.private || p.member.State == clementineport.MemberDead {
			continue
		}
		if len(d.Members) == 0 || size(&p.member) <= left {
			add(d, p.member, left)
		}
		return
	}
}

func add(d *clementineport.Digest, r clementineport.Member, left int) int {
	d.Members = append(d.Members, r)
	return left - size(&r)
}

// brief returns the member without addresses when the receiver has no use for them.
func (p *peer) brief() clementineport.Member {
	r := p.member
	if r.State != clementineport.MemberAlive {
		r.VM = clementineport.VM{ID: r.ID}
		r.Ticket = ""
	}
	return r
}

// Size returns about how many bytes a digest takes in a message.
func Size(d *clementineport.Digest) int {
	n := size(&d.From)
	for i := range d.Members {
		n += size(&d.Members[i])
	}
	return n
}

// size returns about how many bytes the member takes in a message.
func size(r *clementineport.Member) int {
	return memberBytes + len(r.ID) + len(r.Domain) + len(r.Caller) + len(r.Peer) + len(r.Operator) +
		len(r.Start) + len(r.Ticket)
}

// tell schedules a change to be told to others.
func (m *Membership) tell(p *peer) {
	m.version++
	if p.tellings == 0 {
		m.changed = append(m.changed, p)
	}
	p.tellings = tellFactor * bits.Len(uint(len(m.peers)+1))
}
