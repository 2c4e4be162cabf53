package cpentry_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cptrace"
	"github.com/clementineport/clementineport/cpview"
)

// TestCallerGoneWhileNothingIsKnown checks that a query returns as soon as its context is canceled, even while it
// waits for targets to report their snapshots. The fake clock does not advance, so the wait cannot time out.
func TestCallerGoneWhileNothingIsKnown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := benchTable(1, func(int) string { return "" })
	tracer, err := cptrace.New(t.Context())
	assert.NilError(t, err)
	e := cpentry.New(
		cpentry.WithClock(clock), cpentry.WithTracer(tracer),
		cpentry.WithAdmitter(cpadmit.New(cpadmit.WithClock(clock))),
		cpentry.WithRelay(cprelay.New(cprelay.WithClock(clock)), nil),
		cpentry.WithControl(&staticControl{&cpview.View{
			Table: table, Targets: cppick.New().View(table),
			Owners: []int32{cpowner.NoMember}, StandbyOwners: []int32{cpowner.NoMember},
		}}),
	)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := e.Query(ctx, &clementineport.Query{
			Request: "r1", Service: "lookup", Idempotent: true, Deadline: clock.Now().Add(time.Second),
		})
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
	case <-time.After(10 * time.Second):
		t.Fatal("the query did not return after its context was canceled")
	}
}
