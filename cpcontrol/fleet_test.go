package cpcontrol_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcontrol"
)

// jumpClock is a clock that a test can move forward, to simulate a process that was paused and then resumed.
type jumpClock struct {
	clockwork.Clock
	ahead atomic.Int64
}

func (c *jumpClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.ahead.Load())) }

// latency is the one-way delay between two VMs, and between a VM and the store.
const latency = 500 * time.Microsecond

// fleet is a set of VMs in one process with a store and a list of VMs.
type fleet struct {
	t      testing.TB
	mu     sync.Mutex
	nodes  map[clementineport.VMID]*node
	stored clementineport.Item
	down   bool // whether the store and the list are down
	calls  int  // number of calls to the store
	vms    []clementineport.VM
}

type node struct {
	*cpcontrol.Control
	vm     clementineport.VM
	clock  *jumpClock
	cancel context.CancelFunc
	f      *fleet
	// isolated is true when no call from or to the VM succeeds; storeUnreachable is true when its calls to the store fail.
	isolated, storeUnreachable bool
	// inboundBlocked is true when calls to the VM fail.
	inboundBlocked bool
	// partitioned is true for VMs that reach only each other.
	partitioned bool
}

func newFleet(t testing.TB, n int, opts ...cpcontrol.Option) *fleet {
	f := &fleet{t: t, nodes: map[clementineport.VMID]*node{}}
	for i := range n {
		f.vms = append(f.vms, vm(i))
	}
	for _, vm := range f.vms {
		f.start(vm, "s1", opts...)
	}
	return f
}

func vm(i int) clementineport.VM {
	id := fmt.Sprintf("vm%02d", i)
	return clementineport.VM{ID: clementineport.VMID(id), Domain: domain(i), Caller: id + ":1", Peer: id + ":2"}
}

func domain(i int) clementineport.FailureDomain {
	return clementineport.FailureDomain("abc"[i%3 : i%3+1])
}

func (f *fleet) start(vm clementineport.VM, start clementineport.StartID, opts ...cpcontrol.Option) *node {
	n := &node{vm: vm, f: f, clock: &jumpClock{Clock: clockwork.NewRealClock()}}
	opts = append([]cpcontrol.Option{
		cpcontrol.WithSelf(clementineport.Member{VM: vm, Start: start}),
		cpcontrol.WithClock(n.clock),
		cpcontrol.WithStore(&store{n: n}),
		cpcontrol.WithDirectory(f),
		cpcontrol.WithDial(func(to clementineport.VM) clementineport.Peer {
			return &peerLink{from: n, to: clementineport.VMID(strings.TrimSuffix(to.Peer, ":2"))}
		}),
		cpcontrol.WithDecode(decode),
		cpcontrol.WithCompile(compile(30)),
	}, opts...)
	n.Control = cpcontrol.New(opts...)
	ctx, cancel := context.WithCancel(f.t.Context())
	n.cancel = cancel
	f.mu.Lock()
	f.nodes[vm.ID] = n
	f.mu.Unlock()
	go func() { _ = n.Serve(ctx) }()
	return n
}

// kill stops a VM without a graceful shutdown.
func (f *fleet) kill(id clementineport.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id].cancel()
	delete(f.nodes, id)
}

// submit writes a configuration with a revision to the store.
func (f *fleet) submit(r int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stored = clementineport.Item{Value: []byte(strconv.Itoa(r)), Version: f.stored.Version + 1}
}

// update runs a change of the fleet's state under its lock.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// behind returns the running VMs that do not have the revision in force.
func (f *fleet) behind(r clementineport.Revision) []clementineport.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []clementineport.VMID
	for id, n := range f.nodes {
		if n.View().Revision != r {
			ids = append(ids, id)
		}
	}
	return ids
}

// List implements clementineport.Directory.
func (f *fleet) List(context.Context) ([]clementineport.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, clementineport.Fail(clementineport.FaultRefused, "list is down")
	}
	return f.vms, nil
}

func decode(b []byte) (*clementineport.Config, error) {
	r, err := strconv.Atoi(string(b))
	return &clementineport.Config{Revision: clementineport.Revision(r), Text: b}, err
}

func compile(targets int) func(*clementineport.Config) (*clementineport.Table, error) {
	return func(cfg *clementineport.Config) (*clementineport.Table, error) {
		t := &clementineport.Table{Revision: cfg.Revision, OutOfService: cfg.OutOfService}
		for i := range targets {
			t.Targets = append(t.Targets, clementineport.TargetRow{TargetSpec: clementineport.TargetSpec{
				ID: clementineport.TargetID(fmt.Sprint("t", i)), Domain: domain(i),
			}})
		}
		return t, nil
	}
}

// store is the store as one node reaches it.
type store struct {
	clementineport.Store
	n *node
}

func (s *store) Get(ctx context.Context, key string) (clementineport.Item, error) {
	return s.Watch(ctx, key, ^uint64(0), 0)
}

func (s *store) Watch(ctx context.Context, _ string, seen uint64, wait time.Duration) (clementineport.Item, error) {
	s.n.f.update(func() { s.n.f.calls++ })
	end := time.Now().Add(wait)
	for {
		if !pause(ctx, latency) {
			return clementineport.Item{}, clementineport.Fail(clementineport.FaultTimeout, "store")
		}
		s.n.f.mu.Lock()
		item, down := s.n.f.stored, s.n.f.down || s.n.storeUnreachable || s.n.isolated
		s.n.f.mu.Unlock()
		if !down && (item.Version != seen || !time.Now().Before(end)) {
			return item, nil
		}
		if down && wait == 0 {
			return clementineport.Item{}, clementineport.Fail(clementineport.FaultRefused, "store is down")
		}
		if !pause(ctx, 10*time.Millisecond) {
			return clementineport.Item{}, clementineport.Fail(clementineport.FaultTimeout, "store")
		}
	}
}

// pause waits for d and reports whether it did so before the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// peerLink is a node as another node reaches it.
type peerLink struct {
	clementineport.Peer
	from *node
	to   clementineport.VMID
}

func (l *peerLink) connect(ctx context.Context) (*node, error) {
	if !pause(ctx, latency) {
		return nil, clementineport.Fail(clementineport.FaultTimeout, "peer")
	}
	l.from.f.mu.Lock()
	n := l.from.f.nodes[l.to]
	unreachable := l.from.isolated || n != nil && (n.isolated || n.inboundBlocked || n.partitioned != l.from.partitioned)
	l.from.f.mu.Unlock()
	switch {
	case unreachable:
		<-ctx.Done()
		return nil, clementineport.Fail(clementineport.FaultTimeout, "peer")
	case n == nil:
		return nil, clementineport.Fail(clementineport.FaultRefused, "peer")
	}
	return n, nil
}

func (l *peerLink) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	n, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return n.Exchange(ctx, d)
}

func (l *peerLink) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	n, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return n.Control.Config(ctx, have)
}

func (l *peerLink) Close() error { return nil }
