package cpmembership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdigest"
	"github.com/clementineport/clementineport/cpmemberlist"
)

// tellFactor scales how often a change is told with the logarithm of the number of VMs.
const tellFactor = 2

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
func (m *Membership) HandleDigest(now time.Time, d *clementineport.Digest) *clementineport.Digest {
	m.heard = now
	m.claim(now, &d.From)
	response := &clementineport.Digest{From: m.self, Revision: m.self.Revision}
	if d.From.Incarnation == 0 {
		var after clementineport.VMID
		if len(d.Members) > 0 {
			after = d.Members[0].ID
		}
		response.Members = m.roster.Page(after, m.options.PageSize)
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
func (m *Membership) HandleResponse(now time.Time, peer clementineport.VMID, began time.Time, d *clementineport.Digest) {
	if d.From.ID != peer {
		m.HandleFailure(now, peer, began, clementineport.FaultMismatched)
	}
	if m.health.Cut(now, m.options.IsolatedAfter) {
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
	if len(page) >= m.options.PageSize {
		m.page = page[len(page)-1].ID
		return
	}
	m.joined = true
	m.self.Incarnation = max(m.floor+1, uint64(now.Unix()))
	m.version++
	m.pushAll()
}

// fill adds members within the bytes of a digest: what the receiver is accused of, changes, and a sample.
func (m *Membership) fill(d *clementineport.Digest, to clementineport.VMID) {
	b := cpdigest.NewBuilder(d, m.options.DigestBytes)
	if p := m.roster.Get(to); p != nil && p.Confirmed && !p.Private && p.Member.State != clementineport.MemberAlive {
		b.Add(p.Compact())
	}
	m.fillChanges(b, to)
	m.fillSample(b, to)
}

func (m *Membership) fillChanges(b *cpdigest.Builder, to clementineport.VMID) {
	slices.SortStableFunc(m.changed, cpmemberlist.CompareGossipPriority)
	kept := m.changed[:0]
	for _, p := range m.changed {
		if p.Member.ID != to && !p.Private {
			if r := p.Compact(); b.Fits(&r) {
				b.Add(r)
				p.TransmitsLeft--
			}
		}
		if p.TransmitsLeft > 0 {
			kept = append(kept, p)
		}
	}
	clear(m.changed[len(kept):])
	m.changed = kept
}

// fillSample adds one peer in turn, so that every difference between views is repaired in time.
func (m *Membership) fillSample(b *cpdigest.Builder, to clementineport.VMID) {
	for range m.roster.All() {
		m.sample = (m.sample + 1) % m.roster.Len()
		p := m.roster.All()[m.sample]
		if !p.Confirmed || p.Member.ID == to || p.Private || p.Member.State == clementineport.MemberDead {
			continue
		}
		if b.Fits(&p.Member) {
			b.Add(p.Member)
		}
		return
	}
}

// tell schedules a change to be told to others.
func (m *Membership) tell(p *cpmemberlist.Peer) {
	m.version++
	if p.TransmitsLeft == 0 {
		m.changed = append(m.changed, p)
	}
	p.TransmitsLeft = tellFactor * bits.Len(uint(m.roster.Len()+1))
}
