package cpentry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpatmostonce"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cpfaketarget"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cptarget"
	"github.com/clementineport/clementineport/cptarget/cphttp"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cptrace"
	"github.com/clementineport/clementineport/cpview"
)

const (
	benchReplicas      = 3
	benchSlots         = 64
	benchConnections   = 15
	benchHits          = 10
	benchDeadline      = 20 * time.Second
	benchWarmupQueries = 100 // each makes one call for each shard
)

var benchSnapshots = []clementineport.Snapshot{{Version: 1, Layout: 1}}

// immediateTarget is a target that answers every call immediately with the same hits.
type immediateTarget struct{ hits []clementineport.Hit }

func (t *immediateTarget) Search(_ context.Context, c *clementineport.Call) (*clementineport.Reply, error) {
	return &clementineport.Reply{
		Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot, Hits: t.hits,
		Signals: clementineport.Signals{Start: "start-1", InFlight: 1, Held: benchSnapshots},
	}, nil
}

func (*immediateTarget) Status(context.Context) (clementineport.Signals, error) {
	return clementineport.Signals{}, nil
}
func (*immediateTarget) Close() error { return nil }

// staticControl is a control state that does not change.
type staticControl struct{ view *cpview.View }

func (s *staticControl) View() *cpview.View                                         { return s.view }
func (*staticControl) MaySend() error                                               { return nil }
func (*staticControl) ObserveRevision(clementineport.Revision, clementineport.VMID) {}
func (*staticControl) Exchange(context.Context, *clementineport.Digest) (*clementineport.Digest, error) {
	return nil, nil
}

func (*staticControl) Config(context.Context, clementineport.StorePosition) (*clementineport.Config, error) {
	return nil, nil
}

// benchTable returns a table with as many targets as shards; each shard is held by up to benchReplicas targets.
func benchTable(shards int, address func(int) string) *clementineport.Table {
	t := &clementineport.Table{
		Revision: 1,
		Targets:  make([]clementineport.TargetRow, shards),
		ByID:     make(map[clementineport.TargetID]clementineport.TargetIndex, shards),
	}
	layout := clementineport.LayoutTable{Layout: 1, Replicas: make([][]clementineport.TargetIndex, shards)}
	for i := range shards {
		id := clementineport.TargetID(fmt.Sprintf("target-%04d", i))
		t.Targets[i] = clementineport.TargetRow{
			TargetSpec: clementineport.TargetSpec{ID: id, Group: "g", Domain: "a", Address: address(i)},
			Group:      clementineport.Group{Name: "g", Slots: benchSlots, Queue: 1 << 16, Connections: benchConnections},
		}
		t.ByID[id] = clementineport.TargetIndex(i)
		for r := range min(benchReplicas, shards) {
			layout.Replicas[i] = append(layout.Replicas[i], clementineport.TargetIndex((i+r)%shards))
		}
	}
	t.Services = map[clementineport.ServiceID]*clementineport.ServiceTable{"lookup": {
		Service: clementineport.Service{
			Name: "lookup", Index: "people", Deadline: benchDeadline, Prefer: clementineport.PreferCoverage,
		},
		Layouts: []clementineport.LayoutTable{layout},
	}}
	return t
}

// benchEntry returns the Entry of the VM self. The VM owner, served at the address peer, owns all targets.
func benchEntry(
	b testing.TB, self, owner clementineport.VMID, peer string, t *clementineport.Table, dial cprelay.Dial, opts ...cpentry.Option,
) *cpentry.Entry {
	clock := clockwork.NewRealClock()
	view := &cpview.View{
		Revision: t.Revision, Table: t, Self: self, Targets: cppick.New().View(t),
		Members:       []clementineport.Member{{VM: clementineport.VM{ID: owner, Peer: peer}}},
		Owners:        make([]int32, len(t.Targets)),
		StandbyOwners: make([]int32, len(t.Targets)),
	}
	control := &staticControl{view}
	pool := cprelay.NewPool(dial)
	limiter := cplimit.New()
	if self == owner {
		pool.Update(t, func(clementineport.TargetIndex) int { return benchConnections })
		limiter.Update(t, func(clementineport.TargetID) bool { return true })
	}
	b.Cleanup(pool.Close)
	local := cprelay.NewOwner(clock, pool, limiter, control.MaySend)
	tracer, err := cptrace.New(b.Context())
	assert.NilError(b, err)
	registry, err := cpatmostonce.New("start", clock.Now())
	assert.NilError(b, err)
	return cpentry.New(append([]cpentry.Option{
		cpentry.WithClock(clock),
		cpentry.WithSelf(clementineport.VM{ID: self, Domain: "a"}),
		cpentry.WithControl(control),
		cpentry.WithRelay(cprelay.New(cprelay.WithSelf(self), cprelay.WithClock(clock), cprelay.WithLocal(local)), local),
		cpentry.WithPeers(cppeerconns.NewShared(func(vm clementineport.VM) clementineport.Peer {
			return cpconnect.New(cpconnect.WithAddress(vm.Peer), cpconnect.WithClock(clock),
				cpconnect.WithToken(cptoken.New("token")), cpconnect.WithHeartbeat(time.Second, benchDeadline))
		})),
		cpentry.WithAdmitter(cpadmit.New(cpadmit.WithoutLimit())),
		cpentry.WithAtMostOnce(registry),
		cpentry.WithGather(cpgather.NewOptions()),
		cpentry.WithTracer(tracer),
	}, opts...)...)
}

