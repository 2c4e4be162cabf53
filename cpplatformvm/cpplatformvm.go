// Package cpplatformvm assembles the process of one entry VM on the users' platform. It connects the packages that make
// decisions with the adapters for the platform, and runs them under one supervisor; it makes no decisions itself.
package cpplatformvm

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpclientlimit"
	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cpplan"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cpratelimit"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
	"github.com/clementineport/clementineport/cpreach"
	"github.com/clementineport/clementineport/cpregistration"
	"github.com/clementineport/clementineport/cpreroute"
	"github.com/clementineport/clementineport/cprollout"
	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/cptarget/cpopaque"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/platform/cpconf"
	"github.com/clementineport/clementineport/platform/cpfront"
	"github.com/clementineport/clementineport/platform/cpkv"
	"github.com/clementineport/clementineport/platform/cpschema"
)

// Error is the class of errors in running a process.
var Error = errs.Class("platform process")

// Process runs one entry VM.
type Process struct {
	settings  atomic.Pointer[cpconf.Settings]
	log       *cplog.Log
	clock     clementineport.Clock
	self      clementineport.Member
	watcher   *cpfleetwatch.Watcher
	callers   *cpserver.Limited
	forwarder *cpforward.Forwarder
	// sender has requests run by other VMs while this VM reaches no target, and receiver runs those of other VMs.
	sender   *cpreroute.Sender
	receiver *cpreroute.Receiver
	// limiter enforces the quotas of workspaces.
	limiter *cpratelimit.Limiter
	// reach tracks whether this VM reaches targets.
	reach *cpreach.Tracker
	// rollouts limits and counts the requests to new versions.
	rollouts *cprollout.Tracker
	// readBudget bounds the large responses of all targets.
	readBudget *cpopaque.ReadBudget
	// clients bounds what clients hold.
	clients *cpclientlimit.Limiter
	// meter measures the load of this VM.
	meter     *cpactiveset.Meter
	registrar clementineport.Registrar
	front     *cpfront.Front
	drain     *drainer
	// requests counts the requests in flight, of callers and of other VMs, and ends them in a shutdown.
	requests *cpdrain.Requests
	// fleet is the name of the fleet.
	fleet string
	// metricsAddress is the address of the metrics listener; if empty, there is none.
	metricsAddress string
}

// Config configures a Process.
type Config struct {
	Settings *cpconf.Settings
	Log      *cplog.Log
	// MetricsPort is the port of the metrics listener on the host of the caller address; if empty, there is none.
	MetricsPort string
	// Fleet is the name of the fleet. VMs of different fleets ignore each other. If empty, it is the address of the store.
	Fleet string
}

// New returns a process that Run starts.
func New(cfg *Config) (*Process, error) {
	host, _, err := net.SplitHostPort(cfg.Settings.Caller)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Process{log: cfg.Log, clock: clockwork.NewRealClock(), fleet: cfg.Fleet, requests: cpdrain.NewRequests()}
	if p.fleet == "" {
		p.fleet = "fleet at " + cfg.Settings.Store.Address
	}
	if cfg.MetricsPort != "" {
		p.metricsAddress = net.JoinHostPort(host, cfg.MetricsPort)
	}
	s := cfg.Settings
	p.settings.Store(s)
	p.self = clementineport.Member{
		VM: clementineport.VM{
			ID: s.VM, Domain: s.Domain, Caller: s.Caller, Peer: s.Peer,
			Capacity: clementineport.VMCapacity{Cores: s.Limits.Cores, LinkMbps: s.Limits.LinkMbps},
		},
		Start: clementineport.StartID(uuid.NewString()),
	}
	p.meter = cpactiveset.NewMeter(s.Limits.Cores)
	p.drain = newDrainer(s, p.clock)
	p.build(s)
	return p, nil
}

// leaseFactor is the number of renewal periods in the lease of a registration.
const leaseFactor = 3

// Shares of Bounds.ConfigApply, the time within which a new configuration must be in force; those of the watch are shares of
// watchBound.
const (
	// watchPeriodShare sets the minimum time between calls to the store while entries change often.
	watchPeriodShare = 0.3
	// watchWaitShare limits how long a watch waits for a change, so that a dead connection is detected in time.
	watchWaitShare = 0.4
	// staleShare sets the age up to which the routes are assumed to be current.
	staleShare = 0.75
)

// maxOverdueShare sets the time without an answer after which the path to the targets is checked. It is a part of
// Bounds.UndisturbedTime, within which callers of a VM that reaches no target must be served.
const maxOverdueShare = 0.25

