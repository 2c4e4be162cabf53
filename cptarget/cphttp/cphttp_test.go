package cphttp_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfaketarget"
	"github.com/clementineport/clementineport/cptarget/cphttp"
)

func newCall(id string, left time.Duration) *clementineport.Call {
	return &clementineport.Call{
		Request: clementineport.RequestID(id), Index: "invoices", Shard: 7, Text: "quay", Limit: 3,
		Snapshot: clementineport.Snapshot{Version: 1, Layout: 1}, Deadline: time.Now().Add(left), Idempotent: true,
	}
}

func startTarget(t testing.TB, opts ...cpfaketarget.Option) *cpfaketarget.Target {
	t.Helper()
	s := cpfaketarget.New("127.0.0.1:0", opts...)
	assert.NilError(t, s.Listen())
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// searchAtOnce runs n concurrent calls, so that up to n connections are open afterwards.
func searchAtOnce(t *testing.T, c *cphttp.Client, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_, err := c.Search(t.Context(), newCall(fmt.Sprint("w", i), 10*time.Second))
			assert.Check(t, err)
		})
	}
	wg.Wait()
}

// TestSilentConnections makes all connections to a target stall at once. With the rule, only the call that detects this
// fails, and the connections open at the target stay within the share. Without the rule, every stalled connection makes
// one call time out.
func TestSilentConnections(t *testing.T) {
	const calls, share = 6, 12
	rule := cphttp.DefaultStallRule()
	rule.MinWaitAllStalled, rule.ResponseTimeFactor = 10*time.Second, 5
	for _, c := range []struct {
		name string
		off  bool
	}{{"rule", false}, {"no rule", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := startTarget(t, cpfaketarget.Slots(calls, 0), cpfaketarget.Connections(share, 0),
				cpfaketarget.ServiceTime(30*time.Millisecond))
			rule.Disabled = c.off
			client := cphttp.New(cphttp.Address(s.Address()), cphttp.Connections(share), cphttp.StallDetection(rule))
			defer client.Close()
			searchAtOnce(t, client, calls)
			open := s.Stats().Connections
			assert.Assert(t, open > 1)
			s.Apply(&cpfaketarget.Command{Silent: true})
			failed := 0
			for i := range 2 * calls {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, err := client.Search(ctx, newCall(fmt.Sprint("r", i), 10*time.Second))
				cancel()
				if err != nil {
					failed++
					assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultTimeout)
				}
			}
			want := 1
			if c.off {
				want = open
			}
			assert.Equal(t, failed, want)
			st := s.Stats()
			assert.Assert(t, st.Connections > open, "the stalled connections must still be open at the target")
			assert.Equal(t, st.ConnectionsOver, 0)
		})
	}
}

// TestShare makes more concurrent calls than the share allows, and again after the share has been lowered. With a share
// of the target's limit, the target never has more connections than that; with a larger share it does.
func TestShare(t *testing.T) {
	const limit = 4
	for _, share := range []int{limit, 5 * limit} {
		s := startTarget(t, cpfaketarget.Slots(20, 20), cpfaketarget.Connections(limit, 0),
			cpfaketarget.ServiceTime(20*time.Millisecond))
		client := cphttp.New(cphttp.Address(s.Address()), cphttp.Connections(share))
		defer client.Close()
		for _, size := range []int{share, share / 2} {
			client.Resize(size)
			var ok, shed atomic.Int32
			var wg sync.WaitGroup
			for i := range 5 * limit {
				wg.Go(func() {
					switch _, err := client.Search(t.Context(), newCall(fmt.Sprint(i), 5*time.Second)); {
					case err == nil:
						ok.Add(1)
					case clementineport.FaultOf(err) == clementineport.FaultShed:
						shed.Add(1)
					}
				})
			}
			wg.Wait()
			assert.Equal(t, ok.Load()+shed.Load(), int32(5*limit))
			assert.Assert(t, ok.Load() >= 1)
			n, _ := client.Open()
			assert.Assert(t, n <= share, "%d connections of %d", n, share)
		}
		assert.Equal(t, s.Stats().ConnectionsOver > 0, share > limit)
	}
}

