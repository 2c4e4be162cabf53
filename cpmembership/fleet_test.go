package cpmembership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
)

const (
	timeStep   = 100 * time.Microsecond
	tickPeriod = 100 * time.Millisecond
	listPeriod = 5 * time.Second
	joinPeriod = 250 * time.Millisecond
	// settleTimePerVM is, for each VM, the time that a new fleet gets to settle.
	settleTimePerVM = 100 * time.Millisecond
	// overheadBytes is the overhead of HTTP/2, TCP and IP for the two messages of an exchange.
	overheadBytes = 320
	// connectBytes is the overhead of a new connection.
	connectBytes = 650
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
)

// fleet simulates memberships in virtual time, with a random latency between them that depends on a seed only.
type fleet struct {
	now           time.Time
	rand          *rand.Rand
	due           map[time.Time][]func()
	nodes         []*node
	byID          map[clementineport.VMID]*node
	opts          []cpmembership.Option
	bytes         int
	total         int // exchanges
	longestDigest int
	used          map[[2]clementineport.VMID]time.Time
	slowShare     float64 // share of messages that are delayed by up to maxDelay
	maxDelay      time.Duration
	stallShare    float64 // share of ticks that are late by up to maxStall
	maxStall      time.Duration
}

type node struct {
	*cpmembership.Membership
	vm                clementineport.VM
	killed, paused    bool
	blockIn, blockOut bool
	blockTo           clementineport.VMID
	backlog           []func()
	firstSeen         map[clementineport.MemberState]map[clementineport.VMID]time.Time
	version           uint64
}

// after runs fn when d has passed, in steps of timeStep.
func (f *fleet) after(d time.Duration, fn func()) {
	at := f.now.Add(max(d.Round(timeStep), timeStep))
	f.due[at] = append(f.due[at], fn)
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(timeStep)
		for _, fn := range f.due[f.now] {
			fn()
		}
		delete(f.due, f.now)
	}
}

// newFleet returns a fleet whose VMs have joined one after another.
func newFleet(n int, seed uint64, opts ...cpmembership.Option) *fleet {
	f := &fleet{
		now:  time.Unix(1_700_000_000, 0),
		rand: rand.New(rand.NewPCG(seed, 1)),
		byID: map[clementineport.VMID]*node{},
		due:  map[time.Time][]func(){},
		used: map[[2]clementineport.VMID]time.Time{},
		opts: append([]cpmembership.Option{cpmembership.WithSeed(seed)}, opts...),
	}
	for i := range n {
		f.join(i, firstStart)
		f.run(joinPeriod)
	}
	f.run(30*time.Second + time.Duration(n)*settleTimePerVM)
	return f
}

func (f *fleet) join(i int, start clementineport.StartID) *node {
	vm := clementineport.VM{
		ID:     clementineport.VMID(fmt.Sprintf("entry-%03d", i)),
		Domain: clementineport.FailureDomain(fmt.Sprintf("zone-%d", i%4)),
		Caller: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), Peer: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250),
		Operator: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250),
	}
	self := clementineport.Member{VM: vm, Start: start, Ticket: string(start) + ".17"}
	n := &node{Membership: cpmembership.New(self, f.opts...), vm: vm}
	n.firstSeen = map[clementineport.MemberState]map[clementineport.VMID]time.Time{
		clementineport.MemberSuspect: {}, clementineport.MemberDead: {},
	}
	f.list(n)
	if old := f.byID[vm.ID]; old == nil {
		f.nodes = append(f.nodes, n)
	} else {
		f.nodes[i] = n
	}
	f.byID[vm.ID] = n
	f.tick(n)
	return n
}

// list passes the platform's list of VMs to the node every listPeriod.
func (f *fleet) list(n *node) {
	var vms []clementineport.VM
	for _, other := range f.nodes {
		if !other.killed {
			vms = append(vms, other.vm)
		}
	}
	n.do(func() { n.SetListed(f.now, vms) })
	if !n.killed {
		f.after(listPeriod, func() { f.list(n) })
	}
}

