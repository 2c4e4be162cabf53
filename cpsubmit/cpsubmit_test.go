package cpsubmit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpestategen"
	"github.com/clementineport/clementineport/cpstore"
	"github.com/clementineport/clementineport/cpsubmit"
)

func smallText() []byte {
	e, err := cpestategen.Generate(cpestategen.SizeSmall)
	if err != nil {
		panic(err)
	}
	return cpestate.Format(e)
}

// submitted returns a store that holds revision 1 and a Submitter for it.
func submitted(t *testing.T, opts ...cpsubmit.Option) (*cpstore.Store, *cpsubmit.Submitter) {
	t.Helper()
	store := cpstore.New()
	s := cpsubmit.New(append([]cpsubmit.Option{cpsubmit.WithStore(store), cpsubmit.WithBackoff(time.Millisecond, 3)}, opts...)...)
	_, err := s.Submit(context.Background(), cpsubmit.Submission{ID: "first", Author: "ann", Text: smallText()})
	assert.NilError(t, err)
	return store, s
}

func TestFaultsOfTheStore(t *testing.T) {
	noReadBack := cpsubmit.AllRules()
	noReadBack.ReadBack = false
	for _, c := range []struct {
		name     string
		failures []cpstore.Failure
		rules    cpsubmit.Rules
		fault    clementineport.Fault // FaultUnknown means accepted
		applied  bool
	}{
		{"reply lost", []cpstore.Failure{{Mode: cpstore.ModeLoseReply, Calls: 1, WritesOnly: true}}, cpsubmit.AllRules(), 0, true},
		{"reply lost, not read back", []cpstore.Failure{{Mode: cpstore.ModeLoseReply, Calls: 1, WritesOnly: true}}, noReadBack, clementineport.FaultTimeout, true},
		{"reset before", []cpstore.Failure{{Mode: cpstore.ModeResetBefore, Calls: 1, WritesOnly: true}}, cpsubmit.AllRules(), 0, true},
		{"malformed reply", []cpstore.Failure{{Mode: cpstore.ModeMalformed, Calls: 1, WritesOnly: true}}, cpsubmit.AllRules(), 0, true},
		{"every reply lost", []cpstore.Failure{{Mode: cpstore.ModeLoseReply, WritesOnly: true}}, cpsubmit.AllRules(), 0, true},
		{"every request lost", []cpstore.Failure{{Mode: cpstore.ModeResetBefore, WritesOnly: true}}, cpsubmit.AllRules(), clementineport.FaultTimeout, false},
		{"reply lost, then down", []cpstore.Failure{{Mode: cpstore.ModeLoseReply, Calls: 1, WritesOnly: true}, {Mode: cpstore.ModeDown, SkipCalls: 1}}, cpsubmit.AllRules(), 0, true},
		{"down", []cpstore.Failure{{Mode: cpstore.ModeDown}}, cpsubmit.AllRules(), clementineport.FaultUnavailable, false},
		{"down for two calls", []cpstore.Failure{{Mode: cpstore.ModeDown, Calls: 2}}, cpsubmit.AllRules(), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store, s := submitted(t, cpsubmit.WithRules(c.rules))
			for _, f := range c.failures {
				store.Script.Add(f)
			}
			m := cpsubmit.OutRequest{ID: "move", Author: "bob", Action: cpsubmit.TakeOut, Kind: cpsubmit.KindDomain, Name: "a"}
			result, err := s.SetOut(context.Background(), m)
			if c.name == "reply lost, then down" {
				// The write took effect, but no read succeeded afterwards: the outcome is unknown until the operator
				// sends the same submission again.
				assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultTimeout)
				store.Script.Clear()
				result, err = s.SetOut(context.Background(), m)
				assert.Assert(t, result.Repeated)
			}
			assert.Equal(t, clementineport.FaultOf(err), c.fault)
			assert.Equal(t, err == nil, c.fault == 0)
			store.Script.Clear()
			cfg, _, err := cpsubmit.Read(context.Background(), store)
			assert.NilError(t, err)
			assert.Equal(t, len(cfg.OutOfService.Domains) == 1, c.applied)
			if c.fault == 0 {
				assert.Equal(t, result.Revision, clementineport.Revision(2))
				assert.Equal(t, cfg.Revision, clementineport.Revision(2))
			}
		})
	}
}

