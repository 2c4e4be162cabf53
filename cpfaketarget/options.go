package cpfaketarget

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Options are the settings of a Target.
type Options struct {
	Clock clementineport.Clock
	Seed  uint64
	// Slots is the number of calls that run at once.
	Slots int
	// Queue is the number of calls that wait for a slot; further ones are shed.
	Queue int
	// Connections is the most connections that may be open.
	Connections int
	// ConnectionCost is the time that a new connection takes before it is read.
	ConnectionCost time.Duration
	// ServiceTime is the mean time of a call when the target is warm.
	ServiceTime time.Duration
	// Spread is the share of the service time that varies from call to call.
	Spread float64
	// StragglerShare is the share of calls that are slower by StragglerFactor.
	StragglerShare  float64
	StragglerFactor float64
	// ColdStep is the number of calls after which a cold target bears one more call at a time; zero starts warm.
	ColdStep int
	// ColdFactor is how much slower a call is at the start of a cold start.
	ColdFactor float64
	// CrashDowntime is how long an overloaded cold target refuses connections.
	CrashDowntime time.Duration
	// SilentTimeout is how long a silent connection stays open at the target.
	SilentTimeout time.Duration
	// Held lists the snapshots that the target answers from.
	Held []clementineport.Snapshot
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	o := Options{
		Clock:           clockwork.NewRealClock(),
		Seed:            1,
		Slots:           6,
		Queue:           4,
		Connections:     45,
		ServiceTime:     10 * time.Millisecond,
		Spread:          0.5,
		StragglerFactor: 10,
		ColdFactor:      4,
		CrashDowntime:   3 * time.Second,
		SilentTimeout:   30 * time.Second,
		Held:            []clementineport.Snapshot{{Version: 1, Layout: 1}},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithOptions replaces the options as a whole.
func WithOptions(all Options) Option { return func(o *Options) { *o = all } }

// Slots sets the number of calls that run at once and that wait.
func Slots(slots, queue int) Option {
	return func(o *Options) { o.Slots, o.Queue = slots, queue }
}

// Connections sets the most connections and what a new one costs.
func Connections(n int, cost time.Duration) Option {
	return func(o *Options) { o.Connections, o.ConnectionCost = n, cost }
}

// ServiceTime sets the mean time of a call.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// Stragglers makes a share of the calls slower by a factor.
func Stragglers(share, factor float64) Option {
	return func(o *Options) { o.StragglerShare, o.StragglerFactor = share, factor }
}

// ColdStart starts the target cold; it bears one more call at a time after each step calls.
func ColdStart(step int) Option { return func(o *Options) { o.ColdStep = step } }
