package cpforward

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpplan"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cpreach"
	"github.com/clementineport/clementineport/cprollout"
)

// Defaults of Options.
const (
	// DefaultUnneededCallTimeout lets most calls complete that lost to a hedge, and most hedges that lost to a call.
	DefaultUnneededCallTimeout = 150 * time.Millisecond
	// DefaultRetryAfter is the delay before a caller retries a request that found no target.
	DefaultRetryAfter = 250 * time.Millisecond
)

// Options are the settings of a Forwarder.
type Options struct {
	Clock clementineport.Clock
	// View returns the newest view of the fleet.
	View func() *cpfleetstate.View
	Seed uint64
	// RetryBound bounds the extra calls to a service by all VMs together.
	RetryBound cpquota.RetryBound
	// ColdOverrun multiplies the request rate that a cold target can serve, and ColdSlack is added to it, in requests a
	// second. The result is the bound for all VMs together.
	ColdOverrun float64
	ColdSlack   float64
	Planner     *cpplan.Planner
	// UnneededCallTimeout is how long calls may continue after the request has ended.
	UnneededCallTimeout time.Duration
	RetryAfter          time.Duration
	Fanout              []cpfanout.Option
	Admit               []cpadmit.Option
	// Reach tracks whether this VM reaches targets.
	Reach *cpreach.Tracker
	// Rollouts limits and counts the requests to new versions.
	Rollouts *cprollout.Tracker
	// ViewAge returns the age of the view. While it is above the contact time, no request is sent to a version that may have
	// been rolled back.
	ViewAge func() time.Duration
	// OnCallFailed is called for each failed call, unless its error is context.Canceled.
	OnCallFailed func(r *clementineport.OpaqueRequest, target clementineport.TargetID, err error, elapsed time.Duration)
	// OnReport is called with a report about a request during which a target has crashed.
	OnReport func(clementineport.RequestReport)
	// OnTargetChange is called when a target becomes unresponsive or responsive.
	OnTargetChange func(target *clementineport.TargetInstance, change cpbalancer.Change)
	// OnOverload is called when admission begins or ceases to refuse requests for some services. It must not block, nor call
	// the Forwarder.
	OnOverload func(services []clementineport.ServiceID, overloaded bool)
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:               clockwork.NewRealClock(),
		Planner:             cpplan.New(),
		UnneededCallTimeout: DefaultUnneededCallTimeout,
		RetryAfter:          DefaultRetryAfter,
		Admit:               cpplan.AdmissionOptions(),
		Reach:               cpreach.New(),
		Rollouts:            cprollout.NewTracker(),
		ViewAge:             func() time.Duration { return 0 },
		OnCallFailed:        func(*clementineport.OpaqueRequest, clementineport.TargetID, error, time.Duration) {},
		OnReport:            func(clementineport.RequestReport) {},
		OnTargetChange:      func(*clementineport.TargetInstance, cpbalancer.Change) {},
		OnOverload:          func([]clementineport.ServiceID, bool) {},
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithView sets the function that returns the newest view of the fleet.
func WithView(view func() *cpfleetstate.View) Option { return func(o *Options) { o.View = view } }

// WithPlanner sets the planner of requests.
func WithPlanner(p *cpplan.Planner) Option { return func(o *Options) { o.Planner = p } }

// WithSeed sets the seed of the choice of targets and of admission.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithRetryBound sets the bound of the extra calls to a service by all VMs together.
func WithRetryBound(b cpquota.RetryBound) Option { return func(o *Options) { o.RetryBound = b } }

// WithColdBound sets the bound of the request rate of cold targets: overrun multiplies the rate that a target can
// serve, and slack is added to it.
func WithColdBound(overrun, slack float64) Option {
	return func(o *Options) { o.ColdOverrun, o.ColdSlack = overrun, slack }
}

// WithReach sets the tracker of whether this VM reaches targets.
func WithReach(t *cpreach.Tracker) Option { return func(o *Options) { o.Reach = t } }

// WithRollouts sets the tracker that limits and counts the requests to new versions, and the function that returns the age of
// the view.
func WithRollouts(t *cprollout.Tracker, viewAge func() time.Duration) Option {
	return func(o *Options) { o.Rollouts, o.ViewAge = t, viewAge }
}

// WithOnCallFailed sets the function that is called for each failed call.
func WithOnCallFailed(f func(r *clementineport.OpaqueRequest, target clementineport.TargetID, err error, elapsed time.Duration)) Option {
	return func(o *Options) { o.OnCallFailed = f }
}

// WithOnReport sets the function that is called with a report about a request during which a target has crashed.
func WithOnReport(f func(clementineport.RequestReport)) Option {
	return func(o *Options) { o.OnReport = f }
}

// WithOnTargetChange sets the function that is called when a target becomes unresponsive or responsive.
func WithOnTargetChange(f func(target *clementineport.TargetInstance, change cpbalancer.Change)) Option {
	return func(o *Options) { o.OnTargetChange = f }
}

// WithAdmission sets the options of admission.
func WithAdmission(opts ...cpadmit.Option) Option { return func(o *Options) { o.Admit = opts } }

// WithOnOverload sets the function that is called when admission begins or ceases to refuse requests for some services.
func WithOnOverload(f func(services []clementineport.ServiceID, overloaded bool)) Option {
	return func(o *Options) { o.OnOverload = f }
}
