package cpmembership

import (
	"cmp"
	"slices"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpmemberlist"
)

// regularPeer returns the peer for the next regular exchange. It alternates between the successor on the hash ring, so
// that each VM is probed by its predecessor, and a random partner, so that updates spread along random pairs.
func (m *Membership) regularPeer() *cpmemberlist.Peer {
	if !m.joined {
		return m.joinPeer()
	}
	m.rounds++
	if m.rounds%2 == 0 {
		return m.peers.Successor(m.self.ID)
	}
	return m.nextPartner()
}

// nextPartner returns the next partner in turn. In each pass over the partners, one of them is replaced by a random VM:
// most exchanges use an open connection, and every VM eventually becomes a partner.
func (m *Membership) nextPartner() *cpmemberlist.Peer {
	turn := m.rounds / 2 % m.options.Partners
	if turn == 0 && len(m.partners) > 0 {
		m.partners = m.partners[1:]
	}
	m.partners = slices.DeleteFunc(m.partners, func(id clementineport.VMID) bool { return !m.peers.Get(id).Responsive() })
	if len(m.partners) < m.options.Partners {
		m.addPartners()
	}
	if len(m.partners) == 0 {
		return nil
	}
	return m.peers.Get(m.partners[turn%len(m.partners)])
}

func (m *Membership) addPartners() {
	for _, p := range m.peers.Pick(m.rand, m.options.Partners) {
		if len(m.partners) < m.options.Partners && !slices.Contains(m.partners, p.Member.ID) {
			m.partners = append(m.partners, p.Member.ID)
		}
	}
}

// joinPeer returns a peer to join through: preferably one that is not dead and has not failed.
func (m *Membership) joinPeer() *cpmemberlist.Peer {
	var fallback *cpmemberlist.Peer
	p := m.peers.FindRandom(m.rand, func(p *cpmemberlist.Peer) bool {
		if fallback == nil {
			fallback = p
		}
		return p.Failures == 0 && p.Member.State != clementineport.MemberDead
	})
	return cmp.Or(p, fallback)
}

// inactivePeer returns a peer that is dead or unconfirmed.
func (m *Membership) inactivePeer() *cpmemberlist.Peer {
	return m.peers.FindRandom(m.rand, func(p *cpmemberlist.Peer) bool {
		return !p.Confirmed || p.Member.State == clementineport.MemberDead
	})
}

// queueExchange queues an urgent exchange with a peer.
func (m *Membership) queueExchange(p *cpmemberlist.Peer) {
	if len(m.urgent) < 4*m.options.UrgentBurst && !slices.Contains(m.urgent, p) {
		m.urgent = append(m.urgent, p)
	}
}

// queueVerification queues an exchange with a VM that is reported to exist or to have changed.
func (m *Membership) queueVerification(p *cpmemberlist.Peer) {
	if !slices.Contains(m.unverified, p) {
		m.unverified = append(m.unverified, p)
	}
}
