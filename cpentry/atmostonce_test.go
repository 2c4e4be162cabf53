package cpentry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpatmostonce"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cptrace"
	"github.com/clementineport/clementineport/cpview"
)

// TestRefusalOfAResend checks that a VM that refuses new queries returns the verdict "not run" only for a request
// that has started neither here nor in the process that its id belongs to.
func TestRefusalOfAResend(t *testing.T) {
	leaving := clementineport.Fail(clementineport.FaultDraining, "leaving")
	clock := clockwork.NewFakeClock()
	registry, err := cpatmostonce.New("s1", clock.Now())
	assert.NilError(t, err)
	tracer, err := cptrace.New(t.Context())
	assert.NilError(t, err)
	e := cpentry.New(
		cpentry.WithClock(clock), cpentry.WithAtMostOnce(registry), cpentry.WithTracer(tracer),
		cpentry.WithControl(&staticControl{&cpview.View{}}),
		cpentry.WithInServiceCheck(func() error { return leaving }),
	)
	query := func(id clementineport.RequestID, idempotent bool) (*clementineport.Answer, error) {
		return e.Query(t.Context(), &clementineport.Query{
			Request: id, Service: "lookup", Idempotent: idempotent, Deadline: clock.Now().Add(time.Second),
		})
	}
	ran := &clementineport.Answer{Request: "s1.0.ran", Verdict: clementineport.Ran}
	registry.Begin(clock.Now(), ran.Request)
	registry.End(ran.Request, ran, nil)
	registry.Begin(clock.Now(), "s1.0.failed")
	registry.End("s1.0.failed", nil, clementineport.Fail(clementineport.FaultReset, "test"))

	answer, err := query(ran.Request, false)
	assert.NilError(t, err)
	assert.Equal(t, answer, ran)
	_, err = query("s1.0.failed", false)
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.MayHaveRun)
	_, err = query("s0.0.elsewhere", false)
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.MayHaveRun)
	for _, idempotent := range []bool{false, true} {
		_, err = query("s1.0.new", idempotent)
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultDraining)
	}
	assert.Equal(t, registry.Begin(clock.Now(), "s1.0.new").Kind, cpatmostonce.Run)
}