// servePeer serves an Entry to other VMs and returns its address.
func servePeer(b *testing.B, e *cpentry.Entry) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{
		Handler: cpconnect.NewHandler(struct {
			*cpentry.Entry
			*staticControl
		}{e, &staticControl{}}, cpconnect.WithClock(clockwork.NewRealClock()), cpconnect.WithToken(cptoken.New("token"))),
		Protocols: &http.Protocols{},
		HTTP2:     &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func newInMemoryTarget(*clementineport.TargetRow, int) clementineport.Target {
	return &immediateTarget{cptarget.Hits("people", 1, benchSnapshots[0], "text", benchHits)}
}

func newHTTPTarget(t *clementineport.TargetRow, connections int) clementineport.Target {
	return cphttp.New(cphttp.Address(t.Address), cphttp.Connections(connections))
}

// startFakeTargets starts n fake targets and returns a function that returns the address of the i-th one.
func startFakeTargets(b *testing.B, n int) func(int) string {
	addresses := make([]string, n)
	for i := range n {
		target := cpfaketarget.New("127.0.0.1:0", cpfaketarget.Slots(1024, 1024), cpfaketarget.Connections(1024, 0), cpfaketarget.ServiceTime(0))
		assert.NilError(b, target.Listen())
		b.Cleanup(func() { _ = target.Close() })
		addresses[i] = target.Address()
	}
	return func(i int) string { return addresses[i] }
}

func unreachableAddress(int) string { return "127.0.0.1:1" }

// BenchmarkQuery runs complete queries on one entry VM. It reports the target calls per second and the CPU time per
// call, which includes that of the fake targets when they are called over HTTP. Branches is the number of shards.
func BenchmarkQuery(b *testing.B) {
	for _, route := range []string{"local", "peer"} {
		for _, targets := range []string{"memory", "http"} {
			for _, shards := range []int{3, 35, 1100} {
				b.Run(fmt.Sprintf("Route=%s/Targets=%s/Branches=%d", route, targets, shards), func(b *testing.B) {
					address, dial := unreachableAddress, cprelay.Dial(newInMemoryTarget)
					if targets == "http" {
						address, dial = startFakeTargets(b, shards), newHTTPTarget
					}
					table := benchTable(shards, address)
					entry := benchEntry(b, "vm-1", "vm-1", "", table, dial)
					if route == "peer" {
						entry = benchEntry(b, "vm-2", "vm-1", servePeer(b, entry), table, dial)
					}
					runQueries(b, entry, shards)
				})
			}
		}
	}
}

// TestExplanationsAreBoundedByCalls checks that the oldest trace is dropped when a new one exceeds the limit, and that
// dropping the older trace of a repeated request id keeps the newer one. The limit fits two traces, because each counts
// for more than its calls.
func TestExplanationsAreBoundedByCalls(t *testing.T) {
	const shards = 35
	e := benchEntry(t, "vm-1", "vm-1", "", benchTable(shards, unreachableAddress), newInMemoryTarget, cpentry.WithMaxExplainedCalls(3*shards))
	for _, id := range []clementineport.RequestID{"a", "b", "c", "b"} {
		_, err := e.Query(t.Context(), &clementineport.Query{
			Request: id, Service: "lookup", Limit: benchHits, Deadline: time.Now().Add(benchDeadline), Idempotent: true,
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, e.Explain("a") == nil)
	assert.Equal(t, len(e.Explain("b").Rows()), shards)
	assert.Equal(t, e.Explain("c").Request, clementineport.RequestID("c"))
}

func runQueries(b *testing.B, e *cpentry.Entry, shards int) {
	var id atomic.Int64
	query := func() {
		q := &clementineport.Query{
			Request: clementineport.RequestID(fmt.Sprint("q", id.Add(1))), Service: "lookup", Text: "text",
			Limit: benchHits, Deadline: time.Now().Add(benchDeadline), Idempotent: true,
		}
		if a, err := e.Query(b.Context(), q); err != nil || !a.Complete {
			b.Errorf("%+v %v", a, err)
		}
	}
	for range benchWarmupQueries {
		query()
	}
	b.ReportAllocs()
	startCPU := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			query()
		}
	})
	b.StopTimer()
	calls := float64(b.N * shards)
	b.ReportMetric(calls/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64(cpuTime(b)-startCPU)/calls, "cpu-ns/call")
	b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "procs")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
