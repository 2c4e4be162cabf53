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
)

// Defaults of Options.
const (
	// DefaultUnneededCallTimeout is how long most calls take that were hedged just before their answer came.
	DefaultUnneededCallTimeout = 150 * time.Millisecond
	// DefaultRetryAfter is when a caller may come back whose request found no target.
	DefaultRetryAfter = 250 * time.Millisecond
)

// Options are the settings of a Forwarder.
type Options struct {
	Clock clementineport.Clock
	View  func() *cpfleetstate.View
	Seed  uint64
	// RetryBound bounds the extra calls of all VMs to a service.
	RetryBound cpquota.RetryBound
	// ColdOverrun and ColdSlack bound the requests a second to a cold target, beyond what it bears.
	ColdOverrun float64
	ColdSlack   float64
	Planner     *cpplan.Planner
	// UnneededCallTimeout is how long calls that are not needed any more may go on.
	UnneededCallTimeout time.Duration
	RetryAfter          time.Duration
	Fanout              []cpfanout.Option
	Admit               []cpadmit.Option
	// OnCallFailed is told of calls that failed.
	OnCallFailed func(id clementineport.RequestID, target clementineport.TargetID, err error, elapsed time.Duration)
	// OnTargetChange is told of targets that stop answering, and that answer again.
	OnTargetChange func(target *clementineport.TargetInstance, change cpbalancer.Change)
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
		OnCallFailed:        func(clementineport.RequestID, clementineport.TargetID, error, time.Duration) {},
		OnTargetChange:      func(*clementineport.TargetInstance, cpbalancer.Change) {},
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithView sets where the newest view comes from.
func WithView(view func() *cpfleetstate.View) Option { return func(o *Options) { o.View = view } }

// WithSeed seeds the choice of targets.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithRetryBound sets the bound on the extra calls of all VMs to a service.
func WithRetryBound(b cpquota.RetryBound) Option { return func(o *Options) { o.RetryBound = b } }

// WithColdBound sets the bound on requests to cold targets.
func WithColdBound(overrun, slack float64) Option {
	return func(o *Options) { o.ColdOverrun, o.ColdSlack = overrun, slack }
}

// WithOnCallFailed sets what is told of calls that failed.
func WithOnCallFailed(f func(id clementineport.RequestID, target clementineport.TargetID, err error, elapsed time.Duration)) Option {
	return func(o *Options) { o.OnCallFailed = f }
}

// WithOnTargetChange sets what is told of targets that stop answering, and that answer again.
func WithOnTargetChange(f func(target *clementineport.TargetInstance, change cpbalancer.Change)) Option {
	return func(o *Options) { o.OnTargetChange = f }
}
