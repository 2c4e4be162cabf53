package cpcontrol_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcontrol"
)

// latency is the one-way delay between two VMs and to the store.
const latency = 500 * time.Microsecond

// fleet is a few VMs in one process, a store and a list.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[clementineport.VMID]*node
	items clementineport.Item
	down  bool // of the store
	calls int  // of the store
	vms   []clementineport.VM
}

type node struct {
	*cpcontrol.Control
	vm     clementineport.VM
	cancel context.CancelFunc
	f      *fleet
	// Cut is true when the VM neither reaches anybody nor is reached; cutStore when it can't reach the store.
	cut, cutStore bool
}

func newFleet(t *testing.T, n int, opts ...cpcontrol.Option) *fleet {
	f := &fleet{t: t, nodes: map[clementineport.VMID]*node{}}
	for i := range n {
		id := fmt.Sprintf("vm%02d", i)
		f.vms = append(f.vms, clementineport.VM{
			ID: clementineport.VMID(id), Domain: clementineport.FailureDomain("abc"[i%3 : i%3+1]),
			Caller: id + ":1", Peer: id + ":2",
		})
	}
	for _, vm := range f.vms {
		f.start(vm, "s1", opts...)
	}
	return f
}

func (f *fleet) start(vm clementineport.VM, start clementineport.StartID, opts ...cpcontrol.Option) *node {
	n := &node{vm: vm, f: f}
	opts = append([]cpcontrol.Option{
		cpcontrol.WithSelf(clementineport.Member{VM: vm, Start: start}),
		cpcontrol.WithClock(clockwork.NewRealClock()),
		cpcontrol.WithStore(&store{n: n}),
		cpcontrol.WithDirectory(f),
		cpcontrol.WithDial(func(to clementineport.VM) clementineport.Peer { return &link{from: n, to: to.ID} }),
		cpcontrol.WithDecode(decode),
		cpcontrol.WithCompile(compile),
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

// kill ends a VM.
func (f *fleet) kill(id clementineport.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id].cancel()
	delete(f.nodes, id)
}

// submit writes a revision to the store.
func (f *fleet) submit(r int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.items = clementineport.Item{Value: []byte(strconv.Itoa(r)), Version: f.items.Version + 1}
}

func (f *fleet) set(change func()) {
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
func (f *fleet) List(context.Context) ([]clementineport.VM, error) { return f.vms, nil }

func decode(b []byte) (*clementineport.Config, error) {
	r, err := strconv.Atoi(string(b))
	return &clementineport.Config{Revision: clementineport.Revision(r), Text: b}, err
}

func compile(cfg *clementineport.Config) (*clementineport.Table, error) {
	t := &clementineport.Table{Revision: cfg.Revision, Out: cfg.Out}
	for i := range 30 {
		t.Targets = append(t.Targets, clementineport.TargetRow{TargetSpec: clementineport.TargetSpec{
			ID: clementineport.TargetID(fmt.Sprint("t", i)), Domain: clementineport.FailureDomain("abc"[i%3 : i%3+1]),
		}})
	}
	return t, nil
}

// store is a node's path to the store.
type store struct {
	clementineport.Store
	n *node
}

func (s *store) Get(ctx context.Context, key string) (clementineport.Item, error) {
	return s.Watch(ctx, key, ^uint64(0), 0)
}

func (s *store) Watch(ctx context.Context, _ string, seen uint64, wait time.Duration) (clementineport.Item, error) {
	s.n.f.set(func() { s.n.f.calls++ })
	end := time.Now().Add(wait)
	for {
		if !pause(ctx, latency) {
			return clementineport.Item{}, clementineport.Fail(clementineport.FaultTimeout, "store")
		}
		s.n.f.mu.Lock()
		item, down := s.n.f.items, s.n.f.down || s.n.cutStore || s.n.cut
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

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// link is a node's path to another.
type link struct {
	clementineport.Peer
	from *node
	to   clementineport.VMID
}

func (l *link) reach(ctx context.Context) (*node, error) {
	if !pause(ctx, latency) {
		return nil, clementineport.Fail(clementineport.FaultTimeout, "peer")
	}
	l.from.f.mu.Lock()
	n := l.from.f.nodes[l.to]
	cut := l.from.cut || n != nil && n.cut
	l.from.f.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return nil, clementineport.Fail(clementineport.FaultTimeout, "peer")
	case n == nil:
		return nil, clementineport.Fail(clementineport.FaultRefused, "peer")
	}
	return n, nil
}

func (l *link) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	n, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return n.Exchange(ctx, d)
}

func (l *link) Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	n, err := l.reach(ctx)
	if err != nil {
		return nil, err
	}
	return n.Control.Config(ctx, have)
}

func (l *link) Close() error { return nil }

func TestInForceEverywhere(t *testing.T) {
	tests := []struct {
		name   string
		during func(f *fleet)
	}{
		{"undisturbed", func(*fleet) {}},
		{"store down right after acceptance", func(f *fleet) {
			time.Sleep(20 * time.Millisecond)
			f.set(func() { f.down = true })
		}},
		{"one VM cut off from the store", func(f *fleet) {
			f.set(func() { f.nodes["vm03"].cutStore = true })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				f.submit(1)
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(f.behind(1)), 0)
				f.submit(2)
				tt.during(f)
				time.Sleep(time.Second)
				assert.Equal(t, len(f.behind(2)), 0, "behind: %v", f.behind(2))
				v := f.nodes["vm00"].View()
				assert.Equal(t, len(v.Members), 8)
				assert.Equal(t, v.Owner(0).Domain, clementineport.FailureDomain("a"))
			})
		})
	}
}
