package cpload_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcaller"
	"github.com/clementineport/clementineport/cpload"
)

// fakeCaller blocks every query until release is closed. Once it has received the expected number of queries, it
// closes release itself.
type fakeCaller struct {
	mu       sync.Mutex
	expected int
	release  chan struct{}
	queries  []clementineport.Query
	answer   clementineport.Answer
}

func (c *fakeCaller) Query(_ context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	c.mu.Lock()
	c.queries = append(c.queries, *q)
	if len(c.queries) == c.expected {
		close(c.release)
	}
	c.mu.Unlock()
	<-c.release
	a := c.answer
	return &a, nil
}

func (c *fakeCaller) Close() error { return nil }

func newOptions(c cpcaller.Caller) cpload.Options {
	o := cpload.DefaultOptions()
	o.Rate, o.Duration, o.Callers = 1000, 200*time.Millisecond, 1
	o.Services = []cpload.WeightedService{{Service: "desk", Weight: 3}, {Service: "sync", Weight: 1}}
	o.NewCaller = func(int) cpcaller.Caller { return c }
	return o
}

func TestRunIsOpenLoop(t *testing.T) {
	const total, pause = 200, 50 * time.Millisecond
	c := &fakeCaller{expected: total, release: make(chan struct{})}
	c.answer = clementineport.Answer{Shards: 2, Covered: []clementineport.ShardID{0, 0}, Complete: true, Verdict: clementineport.Ran}
	o := newOptions(c)
	o.NonIdempotent = 0.5
	o.Policies = []string{cpload.CurrentPolicy, "baseline"}
	texts := 0
	o.Text = func(*rand.Rand) string {
		if texts++; texts == total {
			time.Sleep(pause)
		}
		return "text"
	}
	// No query is answered before the last one has been sent, so a closed-loop generator would block forever.
	report, err := cpload.Run(t.Context(), cpload.WithOptions(o))
	assert.NilError(t, err)
	assert.Equal(t, report.Unsent, 0)
	sent, wrong, policies, nonIdempotent := 0, 0, make(map[string]int), 0
	for _, s := range report.Series {
		sent += s.Sent
		wrong += s.Wrong
		// The last query was sent late; its latency must count from its intended start.
		assert.Assert(t, s.Latency.MaxMillis >= float64(pause.Milliseconds()))
	}
	for _, q := range c.queries {
		policies[q.Policy]++
		if !q.Idempotent {
			nonIdempotent++
		}
	}
	assert.Equal(t, sent, total)
	assert.Equal(t, wrong, total, "every answer lists a shard twice")
	assert.DeepEqual(t, policies, map[string]int{"": total / 2, "baseline": total / 2})
	assert.Assert(t, nonIdempotent > total/4 && nonIdempotent < total*3/4)
}

func TestQueriesInProgressAreBounded(t *testing.T) {
	c := &fakeCaller{expected: 10, release: make(chan struct{})}
	o := newOptions(c)
	o.MaxInProgress = 5
	time.AfterFunc(300*time.Millisecond, func() { close(c.release) })
	report, err := cpload.Run(t.Context(), cpload.WithOptions(o))
	assert.NilError(t, err)
	// All 200 queries are due within 200 ms, before the first 5 are answered.
	assert.Equal(t, report.Unsent, 195)
}

func TestSettingsOutOfBoundsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*cpload.Options){
		"remote address":       func(o *cpload.Options) { o.Entries = []string{"192.0.2.1:80"} },
		"host name":            func(o *cpload.Options) { o.Entries = []string{"entry.example:80"} },
		"no entries":           func(o *cpload.Options) { o.NewCaller = nil },
		"no services":          func(o *cpload.Options) { o.Services = nil },
		"too long":             func(o *cpload.Options) { o.Duration = 2 * cpload.MaxDuration },
		"too many":             func(o *cpload.Options) { o.Rate, o.Duration = 1e6, time.Minute },
		"share above one":      func(o *cpload.Options) { o.NonIdempotent = 2 },
		"no callers":           func(o *cpload.Options) { o.Callers = 0 },
		"address without port": func(o *cpload.Options) { o.Entries = []string{"127.0.0.1"} },
	} {
		t.Run(name, func(t *testing.T) {
			o := newOptions(&fakeCaller{})
			change(&o)
			_, err := cpload.Run(t.Context(), cpload.WithOptions(o))
			assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultInvalid)
		})
	}
	o := newOptions(&fakeCaller{})
	o.Entries, o.AllowRemote = []string{"192.0.2.1:80"}, true
	assert.NilError(t, o.Validate())
}

func TestCheckAnswer(t *testing.T) {
	missing := []clementineport.MissingShard{{Shard: 1, State: clementineport.ShardLate}}
	snapshot := clementineport.Snapshot{Version: 1, Layout: 1}
	tests := []struct {
		want string
		a    clementineport.Answer
	}{
		{"", clementineport.Answer{Shards: 2, Covered: []clementineport.ShardID{0}, Missing: missing, Snapshot: snapshot, Hits: []clementineport.Hit{{Score: 2}, {Score: 1}}}},
		{"listed twice", clementineport.Answer{Shards: 2, Covered: []clementineport.ShardID{0, 0}}},
		{"listed twice", clementineport.Answer{Shards: 2, Covered: []clementineport.ShardID{0, 1}, Missing: missing}},
		{"missing in state covered", clementineport.Answer{Shards: 2, Missing: []clementineport.MissingShard{{State: clementineport.ShardCovered}}}},
		{"1 of 2 shards", clementineport.Answer{Shards: 2, Covered: []clementineport.ShardID{0}, Complete: true}},
		{"Complete is true", clementineport.Answer{Shards: 2, Covered: []clementineport.ShardID{0}, Missing: missing, Complete: true}},
		{"without a snapshot", clementineport.Answer{Complete: true, Hits: []clementineport.Hit{{Score: 1}}}},
		{"exceed the limit", clementineport.Answer{Complete: true, Snapshot: snapshot, Hits: make([]clementineport.Hit, 3)}},
		{"has a higher score", clementineport.Answer{Complete: true, Snapshot: snapshot, Hits: []clementineport.Hit{{Score: 1}, {Score: 2}}}},
	}
	for _, tt := range tests {
		err := cpload.CheckAnswer(&clementineport.Query{Limit: 2}, &tt.a)
		if tt.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, tt.want)
	}
}
