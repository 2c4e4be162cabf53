package cpatmostonce_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpatmostonce"
)

var now = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// fleet models a few processes that receive requests in any order.
type fleet struct {
	now        time.Time
	opts       []cpatmostonce.Option
	starts     int
	registries map[clementineport.StartID]*cpatmostonce.Registry
	names      []clementineport.StartID
	running    map[clementineport.RequestID]clementineport.StartID
	// runs counts, for each id, the runs that are not proven not to have run.
	runs      map[clementineport.RequestID]int
	answers   map[clementineport.RequestID]*clementineport.Answer
	violation string
}

func (f *fleet) report(format string, args ...any) { f.violation = fmt.Sprintf(format, args...) }

// start replaces process i by a new one without state.
func (f *fleet) start(i int) {
	delete(f.registries, f.names[i])
	for id, owner := range f.running {
		if owner == f.names[i] {
			delete(f.running, id)
		}
	}
	f.starts++
	f.names[i] = clementineport.StartID(fmt.Sprintf("s%d", f.starts))
	f.registries[f.names[i]], _ = cpatmostonce.New(f.names[i], f.now, f.opts...)
}

// send sends a request to a process and follows a redirect, as an entry VM does.
func (f *fleet) send(to clementineport.StartID, id clementineport.RequestID) {
	d := f.registries[to].Begin(f.now, id)
	if d.Kind == cpatmostonce.Redirect {
		if f.registries[d.Start] == nil {
			return
		}
		to, d = d.Start, f.registries[d.Start].Begin(f.now, id)
	}
	switch d.Kind {
	case cpatmostonce.Run:
		f.runs[id]++
		if f.runs[id] > 1 {
			f.report("%s runs %d times", id, f.runs[id])
		}
		f.running[id] = to
	case cpatmostonce.Join:
		if f.running[id] != to {
			f.report("%s joins a run that has ended", id)
		}
	case cpatmostonce.Done:
		if d.Answer != nil && d.Answer != f.answers[id] {
			f.report("%s gets the answer of another run", id)
		}
		if d.Verdict == clementineport.NotRun || d.Answer == nil && d.Err == nil {
			f.report("%s is done with verdict %v and no outcome", id, d.Verdict)
		}
	case cpatmostonce.Refuse:
		if f.runs[id] > 0 && d.Verdict == clementineport.NotRun {
			f.report("%s ran, but is refused as not run", id)
		}
	}
}

// end ends the run of a request with a fault, or with success for FaultUnknown.
func (f *fleet) end(id clementineport.RequestID, fault clementineport.Fault) {
	var err error
	answer := &clementineport.Answer{Request: id, Verdict: clementineport.Ran, Hits: make([]clementineport.Hit, 4)}
	if fault != clementineport.FaultUnknown {
		answer, err = nil, clementineport.Fail(fault, "test")
	}
	f.registries[f.running[id]].End(id, answer, err)
	delete(f.running, id)
	f.answers[id] = answer
	if clementineport.VerdictOf(err) == clementineport.NotRun {
		f.runs[id]--
	}
}

// runEvents runs a fleet through random events and returns the first violated invariant, or "".
func runEvents(t *rapid.T, opts ...cpatmostonce.Option) string {
	f := &fleet{
		now: now, names: make([]clementineport.StartID, 3),
		opts:       append(opts, cpatmostonce.Generations(time.Minute, 3), cpatmostonce.Limits(rapid.IntRange(1, 8).Draw(t, "ids"), 400)),
		registries: map[clementineport.StartID]*cpatmostonce.Registry{},
		running:    map[clementineport.RequestID]clementineport.StartID{},
		runs:       map[clementineport.RequestID]int{},
		answers:    map[clementineport.RequestID]*clementineport.Answer{},
	}
	for i := range f.names {
		f.start(i)
	}
	var ids []clementineport.RequestID
	for n := range 40 {
		vm := rapid.IntRange(0, 2).Draw(t, "vm")
		switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
		case kind < 3 || len(ids) == 0:
			ticket := f.registries[f.names[vm]].Ticket(f.now)
			ids = append(ids, clementineport.RequestID(fmt.Sprintf("%s.%d", ticket, n)))
		case kind < 7:
			f.send(f.names[vm], rapid.SampledFrom(ids).Draw(t, "id"))
		case kind < 8:
			f.now = f.now.Add(time.Duration(rapid.IntRange(-60, 90).Draw(t, "s")) * time.Second)
		case kind < 9:
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if _, ok := f.running[id]; ok {
				f.end(id, rapid.SampledFrom([]clementineport.Fault{0, clementineport.FaultReset, clementineport.FaultShed}).Draw(t, "fault"))
			}
		case rapid.IntRange(0, 3).Draw(t, "restart") == 0:
			f.start(vm)
		}
		if f.violation != "" {
			break
		}
	}
	return f.violation
}

