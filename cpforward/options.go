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
	// DefaultLoserTime is how long most calls take that were hedged just before their answer came.
	DefaultLoserTime = 150 * time.Millisecond
	// DefaultRetryAfter is when a caller may come back whose request found no target.
	DefaultRetryAfter = 250 * time.Millisecond
)

// Options are the settings of a Forwarder.
type Options struct {
	Clock clementineport.Clock
	View  func() *cpfleetstate.View
	Seed  uint64
	// Retries bounds the extra calls of all VMs to a service.
	Retries cpquota.RetryBound
	// ColdOverrun and ColdSlack bound the requests a second to a cold target, beyond what it bears.
	ColdOverrun float64
	ColdSlack   float64
	Planner     *cpplan.Planner
	// LoserTime is how long calls that are not needed any more may go on.
	LoserTime  time.Duration
	RetryAfter time.Duration
	Fan        []cpfanout.Option
	Admit      []cpadmit.Option
	// Failed is told of calls that failed.
	Failed func(id clementineport.RequestID, target clementineport.TargetID, err error, elapsed time.Duration)
	// Changed is told of targets that stop answering, and that answer again.
	Changed func(target *clementineport.TargetInstance, change cpbalancer.Change)
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:      clockwork.NewRealClock(),
		Planner:    cpplan.New(),
		LoserTime:  DefaultLoserTime,
		RetryAfter: DefaultRetryAfter,
		Admit:      cpplan.Admission(),
		Failed:     func(clementineport.RequestID, clementineport.TargetID, error, time.Duration) {},
		Changed:    func(*clementineport.TargetInstance, cpbalancer.Change) {},
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

// WithRetries sets the bound on the extra calls of all VMs to a service.
func WithRetries(bound cpquota.RetryBound) Option { return func(o *Options) { o.Retries = bound } }

// WithCold sets the bound on requests to cold targets.
func WithCold(overrun, slack float64) Option {
	return func(o *Options) { o.ColdOverrun, o.ColdSlack = overrun, slack }
}

// WithFailed sets what is told of calls that failed.
func WithFailed(f func(id clementineport.RequestID, target clementineport.TargetID, err error, elapsed time.Duration)) Option {
	return func(o *Options) { o.Failed = f }
}

// WithChanged sets what is told of targets that stop answering, and that answer again.
func WithChanged(f func(target *clementineport.TargetInstance, change cpbalancer.Change)) Option {
	return func(o *Options) { o.Changed = f }
}
