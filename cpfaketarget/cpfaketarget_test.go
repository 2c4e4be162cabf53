package cpfaketarget_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfaketarget"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cptarget/cphttp"
)

var pinned = clementineport.Snapshot{Version: 1, Layout: 1}

func startTarget(t *testing.T, opts ...cpfaketarget.Option) (*cpfaketarget.Target, *cphttp.Client) {
	t.Helper()
	target := cpfaketarget.New("127.0.0.1:0", opts...)
	assert.NilError(t, target.Listen())
	t.Cleanup(func() { _ = target.Close() })
	c := cphttp.New(cphttp.Address(target.Address()), cphttp.Connections(20))
	t.Cleanup(func() { _ = c.Close() })
	return target, c
}

func newCall(id string) *clementineport.Call {
	return &clementineport.Call{
		Request: clementineport.RequestID(id), Index: "i", Shard: 1, Target: "t", Text: "x", Limit: 2,
		Snapshot: pinned, Deadline: time.Now().Add(5 * time.Second), Idempotent: true,
	}
}

// TestColdRestart sends as many calls to a target as the limiter of its owner allows while the target restarts cold
// without a warning. With slow start the target must not crash under overload; without slow start it must.
func TestColdRestart(t *testing.T) {
	for _, slowStartDisabled := range []bool{false, true} {
		t.Run(fmt.Sprint("off=", slowStartDisabled), func(t *testing.T) {
			const slots = 4
			target, client := startTarget(t, cpfaketarget.Slots(slots, 4), cpfaketarget.ColdStart(10),
				cpfaketarget.ServiceTime(4*time.Millisecond))
			slowStart := cplimit.NewOptions().SlowStart
			slowStart.Disabled = slowStartDisabled
			l := cplimit.New(cplimit.SlowStart(slowStart), cplimit.Handover(0, 1))
			table := &clementineport.Table{
				ByID: map[clementineport.TargetID]clementineport.TargetIndex{"t": 0},
				Targets: []clementineport.TargetRow{{
					TargetSpec: clementineport.TargetSpec{ID: "t"},
					Group:      clementineport.Group{Name: "g", Slots: slots, Queue: 4},
				}},
			}
			l.Update(table, func(clementineport.TargetID) bool { return true })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var succeeded atomic.Int32
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Go(func() { sendCalls(ctx, i, l, client, &succeeded) })
			}
			settled := func() bool { return target.Stats().FallOvers > 0 || (!target.Stats().Cold && l.ColdTargets() == 0) }
			waitFor(t, settled)
			target.Apply(&cpfaketarget.Command{ColdRestart: true, PauseMilliseconds: 200})
			waitFor(t, settled)
			cancel()
			wg.Wait()
			assert.Equal(t, target.Stats().FallOvers > 0, slowStartDisabled)
			assert.Assert(t, slowStartDisabled || succeeded.Load() > 0)
		})
	}
}

func sendCalls(ctx context.Context, worker int, l *cplimit.Limiter, c *cphttp.Client, succeeded *atomic.Int32) {
	for n := 0; ctx.Err() == nil; n++ {
		call := newCall(fmt.Sprintf("%d-%d", worker, n))
		done, err := l.Acquire(ctx, call)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		began := time.Now()
		reply, err := c.Search(ctx, call)
		res := &clementineport.CallResult{Reply: reply, Err: err, Elapsed: time.Since(began)}
		if reply != nil {
			res.Signals = reply.Signals
		}
		if err == nil {
			succeeded.Add(1)
		}
		done(res)
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !done() {
		assert.Assert(t, time.Now().Before(deadline), "timed out")
		time.Sleep(5 * time.Millisecond)
	}
}

// TestAdmin changes a target through its admin port and checks its counters.
func TestAdmin(t *testing.T) {
	target, client := startTarget(t, cpfaketarget.Slots(1, 0), cpfaketarget.ServiceTime(20*time.Millisecond))
	admin := httptest.NewServer(cpfaketarget.Fleet{target}.Admin())
	defer admin.Close()
	send := func(c cpfaketarget.Command) {
		t.Helper()
		body, err := json.Marshal(c)
		assert.NilError(t, err)
		resp, err := http.Post(admin.URL+"/admin", "application/json", bytes.NewReader(body))
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	search := func(id string) clementineport.Fault {
		call := newCall(id)
		call.Idempotent = false
		_, err := client.Search(t.Context(), call)
		return clementineport.FaultOf(err)
	}
	for range 2 {
		assert.Equal(t, search("same"), clementineport.FaultUnknown)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	_, err := client.Search(ctx, newCall("given-up"))
	cancel()
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultTimeout)
	waitFor(t, func() bool { return target.Stats().Cancelled == 1 && target.Stats().InFlight == 0 })

	var wg sync.WaitGroup
	var shed atomic.Int32
	for i := range 3 {
		wg.Go(func() {
			if search(fmt.Sprint("many", i)) == clementineport.FaultShed {
				shed.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, shed.Load() >= 1)

	send(cpfaketarget.Command{Held: []clementineport.Snapshot{{Version: 2, Layout: 1}}})
	assert.Equal(t, search("old"), clementineport.FaultSnapshot)
	drain := true
	send(cpfaketarget.Command{Held: []clementineport.Snapshot{pinned}, Drain: &drain})
	assert.Equal(t, search("drain"), clementineport.FaultDraining)

	resp, err := http.Get(admin.URL + "/admin/stats")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var body struct{ Targets []cpfaketarget.Stats }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
	got := body.Targets[0]
	assert.DeepEqual(t, got.Repeated, []string{"same/1"})
	assert.Equal(t, got.PeakInFlight, 1)
	assert.Equal(t, got.WrongSnapshot, 1)
	assert.Equal(t, got.CallsAfterDrain, 1)
	assert.Equal(t, got.ConnectionsOver, 0)

	before := got.Start
	send(cpfaketarget.Command{WarmRestart: true})
	waitFor(t, func() bool { return target.Stats().Start != before && search("again") == clementineport.FaultUnknown })
	send(cpfaketarget.Command{Reset: true})
	assert.Equal(t, target.Stats().Calls, 0)
}