// share returns a part of d.
func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }

// coldReportHeartbeats is the number of heartbeats within which a target that became cold reports it. One is not
// enough, because the next heartbeat to arrive may have been sent before the target became cold.
const coldReportHeartbeats = 2

// readMemoryShare is the share of the memory of the VM that large responses may take while they are read.
const readMemoryShare = 0.125

// newReadBudget returns the budget of large responses. It is that of a single client if the memory is not known.
func newReadBudget(l cpconf.Limits) *cpopaque.ReadBudget {
	if l.MemoryBytes == 0 {
		return cpopaque.NewReadBudget(cpopaque.DefaultReadBudget)
	}
	return cpopaque.NewReadBudget(int64(float64(l.MemoryBytes) * readMemoryShare))
}

// build creates the registrar, the watcher, the forwarder and the front.
func (p *Process) build(s *cpconf.Settings) {
	p.readBudget = newReadBudget(s.Limits)
	p.clients = newClientLimiter(s.Limits)
	p.reach = cpreach.New(cpreach.WithMaxOverdue(max(cpreach.DefaultMinOverdue, share(s.Bounds.UndisturbedTime, maxOverdueShare))))
	p.rollouts = cprollout.NewTracker(cprollout.WithBounds(rolloutBounds(s.Bounds)), cprollout.WithStart(string(p.self.Start)))
	store := cpkv.New(cpkv.WithAddress(s.Store.Address))
	apply, watch := s.Bounds.ConfigApply, watchBound(&s.Bounds)
	p.registrar = cpschema.NewRegistrar(store, max(s.Store.MinLeaseTTL, leaseFactor*cpregistration.DefaultRenewPeriod))
	p.watcher = cpfleetwatch.New(
		cpfleetwatch.WithSelf(p.self),
		cpfleetwatch.WithSource(cpschema.NewSource(store)),
		cpfleetwatch.WithRegistration(cpregistration.WithRegistrar(p.registrar),
			cpregistration.WithStoreWritesPerSecond(s.Store.WritesPerSecond)),
		cpfleetwatch.WithSeeds(seeds(s)...),
		cpfleetwatch.WithDial(p.dialPeer),
		cpfleetwatch.WithTargetClient(p.newTargetClient),
		cpfleetwatch.WithOnRoutes(p.setRoutes),
		cpfleetwatch.WithReach(p.reach),
		cpfleetwatch.WithLoad(p.load),
		cpfleetwatch.WithRollouts(p.rollouts, cpschema.NewRolloutStore(store)),
		cpfleetwatch.WithLog(p.log.Logger),
		cpfleetwatch.WithSeed(rand.Uint64()),
		cpfleetwatch.WithWatchTimes(share(watch, watchPeriodShare), share(watch, watchWaitShare)),
		cpfleetwatch.WithCatalog(cpcatalog.WithAssumedColdTime(coldReportHeartbeats*s.Heartbeat+share(watch, watchPeriodShare))),
		cpfleetwatch.WithIsolation(apply+s.Bounds.ConfigOutageDelay, s.Bounds.UndisturbedTime),
	)
	p.forwarder = cpforward.New(
		cpforward.WithReach(p.reach),
		cpforward.WithPlanner(cpplan.New(cpplan.WithCores(s.Limits.Cores))),
		cpforward.WithRollouts(p.rollouts, p.watcher.Age),
		cpforward.WithView(p.watcher.View),
		cpforward.WithSeed(rand.Uint64()),
		cpforward.WithRetryBound(cpquota.RetryBound{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow,
		}),
		cpforward.WithColdBound(s.Bounds.ColdOverrun, s.Bounds.ColdSlack),
		cpforward.WithOnCallFailed(p.callFailed),
		cpforward.WithOnReport(p.watcher.RequestReport),
		cpforward.WithOnTargetChange(p.targetChanged), cpforward.WithOnOverload(p.admissionChanged),
	)
	peers := cppeerconns.NewShared(p.dialPeer)
	reroute := []cpreroute.Option{
		cpreroute.WithView(p.watcher.View), cpreroute.WithReach(p.reach),
		cpreroute.WithPeers(peers), cpreroute.WithOnSent(p.requestRerouted),
		cpreroute.WithAdmit(p.admit), cpreroute.WithAdmitRequest(p.admitRequest),
		cpreroute.WithRequests(p.requests),
		cpreroute.WithNewAccount(p.newAccount),
		cpreroute.WithOnReceived(p.reroutedCompleted),
		cpreroute.WithOnNewerRoutes(p.watcher.NewerRoutes),
	}
	p.sender = cpreroute.NewSender(append(reroute, cpreroute.WithForward(p.forwarder.Forward, p.forwarder.Stay, p.forwarder.SpendRetry))...)
	p.receiver = cpreroute.NewReceiver(append(reroute, cpreroute.WithForward(p.forwardRerouted, nil, nil))...)
	p.limiter = cpratelimit.New(
		cpratelimit.WithSelf(p.self),
		cpratelimit.WithView(p.watcher.View),
		cpratelimit.WithPeers(peers),
		cpratelimit.WithForward(p.sender.Forward),
		cpratelimit.WithBounds(cpquotas.Bounds{Window: s.Bounds.QuotaWindow, Overrun: s.Bounds.QuotaOverrun, Slack: s.Bounds.QuotaSlack}),
		cpratelimit.WithSalt(rand.Uint64()),
		cpratelimit.WithLog(p.log.Logger),
	)
	p.front = cpfront.New(
		cpfront.WithView(p.watcher.View, p.watcher.Age),
		cpfront.WithBehind(p.sender.Behind),
		cpfront.WithAdmit(p.admit),
		cpfront.WithAdmitRequest(p.admitRequest),
		cpfront.WithRequests(p.requests),
		cpfront.WithForward(p.limiter.Forward),
		cpfront.WithOnComplete(p.requestCompleted),
		cpfront.WithStaleAfter(share(apply, staleShare)),
		cpfront.WithMaxKeyAge(maxKeyAge(&s.Bounds)),
	)
	p.callers = cpserver.NewLimited(p.front, p.limits, closeTimeout)
}

