package cpforward_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpquota"
)

// Guards against a VM that has just started, has reached no other VM yet, and takes the extra calls of all VMs for itself.
func TestAVMThatStartsSharesExtraCallsWithAllVMsThatTheStoreLists(t *testing.T) {
	f := newFleet("a")
	const slack, registered = 20_000, 295
	f.view.VMs, f.view.Registered = 1, registered
	for _, c := range f.clients["a"] {
		c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
	}
	fw := f.forwarder(cpforward.WithRetryBound(cpquota.RetryBound{Slack: slack, Window: 10 * time.Second}))
	requests := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); requests++ {
		fw.Forward(context.Background(), singleRoute(true), request(100*time.Millisecond, 0))
	}
	extra := f.calls() - requests
	assert.Assert(t, extra <= slack/registered, "%d extra calls of the %d that are this VM's part in a window", extra, slack/registered)
}
