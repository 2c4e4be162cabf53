package cpmember

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// regular returns the peer of the next regular exchange. The successor in hash order and a random peer take
// turns: every VM has one predecessor that probes it, and news spread along random pairs.
func (m *Membership) regular() *peer {
	if !m.joined {
		return m.seed()
	}
	m.rounds++
	if m.rounds%2 == 0 {
		return m.successor()
	}
	return m.partner()
}

// partner returns the next of the partners. One of them is replaced in each round by a random VM,
// so that most exchanges use an open connection and every VM is a partner in time.
func (m *Membership) partner() *peer {
	turn := m.rounds / 2 % m.options.Partners
	if turn == 0 && len(m.partners) > 0 {
		m.partners = m.partners[1:]
	}
	m.partners = slices.DeleteFunc(m.partners, func(id clementineport.VMID) bool { return !m.byID[id].answers() })
	if len(m.partners) < m.options.Partners {
		m.addPartners()
	}
	if len(m.partners) == 0 {
		return nil
	}
	return m.byID[m.partners[turn%len(m.partners)]]
}

func (m *Membership) addPartners() {
	for _, p := range m.pick(m.options.Partners) {
		if len(m.partners) < m.options.Partners && !slices.Contains(m.partners, p.member.ID) {
			m.partners = append(m.partners, p.member.ID)
		}
	}
}

// answers reports whether the peer is expected to answer.
func (p *peer) answers() bool {
	return p != nil && p.known && p.member.State != clementineport.MemberDead &&
		p.member.State != clementineport.MemberSuspect
}

func (m *Membership) successor() *peer {
	own := xxhash.Sum64String(string(m.self.ID))
	var best *peer
	for _, p := range m.peers {
		if p.answers() && (best == nil || p.hash-own < best.hash-own) {
			best = p
		}
	}
	return best
}

// seed returns a peer to join through.
func (m *Membership) seed() *peer {
	if len(m.peers) == 0 {
		return nil
	}
	start := m.rand.IntN(len(m.peers))
	for i := range m.peers {
		p := m.peers[(start+i)%len(m.peers)]
		if p.failures == 0 && p.member.State != clementineport.MemberDead {
			return p
		}
	}
	return m.peers[start]
}

// unreached returns a peer that is dead or has never been reached.
func (m *Membership) unreached() *peer {
	if len(m.peers) == 0 {
		return nil
	}
	start := m.rand.IntN(len(m.peers))
	for i := range m.peers {
		p := m.peers[(start+i)%len(m.peers)]
		if !p.known || p.member.State == clementineport.MemberDead {
			return p
		}
	}
	return nil
}

// pick returns up to n random peers that are expected to answer.
func (m *Membership) pick(n int) []*peer {
	var picked []*peer
	if len(m.peers) == 0 {
		return nil
	}
	for _, i := range m.rand.Perm(len(m.peers)) {
		if len(picked) == n {
			break
		}
		if m.peers[i].answers() {
			picked = append(picked, m.peers[i])
		}
	}
	return picked
}

// push asks for an exchange beyond the regular ones.
func (m *Membership) push(p *peer) {
	if len(m.urgent) < 4*m.options.UrgentBurst && !slices.Contains(m.urgent, p) {
		m.urgent = append(m.urgent, p)
	}
}

// check asks for an exchange with a VM that is said to exist, or to have changed.
func (m *Membership) check(p *peer) {
	if !slices.Contains(m.claims, p) {
		m.claims = append(m.claims, p)
	}
}
