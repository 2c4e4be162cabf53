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
	Clock    clementineport.Clock
	Self     clementineport.VM
	Control  Control
	Sender   *cprelay.Sender
	Owner    cprelay.Relayer
	Peers    *cppeerconns.Shared
	Admitter clementineport.Admitter
	Once     *cpatmostonce.Registry
	Gather   cpgather.Options
	Tracer   *cptrace.Tracer
	Metrics  *metrics.Set
	// Admit refuses callers' queries while this VM is leaving or taken out.
	Admit func() error
	// Baseline is the policy that queries can ask for to be compared with; nil allows none.
	Baseline *Baseline
	// ProbeInterval is the least time between two probes of one service.
	ProbeInterval time.Duration
	// ProbePause is the least time between two probes while not all shards can be covered.
	ProbePause time.Duration
	// ProbeWait is how long a service that prefers coverage waits for a probe then.
	ProbeWait time.Duration
	// ProbeTargets is the most targets that one probe asks.
	ProbeTargets int
	// Explained bounds the recent queries that can be explained, by the sum of their calls.
	Explained int
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

// WithOnce sets what remembers non-idempotent requests.
func WithOnce(r *cpatmostonce.Registry) Option { return func(o *Options) { o.Once = r } }

// WithGather sets the options of the state machine of a query.
func WithGather(g cpgather.Options) Option { return func(o *Options) { o.Gather = g } }

// WithTracer sets the tracer.
func WithTracer(t *cptrace.Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithMetrics registers the counters in a set.
func WithMetrics(set *metrics.Set) Option { return func(o *Options) { o.Metrics = set } }

// WithAdmit sets what refuses callers' queries while this VM is leaving or taken out.
func WithAdmit(admit func() error) Option { return func(o *Options) { o.Admit = admit } }

// WithBaseline lets queries ask for the baseline policy.
func WithBaseline(b *Baseline) Option { return func(o *Options) { o.Baseline = b } }

// WithExplained bounds the recent queries that can be explained, by the sum of their calls.
func WithExplained(calls int) Option { return func(o *Options) { o.Explained = calls } }

func newOptions(opts []Option) Options {
	o := Options{
		Admit:         func() error { return nil },
		ProbeInterval: defaultProbeInterval,
		ProbePause:    defaultProbePause,
		ProbeWait:     defaultProbeWait,
		ProbeTargets:  defaultProbeTargets,
		Explained:     defaultExplained,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}