// do runs a function at a node, or queues it while the node is paused.
func (n *node) do(fn func()) {
	switch {
	case n.killed:
	case n.paused:
		n.backlog = append(n.backlog, fn)
	default:
		fn()
	}
}

// resume resumes a paused node, which runs the queued functions in random order.
func (f *fleet) resume(n *node) {
	backlog := n.backlog
	n.paused, n.backlog = false, nil
	f.rand.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	for _, fn := range backlog {
		fn()
	}
}

func (f *fleet) tick(n *node) {
	n.do(func() {
		for _, a := range n.Tick(f.now) {
			f.exchange(n, a)
		}
		f.record(n)
	})
	if n.killed {
		return
	}
	d := tickPeriod
	if f.rand.Float64() < f.stallShare {
		d += time.Duration(f.rand.Float64() * float64(f.maxStall))
	}
	f.after(d, func() { f.tick(n) })
}

// record records when the node first considered each VM suspect or dead.
func (f *fleet) record(n *node) {
	if n.version == n.Version() {
		return
	}
	n.version = n.Version()
	for _, m := range n.Members() {
		for state, first := range n.firstSeen {
			if _, seen := first[m.ID]; !seen && (m.State == state || m.State == clementineport.MemberDead) {
				first[m.ID] = f.now
			}
		}
	}
}

func (f *fleet) latency() time.Duration {
	d := time.Duration(300+f.rand.IntN(700)) * time.Microsecond
	if f.rand.Float64() < f.slowShare {
		d += time.Duration(f.rand.Float64() * float64(f.maxDelay))
	}
	return d
}

func (f *fleet) exchange(n *node, a cpmembership.Action) {
	d := n.Digest(a.Peer.ID)
	f.bytes += f.measure(d, d.From.Incarnation > 0) + overheadBytes
	f.total++
	pair := [2]clementineport.VMID{n.vm.ID, a.Peer.ID}
	if f.now.Sub(f.used[pair]) > idleTimeout {
		f.bytes += connectBytes
	}
	f.used[pair] = f.now
	done := false
	finish := func(fn func()) {
		n.do(func() {
			if !done {
				done = true
				fn()
				f.record(n)
			}
		})
	}
	f.after(a.Timeout, func() {
		finish(func() { n.HandleFailure(f.now, a.Peer.ID, a.Began, clementineport.FaultTimeout) })
	})
	to := f.byID[a.Peer.ID]
	if n.blockOut || to.blockIn || n.blockTo == to.vm.ID {
		return
	}
	f.after(f.latency(), func() {
		if to.killed {
			finish(func() { n.HandleFailure(f.now, a.Peer.ID, a.Began, clementineport.FaultRefused) })
			return
		}
		to.do(func() {
			r := to.HandleDigest(f.now, d)
			f.bytes += f.measure(r, d.From.Incarnation > 0)
			f.after(f.latency(), func() {
				finish(func() { n.HandleResponse(f.now, a.Peer.ID, a.Began, r) })
			})
		})
	})
}

// measure returns the encoded size of a digest, and records the maximum among joined nodes.
func (f *fleet) measure(d *clementineport.Digest, joined bool) int {
	size := proto.Size(cpmessage.EncodeDigest(d))
	if joined {
		f.longestDigest = max(f.longestDigest, size)
	}
	return size
}

// detection returns the median and the maximum time since from at which the others first considered a VM to be in a
// state, or dead, and how many of them did.
func (f *fleet) detection(id clementineport.VMID, from time.Time, s clementineport.MemberState) (median, highest time.Duration, count int) {
	all := []time.Duration{0}
	for _, n := range f.nodes {
		if at, seen := n.firstSeen[s][id]; seen && n.vm.ID != id {
			all = append(all, at.Sub(from))
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1], len(all) - 1
}