// setRoutes applies a new version of the routes.
func (p *Process) setRoutes(table *clementineport.RouteTable) {
	p.forwarder.SetRoutes(table)
	p.limiter.SetRoutes(table)
}

// rolloutBounds returns the fleet-wide limits of rollouts. Without a share in the settings, orders are ignored.
func rolloutBounds(b cpconf.Bounds) cprollout.Bounds {
	return cprollout.Bounds{Share: b.CanaryShare, Slack: b.CanarySlack, Contact: b.UndisturbedTime, Outage: b.ConfigOutageDelay}
}

// seeds returns the VMs of the settings, except for this one, to contact before other VMs are known.
func seeds(s *cpconf.Settings) []clementineport.VM {
	var vms []clementineport.VM
	for _, address := range s.Seeds {
		if address != s.Peer {
			vms = append(vms, clementineport.VM{ID: clementineport.VMID("seed " + address), Peer: address})
		}
	}
	return vms
}

// newTargetClient returns a client for a target.
func (p *Process) newTargetClient(d clementineport.TargetInstance, connections int, notice clementineport.TargetNotice) clementineport.OpaqueTarget {
	return cpopaque.New(
		cpopaque.WithHeaderNames(cpfront.TargetHeaders()),
		cpopaque.WithTarget(d.ID, d.Address),
		cpopaque.WithConnections(connections),
		cpopaque.WithReadBudget(p.readBudget),
		cpopaque.WithNotice(notice),
		cpopaque.WithOnConnect(func() { p.reach.Connected(p.clock.Now()) }),
		cpopaque.WithOnLeaving(func() { p.watcher.TargetLeaving(d.Run()) }),
		cpopaque.WithOnLimit(func(limited bool, rate clementineport.RequestRate) {
			p.watcher.TargetLimit(clementineport.TargetLimit{Run: d.Run(), Limited: limited, Rate: rate})
		}),
		cpopaque.WithOnInvalidLimit(func(stated string) { p.limitRejected(&d, stated) }),
		cpopaque.WithOnClosed(func(closedFor time.Duration) { p.targetClosed(&d, closedFor) }),
		cpopaque.WithOnInvalidRetryAfter(func(stated string, used time.Duration) { p.retryAfterRejected(&d, stated, used) }),
	)
}

// dialPeer returns a client for another VM.
func (p *Process) dialPeer(vm clementineport.VM) clementineport.Peer {
	return cpconnect.New(append(p.peerOptions(), cpconnect.WithAddress(vm.Peer))...)
}

// peerOptions returns the options that client and server of the protocol between VMs share. The platform provides no
// secret, so the token only separates VMs of different fleets.
func (p *Process) peerOptions() []cpconnect.Option {
	return []cpconnect.Option{
		cpconnect.WithSelf(p.self.ID),
		cpconnect.WithToken(cptoken.New(p.fleet)),
		cpconnect.WithCodec(cpfleetwatch.EncodeConfig, cpfleetwatch.DecodeConfig),
		cpconnect.WithStoreEra(p.watcher.StoreEra),
	}
}

