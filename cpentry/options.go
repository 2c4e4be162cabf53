package cpentry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpatmostonce"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cptrace"
	"github.com/clementineport/clementineport/cpview"
)

// Defaults of Options.
const (
	defaultProbeInterval     = time.Second
	defaultFastProbeInterval = 50 * time.Millisecond
	defaultMaxProbeWait      = 200 * time.Millisecond
	defaultProbeTimeout      = time.Second
	defaultMaxProbeTargets   = 64
	probeWaitDivisor         = 4 // a query waits for probes for at most a quarter of its remaining time
	defaultChoiceTTL         = 20 * time.Millisecond
	defaultMaxExplainedCalls = 1 << 16 // calls
	defaultStaleRetry        = 500 * time.Millisecond
)

// Control is the part of the control state of this VM that queries use.
type Control interface {
	View() *cpview.View
	MaySend() error
	ObserveRevision(r clementineport.Revision, from clementineport.VMID)
}

// Options are the components and settings of an Entry.
type Options struct {
	Clock      clementineport.Clock
	Self       clementineport.VM
	Control    Control
	Sender     *cprelay.Sender
	Owner      cprelay.Relayer
	Peers      *cppeerconns.Shared
	Admitter   clementineport.Admitter
	AtMostOnce *cpatmostonce.Registry
	Gather     cpgather.Options
	Tracer     *cptrace.Tracer
	Metrics    *metrics.Set
	// CheckInService returns the refusal of callers' queries while this VM is leaving or out of service, and nil
	// otherwise.
	CheckInService func() error
	// Baseline is the policy that queries can select for comparisons; nil disables it.
	Baseline *Baseline
	// ProbeInterval is the minimum time between two probes of one service.
	ProbeInterval time.Duration
	// FastProbeInterval replaces ProbeInterval while not all shards can be covered.
	FastProbeInterval time.Duration
	// MaxProbeWait bounds how long a query of a service that prefers coverage waits for probes while not all shards
	// can be covered, and how long a query waits for a probe before it restarts on another snapshot.
	MaxProbeWait time.Duration
	// MaxProbeTargets bounds the targets that one probe calls.
	MaxProbeTargets int
	// MaxExplainedCalls bounds the traces of recent queries by the number of calls in them.
	MaxExplainedCalls int
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithSelf sets the description of this VM.
func WithSelf(vm clementineport.VM) Option { return func(o *Options) { o.Self = vm } }

// WithControl sets the control state.
func WithControl(c Control) Option { return func(o *Options) { o.Control = c } }

// WithRelay sets the sender of calls to owners and the relayer of calls to targets that this VM owns.
func WithRelay(s *cprelay.Sender, owner cprelay.Relayer) Option {
	return func(o *Options) { o.Sender, o.Owner = s, owner }
}

// WithPeers sets the connections to other VMs.
func WithPeers(p *cppeerconns.Shared) Option { return func(o *Options) { o.Peers = p } }

// WithAdmitter sets the admission control.
func WithAdmitter(a clementineport.Admitter) Option { return func(o *Options) { o.Admitter = a } }

// WithAtMostOnce sets the registry of non-idempotent requests.
func WithAtMostOnce(r *cpatmostonce.Registry) Option { return func(o *Options) { o.AtMostOnce = r } }

// WithGather sets the options of the state machine of a query.
func WithGather(g cpgather.Options) Option { return func(o *Options) { o.Gather = g } }

// WithTracer sets the tracer.
func WithTracer(t *cptrace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithMetrics sets the set that the metrics are registered in.
func WithMetrics(set *metrics.Set) Option { return func(o *Options) { o.Metrics = set } }

// WithInServiceCheck sets the function that returns the refusal of callers' queries while this VM is leaving or out
// of service, and nil otherwise.
func WithInServiceCheck(f func() error) Option { return func(o *Options) { o.CheckInService = f } }

// WithBaseline lets queries select the baseline policy.
func WithBaseline(b *Baseline) Option { return func(o *Options) { o.Baseline = b } }

// WithMaxExplainedCalls bounds the traces of recent queries by the number of calls in them.
func WithMaxExplainedCalls(calls int) Option { return func(o *Options) { o.MaxExplainedCalls = calls } }

func newOptions(opts []Option) Options {
	o := Options{
		CheckInService:    func() error { return nil },
		ProbeInterval:     defaultProbeInterval,
		FastProbeInterval: defaultFastProbeInterval,
		MaxProbeWait:      defaultMaxProbeWait,
		MaxProbeTargets:   defaultMaxProbeTargets,
		MaxExplainedCalls: defaultMaxExplainedCalls,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}
