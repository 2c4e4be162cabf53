package cpdrain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
)

const (
	ttl         = 10 * time.Second
	propagation = 2 * time.Second
	maxDuration = 30 * time.Second
)

func newDrain() *cpdrain.Drain {
	return cpdrain.New(cpdrain.WithEntryListTTL(ttl), cpdrain.WithPropagationTime(propagation), cpdrain.WithMaxDuration(maxDuration))
}

// TestDrain checks when a VM leaves the entry lists, when it refuses new work and when the drain ends.
func TestDrain(t *testing.T) {
	type times struct{ Leaving, Refusing, Ended time.Duration }
	const never = -1 * time.Second
	tests := []struct {
		name    string
		signals []time.Duration
		out     []time.Duration // when the VM is taken out of service, returned to service, and so on
		busy    time.Duration   // how long a request is in flight
		want    times
		fault   clementineport.Fault // of refused work
		aborted int
	}{
		{"idle", []time.Duration{0}, nil, 0, times{0, 12 * time.Second, 12 * time.Second}, clementineport.FaultDraining, 0},
		{"busy", []time.Duration{0}, nil, 20 * time.Second, times{0, 12 * time.Second, 20 * time.Second}, clementineport.FaultDraining, 0},
		{"never idle", []time.Duration{0}, nil, time.Hour, times{0, 12 * time.Second, maxDuration}, clementineport.FaultDraining, 1},
		{
			"second signal",
			[]time.Duration{0, time.Second},
			nil, 5 * time.Second,
			times{0, time.Second, 5 * time.Second},
			clementineport.FaultDraining, 0,
		},
		{
			"third signal",
			[]time.Duration{0, time.Second, 2 * time.Second},
			nil, time.Hour,
			times{0, time.Second, 2 * time.Second},
			clementineport.FaultDraining, 1,
		},
		{"taken out of service", nil, []time.Duration{0}, 0, times{0, 12 * time.Second, never}, clementineport.FaultTakenOut, 0},
		{"taken out of service and returned", nil, []time.Duration{0, 5 * time.Second}, 0, times{0, never, never}, 0, 0},
		{
			"taken out of service, then a signal",
			[]time.Duration{20 * time.Second},
			[]time.Duration{0},
			time.Hour,
			times{0, 12 * time.Second, 50 * time.Second},
			clementineport.FaultTakenOut, 1,
		},
		{
			"returned to service during a shutdown",
			[]time.Duration{2 * time.Second},
			[]time.Duration{0, 3 * time.Second},
			0,
			times{0, 12 * time.Second, 12 * time.Second},
			clementineport.FaultDraining, 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDrain()
			start := time.Unix(1_700_000_000, 0)
			first := map[cpdrain.State]time.Duration{}
			out := false
			for at := time.Duration(0); at <= time.Minute; at += 500 * time.Millisecond {
				if slices.Contains(tt.out, at) {
					out = !out
					d.SetOutOfService(start.Add(at), out)
				}
				if slices.Contains(tt.signals, at) {
					d.Signal(start.Add(at))
				}
				inFlight := 0
				if at < tt.busy {
					inFlight = 1
				}
				s := d.Tick(start.Add(at), inFlight)
				if _, seen := first[s]; !seen {
					first[s] = at
					if s == cpdrain.StateRefusing {
						assert.Equal(t, clementineport.FaultOf(d.Admit()), tt.fault)
						assert.Equal(t, clementineport.VerdictOf(d.Admit()), clementineport.NotRun)
					}
				}
				assert.Equal(t, d.Listed(), s == cpdrain.StateServing)
				assert.Equal(t, d.Admit() == nil, s < cpdrain.StateRefusing)
			}
			for s, want := range map[cpdrain.State]time.Duration{
				cpdrain.StateLeaving: tt.want.Leaving, cpdrain.StateRefusing: tt.want.Refusing, cpdrain.StateEnded: tt.want.Ended,
			} {
				at, seen := first[s]
				if s == cpdrain.StateRefusing && tt.want.Refusing == tt.want.Ended {
					continue // both happen in the same tick, so the refusing state is not seen
				}
				assert.Equal(t, seen, want != never, "%v", s)
				assert.Assert(t, !seen || at == want, "%v at %v", s, at)
			}
			assert.Equal(t, d.Aborted(), tt.aborted)
		})
	}
}

