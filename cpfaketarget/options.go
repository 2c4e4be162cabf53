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
	// Queue is the number of calls that may wait for a slot; further calls are shed.
	Queue int
	// Connections is the maximum number of open connections. It is not enforced; connections above it are counted.
	Connections int
	// ConnectionCost is the delay before a new connection is read.
	ConnectionCost time.Duration
	// ServiceTime is the mean time of a call when the target is warm.
	ServiceTime time.Duration
	// Spread is the share of the service time that varies from call to call.
	Spread float64
	// StragglerShare is the share of calls that are slowed down by StragglerFactor.
	StragglerShare  float64
	StragglerFactor float64
	// ColdStep is the number of completed calls after which a cold target accepts one more concurrent call; zero starts
	// the target warm.
	ColdStep int
	// ColdFactor is the factor by which calls take longer at the beginning of a cold start.
	ColdFactor float64
	// CrashDowntime is how long a cold target that crashed under overload refuses connections.
	CrashDowntime time.Duration
	// SilentTimeout is the time after which the target closes a silent connection that the client has used or closed.
	SilentTimeout time.Duration
	// Held lists the snapshots that the target holds.
	Held []clementineport.Snapshot
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options with opts applied.
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

// WithOptions replaces all options.
func WithOptions(opts Options) Option { return func(o *Options) { *o = opts } }

// Slots sets the number of calls that run at once and the number of calls that may wait.
func Slots(slots, queue int) Option {
	return func(o *Options) { o.Slots, o.Queue = slots, queue }
}

// Connections sets the maximum number of connections and the cost of a new one.
func Connections(n int, cost time.Duration) Option {
	return func(o *Options) { o.Connections, o.ConnectionCost = n, cost }
}

// ServiceTime sets the mean time of a call.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// Stragglers slows down a share of the calls by a factor.
func Stragglers(share, factor float64) Option {
	return func(o *Options) { o.StragglerShare, o.StragglerFactor = share, factor }
}

// ColdStart starts the target cold. It accepts one more concurrent call after every step completed calls.
func ColdStart(step int) Option { return func(o *Options) { o.ColdStep = step } }