func TestTenOperatorsRace(t *testing.T) {
	store, s := submitted(t, cpsubmit.WithBackoff(time.Millisecond, 50))
	for i := range 4 {
		store.Script.Add(cpstore.Failure{Mode: cpstore.ModeLoseReply, Calls: 1, SkipCalls: 3 * i, WritesOnly: true})
		store.Script.Add(cpstore.Failure{Mode: cpstore.ModeResetBefore, Calls: 1, SkipCalls: 5 * i, WritesOnly: true})
	}
	var mu sync.Mutex
	var winners []clementineport.SubmissionID
	var conflicts []*cpsubmit.ConflictError
	var wg sync.WaitGroup
	for i := range 10 {
		name := fmt.Sprintf("op%d", i)
		wg.Go(func() {
			_, err := s.Submit(context.Background(), cpsubmit.Submission{
				ID: clementineport.SubmissionID(name), Author: name, BasedOn: 1, Text: append(smallText(), "# "+name+"\n"...),
			})
			mu.Lock()
			defer mu.Unlock()
			var conflict *cpsubmit.ConflictError
			if errors.As(err, &conflict) {
				conflicts = append(conflicts, conflict)
			} else if assert.Check(t, err) {
				winners = append(winners, clementineport.SubmissionID(name))
			}
		})
		wg.Go(func() {
			_, err := s.SetOut(context.Background(), cpsubmit.OutRequest{
				ID: clementineport.SubmissionID(name + "-out"), Author: name, Action: cpsubmit.TakeOut, Kind: cpsubmit.KindVM, Name: name,
			})
			assert.Check(t, err)
		})
	}
	wg.Wait()
	cfg, _, err := cpsubmit.Read(context.Background(), store)
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.OutOfService.VMs), 10, "no take-out was lost")
	assert.Assert(t, len(winners) <= 1, "a text may conflict with a take-out, but at most one text may be accepted")
	assert.Equal(t, int(cfg.Revision), 1+10+len(winners))
	assert.Equal(t, len(conflicts), 10-len(winners))
	for _, c := range conflicts {
		assert.Assert(t, len(c.Changes) > 0)
		assert.Equal(t, c.Changes[0].Revision, clementineport.Revision(2))
		assert.Assert(t, c.Changes[0].Author != "" && c.Changes[0].Summary != "" && !c.Changes[0].At.IsZero())
	}
	for i, change := range cfg.Changes {
		assert.Equal(t, int(change.Revision), i+1)
	}
}

func TestResendAfterManyChanges(t *testing.T) {
	store, s := submitted(t)
	ctx := context.Background()
	first := cpsubmit.OutRequest{ID: "m", Author: "ann", BasedOn: 1, Action: cpsubmit.TakeOut, Kind: cpsubmit.KindVM, Name: "vm"}
	_, err := s.SetOut(ctx, first)
	assert.NilError(t, err)
	for i := range cpsubmit.MaxChanges {
		id := clementineport.SubmissionID(fmt.Sprint("back-", i))
		_, err := s.SetOut(ctx, cpsubmit.OutRequest{ID: id, Author: "bob", Action: cpsubmit.BringBack, Kind: cpsubmit.KindVM, Name: "vm"})
		assert.NilError(t, err)
	}
	_, err = s.SetOut(ctx, first)
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultDuplicate)
	_, err = s.Submit(ctx, cpsubmit.Submission{ID: "first", Author: "ann", Text: smallText()})
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultDuplicate, "it was accepted, so the error must not say that it was refused")
	cfg, _, err := cpsubmit.Read(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.OutOfService.VMs), 0, "the resend did not take the VM out again")
	assert.Equal(t, len(cfg.Changes), cpsubmit.MaxChanges)
}

func TestRestoredStore(t *testing.T) {
	var inForce *clementineport.Config
	store, s := submitted(t, cpsubmit.WithInForce(func() *clementineport.Config { return inForce }))
	image := store.Save()
	out := cpsubmit.OutRequest{ID: "out", Author: "ann", Action: cpsubmit.TakeOut, Kind: cpsubmit.KindDomain, Name: "b"}
	result, err := s.SetOut(context.Background(), out)
	assert.NilError(t, err)
	inForce = result.Config
	store.Restore(image)
	result, err = s.Submit(context.Background(), cpsubmit.Submission{ID: "text", Author: "bob", BasedOn: 2, Text: smallText()})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, clementineport.Revision(3))
	assert.Assert(t, result.Restored)
	assert.DeepEqual(t, result.Config.OutOfService.Domains, []clementineport.FailureDomain{"b"})
}

// TestRefusalWhileAWriteMayArrive checks the error of a submission that conflicts with a newer configuration while
// its own delayed write may still be accepted, because a restored store is at the version that the write expects.
// A conflict error would claim that the submission was not applied.
func TestRefusalWhileAWriteMayArrive(t *testing.T) {
	const version = 5
	config := func(r clementineport.Revision) *clementineport.Config {
		return &clementineport.Config{Revision: r, Changes: []clementineport.Change{{Revision: r, Submission: "other"}}}
	}
	for _, c := range []struct {
		version uint64
		fault   clementineport.Fault
	}{{version, clementineport.FaultTimeout}, {version + 1, clementineport.FaultConflict}} {
		session := cpsubmit.NewTextSession(cpsubmit.Submission{ID: "text", Author: "ann", BasedOn: 1}, noCheck())
		step := session.Read(config(1), nil, version, time.Time{})
		assert.Equal(t, step.Kind, cpsubmit.StepWrite)
		session.Wrote(clementineport.Fail(clementineport.FaultTimeout, "late"))
		step = session.Read(config(1), config(2), c.version, time.Time{})
		assert.Equal(t, clementineport.FaultOf(step.Err), c.fault)
	}
}