// admit returns the reason for which this VM refuses new requests, or nil.
func (p *Process) admit() *clementineport.Error {
	if err := p.drain.admit(); err != nil {
		return err
	}
	if p.watcher.Isolated() {
		return clementineport.Fail(clementineport.FaultStale, "what this VM knows is %v old and no other VM answers", p.watcher.Age())
	}
	return nil
}

// admitRequest returns the reason for which this VM refuses a request on a route with a deadline, or nil.
func (p *Process) admitRequest(route *clementineport.Route, deadline time.Time) *clementineport.Error {
	if p.drain.serving() {
		return nil
	}
	return p.drain.admitRequest(route, deadline, p.forwarder.HighLatency(route.Name))
}

// ready reports whether callers may be directed to this VM.
func (p *Process) ready() bool {
	return p.watcher.View().Router != nil && p.drain.serving() && !p.watcher.Isolated() && p.callers.Accepting()
}

// peerHandler serves the calls of other VMs.
type peerHandler struct {
	*cpfleetwatch.Watcher
	receiver *cpreroute.Receiver
	limiter  *cpratelimit.Limiter
}

// Quota implements cppeer.Handler.
func (h *peerHandler) Quota(ctx context.Context, r *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	return h.limiter.Quota(ctx, r)
}

// Reroute implements cppeer.Handler.
func (h *peerHandler) Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	return h.receiver.Reroute(ctx, r)
}

// addresses returns the addresses that callers may connect to.
func (p *Process) addresses() []string {
	var addresses []string
	for _, m := range p.watcher.View().NamedVMs(rand.Float64) {
		if m.ID == p.self.ID && !p.ready() {
			continue
		}
		addresses = append(addresses, m.Caller)
	}
	return addresses
}

// Run runs the process until a shutdown signal arrives and the shutdown has ended, or ctx is done.
func (p *Process) Run(ctx context.Context, signals <-chan os.Signal) error {
	services, err := p.services()
	if err != nil {
		return err
	}
	root := suture.New("clementineport", suture.Spec{EventHook: p.logSupervisor})
	for _, s := range services {
		root.Add(s)
	}
	p.log.Info(string(cplogevent.Started), zap.String("VM", string(p.self.ID)), zap.String("Domain", string(p.self.Domain)),
		zap.String("Start", string(p.self.Start)), zap.String("Caller", p.self.Caller), zap.String("Peer", p.self.Peer))
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended := root.ServeBackground(running)
	p.waitForShutdown(running, signals)
	stop()
	<-ended
	p.log.Info(string(cplogevent.Stopped), zap.Int("InFlight", p.requests.InFlight()))
	return nil
}

// logSupervisor logs an event of the supervisor.
func (p *Process) logSupervisor(e suture.Event) {
	if e.Type() != suture.EventTypeStopTimeout {
		p.log.Error(string(cplogevent.ServiceFailed), zap.String("Detail", e.String()))
		return
	}
	p.log.Info(string(cplogevent.ServiceStopped), zap.String("Detail", e.String()))
}

// waitForShutdown handles signals and advances the shutdown until it has ended or ctx is done.
func (p *Process) waitForShutdown(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	last := cpdrain.StateServing
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			p.signal(ctx, s)
		case <-ticker.C:
		}
		state := p.drain.tick(p.requests.InFlight())
		if state != last {
			p.log.Info(string(cplogevent.DrainState), zap.String("State", state.String()), zap.Int("InFlight", p.requests.InFlight()))
		}
		if state >= cpdrain.StateAnswering {
			p.requests.End()
		}
		if last = state; state == cpdrain.StateEnded {
			return
		}
	}
}

// signal reloads the settings on SIGHUP and begins a shutdown on other signals.
func (p *Process) signal(ctx context.Context, s os.Signal) {
	if isReload(s) {
		p.reload("Signal")
		return
	}
	p.log.Info(string(cplogevent.Signaled), zap.String("Signal", s.String()))
	first := p.drain.signal()
	if !first {
		return
	}
	p.front.Drain()
	p.watcher.Leave()
	go func() {
		if err := p.registrar.Deregister(ctx); err != nil {
			p.log.Warn(string(cplogevent.WithdrawFailed), cplog.Cause("Error", err))
		}
	}()
}
