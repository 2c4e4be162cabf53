// Package cpmemberlist keeps what one VM knows of the others, in order of their ids, and finds the one to turn to.
//
// It is pure: chance is passed in as a seeded source. It holds states and changes none; package cpmembership decides
// who is alive.
package cpmemberlist

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// Peer is what is known of another VM.
type Peer struct {
	Member clementineport.Member
	Hash   uint64
	// Known is false while the VM is only listed or claims to exist, and nobody has reached it.
	Confirmed         bool
	Listed            bool
	ListedLeaving     bool
	Failures          int
	ProbeRequested    time.Time
	LastAnswer        time.Time
	SuspicionDeadline time.Time
	CooldownUntil     time.Time
	InactiveSince     time.Time
	TransmitsLeft     int
	// Private is true when the state rests on failures that this VM itself may have caused;
	// it is not told to others.
	Private bool
}

// View returns the member as it is published: the platform's word that it leaves counts too.
func (p *Peer) Published() clementineport.Member {
	r := p.Member
	if p.ListedLeaving && r.State <= clementineport.MemberSuspect {
		r.State = clementineport.MemberLeaving
	}
	return r
}

// Brief returns the member without addresses when the receiver has no use for them.
func (p *Peer) Compact() clementineport.Member {
	r := p.Member
	if r.State != clementineport.MemberAlive {
		r.VM = clementineport.VM{ID: r.ID}
		r.Ticket = ""
	}
	return r
}

// Answers reports whether the peer is expected to answer.
func (p *Peer) Responsive() bool {
	return p != nil && p.Confirmed && p.Member.State != clementineport.MemberDead &&
		p.Member.State != clementineport.MemberSuspect
}

// Roster holds the peers of one VM. It is not safe for concurrent use.
type List struct {
	peers []*Peer // sorted by id
	byID  map[clementineport.VMID]*Peer
}

// New returns a roster without peers.
func New() *List { return &List{byID: map[clementineport.VMID]*Peer{}} }

// All returns the peers, sorted by id; the slice is valid until the next change.
func (r *List) All() []*Peer { return r.peers }

// Len returns the number of peers.
func (r *List) Len() int { return len(r.peers) }

// Get returns the peer with an id, or nil.
func (r *List) Get(id clementineport.VMID) *Peer { return r.byID[id] }

func comparePeer(p *Peer, id clementineport.VMID) int {
	return strings.Compare(string(p.Member.ID), string(id))
}

// Ensure returns the peer with the id, which it adds if need be.
func (r *List) GetOrAdd(now time.Time, vm *clementineport.VM) *Peer {
	if p := r.byID[vm.ID]; p != nil {
		return p
	}
	p := &Peer{
		Member:        clementineport.Member{VM: *vm},
		Hash:          xxhash.Sum64String(string(vm.ID)),
		InactiveSince: now,
	}
	at, _ := slices.BinarySearchFunc(r.peers, vm.ID, comparePeer)
	r.peers = slices.Insert(r.peers, at, p)
	r.byID[vm.ID] = p
	return p
}

// Forget drops the peers that gone reports.
func (r *List) DeleteFunc(del func(*Peer) bool) {
	kept := r.peers[:0]
	for _, p := range r.peers {
		if del(p) {
			delete(r.byID, p.Member.ID)
			continue
		}
		kept = append(kept, p)
	}
	clear(r.peers[len(kept):])
	r.peers = kept
}

// Members returns a VM itself and all others that are known, sorted by id.
func (r *List) Members(self clementineport.Member) []clementineport.Member {
	members := make([]clementineport.Member, 0, len(r.peers)+1)
	for _, p := range r.peers {
		if p.Confirmed {
			members = append(members, p.Published())
		}
	}
	at, _ := slices.BinarySearchFunc(members, self.ID, func(x clementineport.Member, id clementineport.VMID) int {
		return strings.Compare(string(x.ID), string(id))
	})
	return slices.Insert(members, at, self)
}

// Page returns up to n of the known members after an id, in order of id.
func (r *List) Page(after clementineport.VMID, n int) []clementineport.Member {
	at, found := slices.BinarySearchFunc(r.peers, after, comparePeer)
	if found {
		at++
	}
	var page []clementineport.Member
	for _, p := range r.peers[at:] {
		if len(page) == n {
			break
		}
		if p.Confirmed && !p.Private && p.Member.State != clementineport.MemberDead {
			page = append(page, p.Member)
		}
	}
	return page
}

// Successor returns the peer that follows a VM in the order of hashes and is expected to answer, or nil.
func (r *List) Successor(id clementineport.VMID) *Peer {
	own := xxhash.Sum64String(string(id))
	var best *Peer
	for _, p := range r.peers {
		if p.Responsive() && (best == nil || p.Hash-own < best.Hash-own) {
			best = p
		}
	}
	return best
}

// First returns the first peer from a random one on that ok reports, or nil.
func (r *List) FindRandom(rng *rand.Rand, ok func(*Peer) bool) *Peer {
	if len(r.peers) == 0 {
		return nil
	}
	start := rng.IntN(len(r.peers))
	for i := range r.peers {
		if p := r.peers[(start+i)%len(r.peers)]; ok(p) {
			return p
		}
	}
	return nil
}

// Pick returns up to n random peers that are expected to answer.
func (r *List) Pick(rng *rand.Rand, n int) []*Peer {
	var picked []*Peer
	if len(r.peers) == 0 {
		return nil
	}
	for _, i := range rng.Perm(len(r.peers)) {
		if len(picked) == n {
			break
		}
		if r.peers[i].Responsive() {
			picked = append(picked, r.peers[i])
		}
	}
	return picked
}

// CompareNews puts bad news first, and of equal news what has been told least.
func CompareGossipPriority(x, y *Peer) int {
	xAlive, yAlive := x.Member.State == clementineport.MemberAlive, y.Member.State == clementineport.MemberAlive
	if xAlive != yAlive {
		if yAlive {
			return -1
		}
		return 1
	}
	return y.TransmitsLeft - x.TransmitsLeft
}