func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runEvents(t); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestRunsTwiceWithoutDeduplication(t *testing.T) {
	runs := rapid.Custom(func(t *rapid.T) string { return runEvents(t, cpatmostonce.AllowDuplicates()) })
	violations := 0
	for seed := range 100 {
		if runs.Example(seed) != "" {
			violations++
		}
	}
	assert.Assert(t, violations > 0)
}

func TestParseTicket(t *testing.T) {
	for id, ok := range map[clementineport.RequestID]bool{
		"s1.0.a": true, "s1.12.a.b": true,
		"": false, "s1": false, "s1.0": false, "s1.0.": false, ".0.a": false, "s1.x.a": false, "s1.01.a": false,
		"s1.-1.a": false, "s1.+1.a": false, "s1.99999999999999999999.a": false,
	} {
		_, _, got := cpatmostonce.ParseTicket(id)
		assert.Equal(t, got, ok, "%q", id)
	}
}

func TestResendJoinsAndThenGetsTheAnswer(t *testing.T) {
	r, err := cpatmostonce.New("s1", now, cpatmostonce.Generations(time.Minute, 2))
	assert.NilError(t, err)
	id := clementineport.RequestID(r.Ticket(now) + ".a")
	assert.Equal(t, r.Begin(now, id).Kind, cpatmostonce.Run)
	first := r.Begin(now, id)
	assert.Equal(t, first.Kind, cpatmostonce.Join)
	answer := &clementineport.Answer{Request: id, Verdict: clementineport.Ran}
	r.End(id, answer, nil)
	<-first.Pending.Done()
	joined, err := first.Pending.Outcome()
	assert.Assert(t, joined == answer && err == nil)
	done := r.Begin(now.Add(119*time.Second), id)
	assert.Assert(t, done.Kind == cpatmostonce.Done && done.Answer == answer && done.Err == nil)
	expired := r.Begin(now.Add(120*time.Second), id)
	assert.Assert(t, expired.Kind == cpatmostonce.Refuse && expired.Verdict == clementineport.MayHaveRun)
	other := r.Begin(now, "s2.0.a")
	assert.Assert(t, other.Kind == cpatmostonce.Redirect && other.Start == "s2")
	unknown := r.Begin(now, "s1.9.a")
	assert.Equal(t, clementineport.FaultOf(unknown.Err), clementineport.FaultInvalid)
	_, err = cpatmostonce.New("s.1", now)
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultInvalid)
}

func BenchmarkRemember(b *testing.B) {
	hit := clementineport.Hit{Record: strings.Repeat("r", 32), Fields: strings.Repeat("f", 64)}
	for _, ids := range []int{1_000, 100_000} {
		for name, answerBytes := range map[string]int{"verdict": 0, "answer of 10 hits": 1 << 30} {
			b.Run(fmt.Sprintf("IDs=%d/Kept=%s", ids, name), func(b *testing.B) {
				var before, after runtime.MemStats
				var kept []*cpatmostonce.Registry
				runtime.GC()
				runtime.ReadMemStats(&before)
				for b.Loop() {
					r, _ := cpatmostonce.New("0f8fad5b-d9cb-469f-a165-70867728950e", now, cpatmostonce.Limits(ids, answerBytes))
					for i := range ids {
						id := clementineport.RequestID(fmt.Sprintf("%s.%016x", r.Ticket(now), i))
						r.Begin(now, id)
						r.End(id, &clementineport.Answer{Verdict: clementineport.Ran, Hits: slices.Repeat([]clementineport.Hit{hit}, 10)}, nil)
					}
					kept = append(kept, r)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(ids*len(kept)), "kept-B/id")
				runtime.KeepAlive(kept)
			})
		}
	}
}
