package cpmembership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdigest"
	"github.com/clementineport/clementineport/cpmemberlist"
)

// retransmitFactor, times the logarithm of the number of VMs, is the number of times that an update is sent.
const retransmitFactor = 2

// Digest returns the digest to send to a peer in an exchange.
func (m *Membership) Digest(to clementineport.VMID) *clementineport.Digest {
	d := &clementineport.Digest{From: m.self, Revision: m.self.Revision}
	if !m.joined {
		if m.pageAfter != "" {
			d.Members = []clementineport.Member{{VM: clementineport.VM{ID: m.pageAfter}}}
		}
		return d
	}
	m.fillDigest(d, to)
	return d
}

// HandleDigest handles the digest of a calling VM and returns the response. A caller with incarnation zero is joining; it
// gets a page of the member list.
func (m *Membership) HandleDigest(now time.Time, d *clementineport.Digest) *clementineport.Digest {
	m.lastInbound = now
	m.handleCaller(now, &d.From)
	response := &clementineport.Digest{From: m.self, Revision: m.self.Revision}
	if d.From.Incarnation == 0 {
		var after clementineport.VMID
		if len(d.Members) > 0 {
			after = d.Members[0].ID
		}
		response.Members = m.peers.Page(after, m.options.PageSize)
		return response
	}
	for i := range d.Members {
		m.handleReport(now, &d.Members[i])
	}
	response.From = m.self
	m.fillDigest(response, d.From.ID)
	return response
}

// HandleResponse handles the response to an exchange that this VM started.
func (m *Membership) HandleResponse(now time.Time, peer clementineport.VMID, began time.Time, d *clementineport.Digest) {
	if d.From.ID != peer {
		m.HandleFailure(now, peer, began, clementineport.FaultMismatched)
	}
	if m.health.Isolated(now, m.options.IsolatedAfter) {
		m.rejoin()
	}
	m.health.RecordSuccess(now, began)
	m.handleAnswer(now, &d.From)
	for i := range d.Members {
		m.handleReport(now, &d.Members[i])
	}
	if !m.joined {
		m.handlePage(now, d.Members)
	}
}

// rejoin makes this VM fetch the full member list again, since it has missed updates.
func (m *Membership) rejoin() {
	m.minIncarnation = max(m.minIncarnation, m.self.Incarnation)
	m.self.Incarnation = 0
	m.joined = false
	m.pageAfter = ""
}

// handlePage handles a page of the member list while this VM joins. A page that is not full is the last one.
func (m *Membership) handlePage(now time.Time, page []clementineport.Member) {
	if len(page) >= m.options.PageSize {
		m.pageAfter = page[len(page)-1].ID
		return
	}
	m.joined = true
	m.self.Incarnation = max(m.minIncarnation+1, uint64(now.Unix()))
	m.version++
	m.queueBurst()
}

// fillDigest adds members to a digest within its size limit: the receiver itself if it isn't alive, so that it can refute
// that, then updates and a sample.
func (m *Membership) fillDigest(d *clementineport.Digest, to clementineport.VMID) {
	b := cpdigest.NewBuilder(d, m.options.DigestBytes)
	if p := m.peers.Get(to); p != nil && p.Confirmed && !p.Private && p.Member.State != clementineport.MemberAlive {
		b.Add(p.Compact())
	}
	m.fillUpdates(b, to)
	m.fillSample(b, to)
}

func (m *Membership) fillUpdates(b *cpdigest.Builder, to clementineport.VMID) {
	slices.SortStableFunc(m.updates, cpmemberlist.CompareGossipPriority)
	kept := m.updates[:0]
	for _, p := range m.updates {
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
	clear(m.updates[len(kept):])
	m.updates = kept
}

// fillSample adds one peer, another one each time, so that differences between views are eventually repaired.
func (m *Membership) fillSample(b *cpdigest.Builder, to clementineport.VMID) {
	for range m.peers.All() {
		m.sampleIndex = (m.sampleIndex + 1) % m.peers.Len()
		p := m.peers.All()[m.sampleIndex]
		if !p.Confirmed || p.Member.ID == to || p.Private || p.Member.State == clementineport.MemberDead {
			continue
		}
		if b.Fits(&p.Member) {
			b.Add(p.Member)
		}
		return
	}
}

// queueUpdate queues the state of a peer to be sent to other VMs.
func (m *Membership) queueUpdate(p *cpmemberlist.Peer) {
	m.version++
	if p.TransmitsLeft == 0 {
		m.updates = append(m.updates, p)
	}
	p.TransmitsLeft = retransmitFactor * bits.Len(uint(m.peers.Len()+1))
}
