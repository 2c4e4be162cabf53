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
	benchReplicas    = 3
	benchSlots       = 64
	benchConnections = 15
	benchHits        = 10
	benchDeadline    = 20 * time.Second
	benchWarmCalls   = 100 // for each target
)

var benchHeld = []clementineport.Snapshot{{Version: 1, Layout: 1}}

// instant is a target that answers at once with the same hits.
type instant struct{ hits []clementineport.Hit }

func (t *instant) Search(_ context.Context, c *clementineport.Call) (*clementineport.Reply, error) {
	return &clementineport.Reply{
		Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot, Hits: t.hits,
		Signals: clementineport.Signals{Start: "start-1", InFlight: 1, Held: benchHeld},
	}, nil
}

func (*instant) Status(context.Context) (clementineport.Signals, error) {
	return clementineport.Signals{}, nil
}
func (*instant) Close() error { return nil }

// steady is a control state that does not change.
type steady struct{ view *cpview.View }

func (s *steady) View() *cpview.View                                         { return s.view }
func (*steady) MaySend() error                                               { return nil }
func (*steady) ObserveRevision(clementineport.Revision, clementineport.VMID) {}
func (*steady) Exchange(context.Context, *clementineport.Digest) (*clementineport.Digest, error) {
	return nil, nil
}

func (*steady) Config(context.Context, clementineport.Revision) (*clementineport.Config, error) {
	return nil, nil
}

// benchTable has one target for each shard; each shard is held by several targets.
func benchTable(branches int, address func(int) string) *clementineport.Table {
	t := &clementineport.Table{
		Revision: 1,
		Targets:  make([]clementineport.TargetRow, branches),
		ByID:     make(map[clementineport.TargetID]clementineport.TargetIndex, branches),
	}
	layout := clementineport.LayoutTable{Layout: 1, Replicas: make([][]clementineport.TargetIndex, branches)}
	for i := range branches {
		id := clementineport.TargetID(fmt.Sprintf("target-%04d", i))
		t.Targets[i] = clementineport.TargetRow{
			TargetSpec: clementineport.TargetSpec{ID: id, Group: "g", Domain: "a", Address: address(i)},
			Group:      clementineport.Group{Name: "g", Slots: benchSlots, Queue: 1 << 16, Connections: benchConnections},
		}
		t.ByID[id] = clementineport.TargetIndex(i)
		for r := range min(benchReplicas, branches) {
			layout.Replicas[i] = append(layout.Replicas[i], clementineport.TargetIndex((i+r)%branches))
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

// benchEntry returns an entry VM whose targets are owned by one VM.
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
	control := &steady{view}
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
	once, err := cpatmostonce.New("start", clock.Now())
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
		cpentry.WithAtMostOnce(once),
		cpentry.WithGather(cpgather.NewOptions()),
		cpentry.WithTracer(tracer),
	}, opts...)...)
}

// benchPeer serves an owner to other VMs and returns its address.
func benchPeer(b *testing.B, e *cpentry.Entry) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{
		Handler: cpconnect.NewHandler(struct {
			*cpentry.Entry
			*steady
		}{e, &steady{}}, cpconnect.WithClock(clockwork.NewRealClock()), cpconnect.WithToken(cptoken.New("token"))),
		Protocols: &http.Protocols{},
		HTTP2:     &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func inMemory(*clementineport.TargetRow, int) clementineport.Target {
	return &instant{cptarget.Hits("people", 1, benchHeld[0], "text", benchHits)}
}

func overHTTP(t *clementineport.TargetRow, connections int) clementineport.Target {
	return cphttp.New(cphttp.Address(t.Address), cphttp.Connections(connections))
}

// searchers starts stand-in targets and returns their addresses.
func searchers(b *testing.B, n int) func(int) string {
	addresses := make([]string, n)
	for i := range n {
		s := cpfaketarget.New("127.0.0.1:0", cpfaketarget.Slots(1024, 1024), cpfaketarget.Connections(1024, 0), cpfaketarget.ServiceTime(0))
		assert.NilError(b, s.Listen())
		b.Cleanup(func() { _ = s.Close() })
		addresses[i] = s.Address()
	}
	return func(i int) string { return addresses[i] }
}

func nowhere(int) string { return "127.0.0.1:1" }

// BenchmarkQuery runs whole queries on one entry VM. The metrics are the searcher calls a second and the
// processor time of a call, which includes the stand-in targets when they are reached over HTTP.
func BenchmarkQuery(b *testing.B) {
	for _, route := range []string{"local", "peer"} {
		for _, targets := range []string{"memory", "http"} {
			for _, branches := range []int{3, 35, 1100} {
				b.Run(fmt.Sprintf("Route=%s/Targets=%s/Branches=%d", route, targets, branches), func(b *testing.B) {
					address, dial := nowhere, cprelay.Dial(inMemory)
					if targets == "http" {
						address, dial = searchers(b, branches), overHTTP
					}
					table := benchTable(branches, address)
					entry := benchEntry(b, "vm-1", "vm-1", "", table, dial)
					if route == "peer" {
						entry = benchEntry(b, "vm-2", "vm-1", benchPeer(b, entry), table, dial)
					}
					runQueries(b, entry, branches)
				})
			}
		}
	}
}

func TestExplanationsAreBoundedByCalls(t *testing.T) {
	const branches = 35
	e := benchEntry(t, "vm-1", "vm-1", "", benchTable(branches, nowhere), inMemory, cpentry.WithMaxExplainedCalls(3*branches))
	for _, id := range []clementineport.RequestID{"a", "b", "c", "b"} {
		_, err := e.Query(t.Context(), &clementineport.Query{
			Request: id, Service: "lookup", Limit: benchHits, Deadline: time.Now().Add(benchDeadline), Idempotent: true,
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, e.Explain("a") == nil)
	assert.Equal(t, len(e.Explain("b").Rows()), branches)
	assert.Equal(t, e.Explain("c").Request, clementineport.RequestID("c"))
}

func runQueries(b *testing.B, e *cpentry.Entry, branches int) {
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
	for range benchWarmCalls {
		query()
	}
	b.ReportAllocs()
	began := processorTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			query()
		}
	})
	b.StopTimer()
	calls := float64(b.N * branches)
	b.ReportMetric(calls/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64(processorTime(b)-began)/calls, "cpu-ns/call")
	b.ReportMetric(float64(runtime.GOMAXPROCS(0)), "procs")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
