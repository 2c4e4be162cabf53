package cpreroute

import (
	"context"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpreach"
)

// Receiver runs the requests of VMs that reach no target. It is safe for concurrent use.
type Receiver struct {
	options Options
}

// NewReceiver returns a receiver.
func NewReceiver(opts ...Option) *Receiver { return &Receiver{options: NewOptions(opts...)} }

// Reroute runs a request of another VM. That VM has authenticated it; this one only checks that the request has a workspace if it
// needs one. It implements the method of cppeer.Handler.
func (c *Receiver) Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	ctx, done := c.options.Requests.Begin(ctx)
	defer done()
	account, end := c.options.NewAccount()
	defer end()
	r.Memory = account
	began := c.options.Clock.Now()
	result, version := c.run(ctx, r)
	c.options.OnReceived(r, result, c.options.Clock.Now().Sub(began))
	return &clementineport.ReroutedResult{OpaqueResult: result.OpaqueResult, Version: version}, nil
}

// run runs a request, and returns its result and the version of the routes by which it was handled.
func (c *Receiver) run(ctx context.Context, r *clementineport.ReroutedRequest) (*cpforward.Result, clementineport.Revision) {
	if err := c.options.Admit(); err != nil {
		return cpforward.Failed(err), 0
	}
	view := c.options.View()
	switch {
	case view.Router == nil:
		return cpforward.Failed(clementineport.Fail(clementineport.FaultStale, "routes are not known yet")), 0
	case view.Router.Table().Version < r.Version:
		return cpforward.Failed(clementineport.Fail(clementineport.FaultStale, "routes are of version %d, needed is %d", view.Router.Table().Version, r.Version)), 0
	case c.options.Reach.State() == cpreach.Lost:
		return cpforward.Failed(clementineport.Fail(clementineport.FaultUnreached, "this VM reaches no target either")), 0
	}
	version := view.Router.Table().Version
	route := view.Router.Match(r.Host, path(r.URI))
	if r.Route != 0 && (route == nil || route.Fingerprint() != r.Route) {
		// The callers of the sender must not see the effect of routes that it doesn't have yet.
		return cpforward.Failed(clementineport.Fail(clementineport.FaultStale, "the route is another one in version %d", version)), version
	}
	if route == nil {
		return cpforward.Failed(clementineport.Fail(clementineport.FaultNotFound, "no route for %s%s in version %d", r.Host, path(r.URI), version)), version
	}
	if r.Workspace == "" && !route.Public && view.Router.Workspaces().Required() {
		// The sender has older routes, by which the request needs no key, or knows no workspaces.
		return cpforward.Failed(clementineport.Fail(clementineport.FaultStale, "the request needs a workspace in version %d", version)), version
	}
	request := r.OpaqueRequest
	request.Deadline = earlier(request.Deadline.Add(-replyMargin), request.Arrived.Add(route.Timeout))
	if err := c.options.AdmitRequest(route, request.Deadline); err != nil {
		return cpforward.Failed(err), 0
	}
	if err := clementineport.GrowLarge(request.Memory, (1+messageCopies)*request.MemoryBytes()); err != nil {
		return cpforward.Failed(err), 0
	}
	return c.options.Forward(ctx, route, &request), version
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// path returns the path of a URI.
func path(uri string) string {
	p, _, _ := strings.Cut(uri, "?")
	return p
}