func TestRefusedBeforeTheStoreIsAsked(t *testing.T) {
	store, s := submitted(t)
	calls := store.Counts()
	_, err := s.Submit(context.Background(), cpsubmit.Submission{ID: "x", Author: "ann", BasedOn: 1, Text: []byte("Region: 1\nMore: 2\n")})
	var faults cpestate.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
	for _, m := range []cpsubmit.OutRequest{
		{ID: "x", Author: "ann", Action: "drop", Kind: cpsubmit.KindVM, Name: "vm"},
		{ID: "x", Author: "ann", Action: cpsubmit.TakeOut, Kind: "rack", Name: "vm"},
		{ID: "x", Author: "ann", Action: cpsubmit.TakeOut, Kind: cpsubmit.KindVM},
		{Author: "ann", Action: cpsubmit.TakeOut, Kind: cpsubmit.KindVM, Name: "vm"},
	} {
		_, err := s.SetOut(context.Background(), m)
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultInvalid)
	}
	assert.DeepEqual(t, store.Counts(), calls)
	_, err = s.SetOut(context.Background(), cpsubmit.OutRequest{ID: "x", Author: "ann", Action: cpsubmit.TakeOut, Kind: cpsubmit.KindDomain, Name: "z"})
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultInvalid, "an unknown failure domain")
}

func ExampleSubmitter_Submit() {
	store := cpstore.New() // any clementineport.Store
	s := cpsubmit.New(cpsubmit.WithStore(store))
	ctx := context.Background()
	e, _ := cpestategen.Generate(cpestategen.SizeSmall)

	first, err := s.Submit(ctx, cpsubmit.Submission{ID: "1", Author: "ann", BasedOn: 0, Text: cpestate.Format(e)})
	fmt.Println(first.Revision, err)

	e.Groups[0].Slots = 8
	edited := cpestate.Format(e)
	_, err = s.Submit(ctx, cpsubmit.Submission{ID: "2", Author: "ann", BasedOn: 1, Text: edited})
	fmt.Println(err)

	_, err = s.Submit(ctx, cpsubmit.Submission{ID: "3", Author: "bob", BasedOn: 1, Text: edited})
	fmt.Println(clementineport.VerdictOf(err), err)
	// Output:
	// 1 <nil>
	// <nil>
	// not-run revision 2 is in force; revision 2 by ann: group changed: lookup
}

func BenchmarkSetOut(b *testing.B) {
	for _, operators := range []int{1, 10} {
		b.Run(fmt.Sprintf("Operators=%d", operators), func(b *testing.B) {
			store := cpstore.New()
			s := cpsubmit.New(cpsubmit.WithStore(store))
			_, err := s.Submit(context.Background(), cpsubmit.Submission{ID: "first", Author: "ann", Text: smallText()})
			assert.NilError(b, err)
			before := store.Counts()
			round := 0
			for b.Loop() {
				round++
				var wg sync.WaitGroup
				for i := range operators {
					wg.Go(func() {
						_, err := s.SetOut(context.Background(), cpsubmit.OutRequest{
							ID: clementineport.SubmissionID(fmt.Sprint(round, "-", i)), Author: "ann",
							Action: cpsubmit.TakeOut, Kind: cpsubmit.KindVM, Name: fmt.Sprint(i),
						})
						assert.Check(b, err)
					})
				}
				wg.Wait()
			}
			changes := float64(round * operators)
			after := store.Counts()
			for _, op := range []string{"get", "compare-and-swap"} {
				b.ReportMetric(float64(after[op]-before[op])/changes, op+"s/change")
			}
		})
	}
}

func BenchmarkSubmit(b *testing.B) {
	e, err := cpestategen.Generate(cpestategen.SizeTwoYear)
	assert.NilError(b, err)
	texts := [][]byte{cpestate.Format(e)}
	e.Groups[0].Slots++
	texts = append(texts, cpestate.Format(e))
	b.Run("Targets=3900", func(b *testing.B) {
		s := cpsubmit.New(cpsubmit.WithStore(cpstore.New()))
		for n := 0; b.Loop(); n++ {
			_, err := s.Submit(context.Background(), cpsubmit.Submission{
				ID: clementineport.SubmissionID(fmt.Sprint(n)), Author: "ann", BasedOn: clementineport.Revision(n), Text: texts[n%2],
			})
			assert.NilError(b, err)
		}
	})
}