// TestARequestIsTakenOnlyIfItEndsBeforeTheDrain guards against requests that arrive late in the grace period of a planned stop and
// are cut at its end, among them such that can't be repeated.
func TestARequestIsTakenOnlyIfItEndsBeforeTheDrain(t *testing.T) {
	start := time.Now()
	d := cpdrain.New(cpdrain.WithPropagationTime(500*time.Millisecond), cpdrain.WithEntryListTTL(2700*time.Millisecond), cpdrain.WithMaxDuration(5*time.Second))
	once := &clementineport.Route{Objective: 800 * time.Millisecond}
	repeatable := &clementineport.Route{Objective: 800 * time.Millisecond, Idempotent: true}
	assert.NilError(t, d.AdmitRequest(start, once, start.Add(time.Minute), 0))
	d.Signal(start)
	for _, row := range []struct {
		after, timeLeft time.Duration
		// latency is what has been seen of the route, or zero.
		latency time.Duration
		route   *clementineport.Route
		taken   bool
	}{
		{0, 5 * time.Second, 0, once, true},
		{time.Second, 5 * time.Second, 0, once, false},
		{time.Second, 4 * time.Second, 0, once, true},
		{time.Second, 5 * time.Second, 300 * time.Millisecond, once, true},
		{time.Second, 5 * time.Second, 1500 * time.Millisecond, once, false},
		{2700 * time.Millisecond, 5 * time.Second, 300 * time.Millisecond, once, false},
		{time.Second, 5 * time.Second, 0, repeatable, true},
		{time.Second, 5 * time.Second, 1500 * time.Millisecond, repeatable, false},
		{3020 * time.Millisecond, 5 * time.Second, 0, repeatable, false},
		{3140 * time.Millisecond, 5 * time.Second, 0, once, false},
		{3140 * time.Millisecond, 1200 * time.Millisecond, 0, repeatable, true},
	} {
		now := start.Add(row.after)
		d.Tick(now, 1)
		err := d.AdmitRequest(now, row.route, now.Add(row.timeLeft), row.latency)
		assert.Equal(t, err == nil, row.taken, "%+v: %v", row, err)
		assert.Assert(t, row.taken || clementineport.VerdictOf(err) == clementineport.NotRun)
	}
}

// TestRequestsInFlightAreAnsweredBeforeTheDrainEnds guards against a planned stop that closes the connections of requests in flight
// without an answer, at its maximum duration or at a third signal.
func TestRequestsInFlightAreAnsweredBeforeTheDrainEnds(t *testing.T) {
	const answerTime = 3 * time.Second
	for _, row := range []struct {
		name             string
		signals          []time.Duration
		answered         time.Duration // when the last answer is written
		answering, ended time.Duration
		aborted          int
	}{
		{"idle", []time.Duration{0}, 0, 12 * time.Second, 12 * time.Second, 0},
		{"answered in time", []time.Duration{0}, 20 * time.Second, 20 * time.Second, 20 * time.Second, 0},
		{"answered at the end", []time.Duration{0}, 28 * time.Second, 27 * time.Second, 28 * time.Second, 0},
		{"slow readers", []time.Duration{0}, time.Hour, 27 * time.Second, maxDuration, 1},
		{"second signal", []time.Duration{0, time.Second}, time.Hour, 27 * time.Second, maxDuration, 1},
		{"third signal", []time.Duration{0, time.Second, 2 * time.Second}, 3 * time.Second, 2 * time.Second, 3 * time.Second, 0},
		{"third signal, slow readers", []time.Duration{0, time.Second, 2 * time.Second}, time.Hour, 2 * time.Second, 5 * time.Second, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := cpdrain.New(cpdrain.WithEntryListTTL(ttl), cpdrain.WithPropagationTime(propagation),
				cpdrain.WithMaxDuration(maxDuration), cpdrain.WithAnswerTime(answerTime))
			start := time.Unix(1_700_000_000, 0)
			first := map[cpdrain.State]time.Duration{}
			for at := time.Duration(0); at <= time.Minute; at += 500 * time.Millisecond {
				if slices.Contains(row.signals, at) {
					d.Signal(start.Add(at))
				}
				inFlight := 0
				if at < row.answered {
					inFlight = 1
				}
				s := d.Tick(start.Add(at), inFlight)
				if _, seen := first[s]; !seen {
					first[s] = at
				}
				assert.Assert(t, s < cpdrain.StateAnswering || d.Admit() != nil)
			}
			if row.answering != row.ended { // else both happen in the same tick
				assert.Equal(t, first[cpdrain.StateAnswering], row.answering)
			}
			assert.Equal(t, first[cpdrain.StateEnded], row.ended)
			assert.Equal(t, d.Aborted(), row.aborted)
		})
	}
}

func TestRequestsEndTogether(t *testing.T) {
	q := cpdrain.NewRequests()
	first, firstDone := q.Begin(t.Context())
	second, secondDone := q.Begin(t.Context())
	assert.Equal(t, q.InFlight(), 2)
	firstDone()
	assert.Equal(t, q.InFlight(), 1)
	assert.Assert(t, first.Err() != nil && !cpdrain.Ended(first))
	assert.NilError(t, second.Err())
	q.End()
	<-second.Done()
	assert.Assert(t, cpdrain.Ended(second))
	late, lateDone := q.Begin(t.Context())
	<-late.Done()
	assert.Assert(t, cpdrain.Ended(late))
	secondDone()
	lateDone()
	assert.Equal(t, q.InFlight(), 0)
}

func ExampleDrain() {
	d := cpdrain.New(cpdrain.WithEntryListTTL(5*time.Second), cpdrain.WithPropagationTime(time.Second))
	now := time.Unix(0, 0)
	d.Signal(now)
	fmt.Println(d.Tick(now, 1), d.Admit())
	now = now.Add(6 * time.Second)
	fmt.Println(d.Tick(now, 1), d.Admit())
	fmt.Println(d.Tick(now, 0))
	// Output:
	// leaving <nil>
	// refusing draining: this VM is shutting down
	// ended
}
