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
	defaultProbeInterval = time.Second
	defaultProbePause    = 50 * time.Millisecond
	defaultProbeWait     = 200 * time.Millisecond
	defaultProbeTimeout  = time.Second
	defaultProbeTargets  = 64
	probeShare           = 4 // one part of the time left in
	defaultChoiceLife    = 20 * time.Millisecond
	defaultExplained     = 1 << 16 // calls
	defaultStaleRetry    = 500 * time.Millisecond
)

// Control is the part of the control state that queries use.
type Control interface {
	View() *cpview.View
	MaySend() error
	ObserveRevision(r clementineport.Revision, from clementineport.VMID)
}

// Options are the parts and settings of an Entry.
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
	// CheckInService refuses callers' queries while this VM is leaving or taken out.
	CheckInService func() error
	// Baseline is the policy that queries can ask for to be compared with; nil allows none.
	Baseline *Baseline
	// ProbeInterval is the least time between two probes of one service.
	ProbeInterval time.Duration
	// FastProbeInterval is the least time between two probes while not all shards can be covered.
	FastProbeInterval time.Duration
	// MaxProbeWait is how long a service that prefers coverage waits for a probe then.
	MaxProbeWait time.Duration
	// MaxProbeTargets is the most targets that one probe asks.
	MaxProbeTargets int
	// MaxExplainedCalls bounds the recent queries that can be explained, by the sum of their calls.
	MaxExplainedCalls int
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithSelf describes this VM.
func WithSelf(vm clementineport.VM) Option { return func(o *Options) { o.Self = vm } }

// WithControl sets the control state.
func WithControl(c Control) Option { return func(o *Options) { o.Control = c } }

// WithRelay sets how calls are sent to owners, and how calls to this VM's own targets are made.
func WithRelay(s *cprelay.Sender, owner cprelay.Relayer) Option {
	return func(o *Options) { o.Sender, o.Owner = s, owner }
}

// WithPeers sets the connections to other VMs.
func WithPeers(p *cppeerconns.Shared) Option { return func(o *Options) { o.Peers = p } }

// WithAdmitter sets what decides which queries start.
func WithAdmitter(a clementineport.Admitter) Option { return func(o *Options) { o.Admitter = a } }

// WithAtMostOnce sets what remembers non-idempotent requests.
func WithAtMostOnce(r *cpatmostonce.Registry) Option { return func(o *Options) { o.AtMostOnce = r } }

// WithGather sets the options of the state machine of a query.
func WithGather(g cpgather.Options) Option { return func(o *Options) { o.Gather = g } }

// WithTracer sets the tracer.
func WithTracer(t *cptrace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithMetrics registers the counters in a set.
func WithMetrics(set *metrics.Set) Option { return func(o *Options) { o.Metrics = set } }

// WithInServiceCheck sets what refuses callers' queries while this VM is leaving or taken out.
func WithInServiceCheck(admit func() error) Option {
	return func(o *Options) { o.CheckInService = admit }
}

// WithBaseline lets queries ask for the baseline policy.
func WithBaseline(b *Baseline) Option { return func(o *Options) { o.Baseline = b } }

// WithMaxExplainedCalls bounds the recent queries that can be explained, by the sum of their calls.
func WithMaxExplainedCalls(calls int) Option { return func(o *Options) { o.MaxExplainedCalls = calls } }

func newOptions(opts []Option) Options {
	o := Options{
		CheckInService:    func() error { return nil },
		ProbeInterval:     defaultProbeInterval,
		FastProbeInterval: defaultProbePause,
		MaxProbeWait:      defaultProbeWait,
		MaxProbeTargets:   defaultProbeTargets,
		MaxExplainedCalls: defaultExplained,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}