// TestRestartBetweenCalls restarts a target cold while its connections are idle, and then makes several calls at once.
// With the probe, they are sent one at a time and the others provably do not run; without it, they overload the cold
// target and it crashes.
func TestRestartBetweenCalls(t *testing.T) {
	const slots = 4
	for _, probe := range []bool{true, false} {
		s := startTarget(t, cpfaketarget.Slots(slots, slots), cpfaketarget.ColdStart(10))
		s.Apply(&cpfaketarget.Command{WarmRestart: true})
		var closed atomic.Int32
		client := cphttp.New(cphttp.Address(s.Address()), cphttp.Connections(4*slots), cphttp.Probe(probe),
			cphttp.OnTargetClose(func() { closed.Add(1) }))
		defer client.Close()
		searchAtOnce(t, client, slots)
		open := s.Stats().Connections
		s.Apply(&cpfaketarget.Command{ColdRestart: true})
		for int(closed.Load()) < open {
			time.Sleep(time.Millisecond)
		}
		var ok, other atomic.Int32
		var wg sync.WaitGroup
		for i := range slots {
			wg.Go(func() {
				switch _, err := client.Search(t.Context(), newCall(fmt.Sprint(i), 5*time.Second)); {
				case err == nil:
					ok.Add(1)
				case clementineport.FaultOf(err) != clementineport.FaultUnavailable:
					other.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, s.Stats().FallOvers > 0, !probe)
		assert.Assert(t, !probe || (ok.Load() > 0 && other.Load() == 0))
	}
}

// TestGivenUpWhileDialing cancels a call while its connection is being dialed. The call must be proven unsent, and must
// not be sent later.
func TestGivenUpWhileDialing(t *testing.T) {
	s := startTarget(t)
	dialing, release := make(chan struct{}, 2), make(chan struct{})
	client := cphttp.New(cphttp.Address(s.Address()), func(o *cphttp.Options) {
		dial := o.Dial
		o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			dialing <- struct{}{}
			<-release
			return dial(context.WithoutCancel(ctx), network, address)
		}
	})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-dialing; cancel() }()
	_, err := client.Search(ctx, newCall("r1", 5*time.Second))
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultUnsent)
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
	close(release)
	_, err = client.Search(t.Context(), newCall("r2", 5*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, s.Stats().Calls, 1)
}

// TestACallThatMayNotBeSentNamesTheReason guards against calls whose failure depends on which of its two goroutines of a connection
// net/http hears first: the one that may not write, or the one that then reads from a closed connection.
func TestACallThatMayNotBeSentNamesTheReason(t *testing.T) {
	const callers, calls = 64, 60
	s := startTarget(t)
	c := cphttp.New(cphttp.Address(s.Address()), cphttp.Connections(callers*calls), cphttp.MaySend(func() error {
		return clementineport.Fail(clementineport.FaultStale, "paused")
	}))
	defer c.Close()
	faults := map[clementineport.Fault]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range calls {
				_, err := c.Search(t.Context(), newCall("r", 5*time.Second))
				mu.Lock()
				faults[clementineport.FaultOf(err)]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	assert.DeepEqual(t, faults, map[clementineport.Fault]int{clementineport.FaultStale: callers * calls})
}

// TestNothingIsWrittenThatMayNotBeSent checks that MaySend is called before each write, on new and on reused
// connections. A process that resumes after a pause must not send what it may no longer send.
func TestNothingIsWrittenThatMayNotBeSent(t *testing.T) {
	s := startTarget(t)
	var stale atomic.Bool
	c := cphttp.New(cphttp.Address(s.Address()), cphttp.MaySend(func() error {
		if stale.Load() {
			return clementineport.Fail(clementineport.FaultStale, "paused")
		}
		return nil
	}))
	defer c.Close()
	for i, may := range []bool{false, true, false} {
		stale.Store(!may)
		_, err := c.Search(t.Context(), newCall(fmt.Sprint(i), time.Second))
		assert.Equal(t, err == nil, may, "%v", err)
		if !may {
			assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultStale)
		}
	}
	assert.Equal(t, s.Stats().Calls, 1)
}

// BenchmarkCancel measures, for each protocol, one call shortly after a canceled call. With HTTP/1.1 the canceled call
// closes its connection, and a spare one may have been opened since.
func BenchmarkCancel(b *testing.B) {
	for _, cost := range []time.Duration{0, time.Millisecond, 6 * time.Millisecond} {
		for name, opts := range map[string][]cphttp.Option{
			"http1":       {cphttp.SpareTimeout(0)},
			"http1-spare": {},
			"http2":       {cphttp.HTTP2(true)},
		} {
			b.Run(fmt.Sprintf("ConnectionCost=%v/Protocol=%s", cost, name), func(b *testing.B) {
				s := startTarget(b, cpfaketarget.ServiceTime(2*time.Millisecond), cpfaketarget.Connections(45, cost))
				client := cphttp.New(append(opts, cphttp.Address(s.Address()), cphttp.Connections(45))...)
				defer client.Close()
				var total time.Duration
				for i := range b.N {
					ctx, cancel := context.WithTimeout(b.Context(), time.Millisecond/2)
					_, _ = client.Search(ctx, newCall(fmt.Sprint("c", i), time.Second))
					cancel()
					time.Sleep(10 * time.Millisecond)
					start := time.Now()
					if _, err := client.Search(b.Context(), newCall(fmt.Sprint("r", i), time.Second)); err != nil {
						b.Fatal(err)
					}
					total += time.Since(start)
				}
				b.ReportMetric(float64(total.Microseconds())/float64(b.N), "us/call")
				b.ReportMetric(float64(s.Stats().NewConnections)/float64(b.N), "connections/op")
			})
		}
	}
}

// BenchmarkSearch measures one call over an open connection, including the time of the fake target.
func BenchmarkSearch(b *testing.B) {
	for _, http2 := range []bool{false, true} {
		b.Run(fmt.Sprintf("HTTP2=%v", http2), func(b *testing.B) {
			s := startTarget(b, cpfaketarget.ServiceTime(0), cpfaketarget.Slots(64, 64), cpfaketarget.Connections(64, 0))
			client := cphttp.New(cphttp.Address(s.Address()), cphttp.Connections(64), cphttp.HTTP2(http2))
			defer client.Close()
			b.ReportAllocs()
			for i := range b.N {
				if _, err := client.Search(b.Context(), newCall(fmt.Sprint("r", i), time.Second)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
