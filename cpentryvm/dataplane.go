package cpentryvm

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpbudget"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cptarget/cphttp"
	"github.com/clementineport/clementineport/cptrace"
)

// hedgeMaxLoadTenths is the load, in tenths of the admission limit, above which no hedges are sent.
const hedgeMaxLoadTenths = 8

func (n *Node) newDataPlane() {
	n.limiter = cplimit.New(cplimit.Clock(n.clock), cplimit.Seed(n.seed))
	n.pool = cprelay.NewPool(n.dialTarget)
	n.peers = cppeerconns.NewShared(n.dialPeer)
	n.admitter = cpadmit.New(cpadmit.WithClock(n.clock), cpadmit.WithSeed(n.seed), cpadmit.WithMetrics(n.metrics))
}

func (n *Node) newEntry() {
	owner := cprelay.NewOwner(n.clock, n.pool, n.limiter, n.control.MaySend)
	sender := cprelay.New(
		cprelay.WithSelf(n.self.ID),
		cprelay.WithClock(n.clock),
		cprelay.WithLocal(owner),
		cprelay.WithMetrics(n.metrics),
		cprelay.WithObserver(
			func(_ clementineport.VMID, began time.Time) { n.control.RecordContact(began) },
			n.control.ProbeSoon,
		),
	)
	hedges, retries := cpbudget.NewPair()
	opts := []cpentry.Option{
		cpentry.WithClock(n.clock),
		cpentry.WithSelf(n.self),
		cpentry.WithControl(n.control),
		cpentry.WithRelay(sender, owner),
		cpentry.WithPeers(n.peers),
		cpentry.WithAdmitter(n.admitter),
		cpentry.WithAtMostOnce(n.atMostOnce),
		cpentry.WithGather(cpgather.NewOptions(cpgather.Budgets(hedges, retries), cpgather.SuppressHedges(n.nearAdmissionLimit))),
		cpentry.WithTracer(n.tracer),
		cpentry.WithMetrics(n.metrics),
		cpentry.WithInServiceCheck(n.drain.admit),
	}
	if n.settings.AllowPolicy {
		n.baseline = newBaseline(n)
		opts = append(opts, cpentry.WithBaseline(n.baseline.policy))
	}
	n.entry = cpentry.New(opts...)
}

// nearAdmissionLimit reports whether the VM is too close to its admission limit to send hedges.
func (n *Node) nearAdmissionLimit() bool {
	return n.admitter.InProgress()*10 > n.admitter.Limit()*hedgeMaxLoadTenths
}

func (n *Node) dialTarget(t *clementineport.TargetRow, connections int) clementineport.Target {
	id := t.ID
	client := cphttp.New(
		cphttp.Clock(n.clock),
		cphttp.Address(t.Address),
		cphttp.Connections(connections),
		cphttp.Concurrency(t.Group.Slots+1),
		cphttp.MaySend(n.control.MaySend),
		cphttp.OnTargetClose(func() { n.limiter.SuspectRestart(id) }),
		cphttp.Header(func(ctx context.Context, h http.Header) {
			if traceparent := n.tracer.Inject(ctx); traceparent != "" {
				h.Set("Traceparent", traceparent)
			}
		}),
	)
	if !n.tracer.Recording() {
		return client
	}
	return &tracedTarget{Client: client, tracer: n.tracer}
}

// tracedTarget records a span for each call to a target.
type tracedTarget struct {
	*cphttp.Client
	tracer *cptrace.Tracer
}

// Search implements clementineport.Target.
func (t *tracedTarget) Search(ctx context.Context, c *clementineport.Call) (*clementineport.Reply, error) {
	ctx, end := t.tracer.Start(ctx, "target",
		attribute.String("target", string(c.Target)), attribute.Int("shard", int(c.Shard)))
	reply, err := t.Client.Search(ctx, c)
	end(err)
	return reply, err
}

func (n *Node) dialPeer(vm clementineport.VM) clementineport.Peer {
	return cpconnect.New(append(
		n.peerOptions(),
		cpconnect.WithAddress(vm.Peer),
		cpconnect.WithRevision(n.revision, func(r clementineport.Revision, _ clementineport.VMID) { n.control.ObserveRevision(r, vm.ID) }),
	)...)
}

func (n *Node) peerOptions() []cpconnect.Option {
	return []cpconnect.Option{
		cpconnect.WithSelf(n.self.ID),
		cpconnect.WithToken(n.token),
		cpconnect.WithClock(n.clock),
		cpconnect.WithTracer(n.tracer),
		cpconnect.WithCodec(cpestate.EncodeConfig, cpestate.DecodeConfig),
		cpconnect.WithMaxMessageSize(int(n.settings.Limits.PeerBodyBytes)),
	}
}

func (n *Node) revision() clementineport.Revision { return n.control.View().Revision }
