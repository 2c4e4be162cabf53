package cpplatformvm

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/platform/cpconf"
	"github.com/clementineport/clementineport/platform/cpfront"
)

// maxKeyAge returns the age of the view from which no key is accepted, or zero if keys are accepted at any age.
func maxKeyAge(b *cpconf.Bounds) time.Duration {
	if !b.StrictRevoke {
		return 0
	}
	return b.Revoke
}

// watchBound returns the time within which a change in the store must be known. If keys are refused by a view older than some
// age, the view must be confirmed more often than that.
func watchBound(b *cpconf.Bounds) time.Duration {
	if age := maxKeyAge(b); age > 0 {
		return min(b.ConfigApply, age)
	}
	return b.ConfigApply
}

// forwardRerouted runs a request of another VM on targets. That VM has set the workspace in the headers if its configuration has
// workspaces. It may have an older one, or be of an earlier build, so the headers are set here again.
func (p *Process) forwardRerouted(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) *cpforward.Result {
	if p.watcher.View().Router.Workspaces().Required() {
		cpfront.SetWorkspace(r.Header, r.Workspace)
	}
	return p.forwarder.Forward(ctx, route, r)
}
