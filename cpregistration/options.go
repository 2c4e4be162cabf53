package cpregistration

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
)

// Defaults of Options, and parameters of the calls.
const (
	// DefaultRenewPeriod is long because the VMs find out by themselves which of them have failed; registrations tell
	// those that start about the others.
	DefaultRenewPeriod = 5 * time.Second
	// DefaultPollPeriod is the time between two checks for routes.
	DefaultPollPeriod = 100 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call.
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond
	// callsToRegister is the number of store calls that a registration takes.
	callsToRegister = 2
	// registerShare is the share of the store's rate that all VMs together use to register again.
	registerShare = 0.5
)

// Options are the settings of a Keeper.
type Options struct {
	// VM is the VM to register.
	VM        clementineport.VM
	Registrar clementineport.Registrar
	// View returns the VM's view of the fleet.
	View  func() *cpfleetstate.View
	Clock clementineport.Clock
	Log   *zap.Logger
	// RenewPeriod is the time between renewals.
	RenewPeriod time.Duration
	// PollPeriod is the time between two checks whether the VM has routes.
	PollPeriod time.Duration
	// StoreWritesPerSecond is the rate of writes that the store accepts from all VMs together, or zero if it is unlimited.
	StoreWritesPerSecond float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock: clockwork.NewRealClock(), Log: zap.NewNop(), View: func() *cpfleetstate.View { return &cpfleetstate.View{} },
		RenewPeriod: DefaultRenewPeriod, PollPeriod: DefaultPollPeriod,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// Spread returns the time over which a number of VMs spread their registrations when all of them are lost.
func (o *Options) Spread(vms int) time.Duration {
	if o.StoreWritesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(vms*callsToRegister) / (o.StoreWritesPerSecond * registerShare) * float64(time.Second))
}

// WithVM sets the VM to register.
func WithVM(vm clementineport.VM) Option { return func(o *Options) { o.VM = vm } }

// WithRegistrar sets how the VM is registered in the store.
func WithRegistrar(r clementineport.Registrar) Option { return func(o *Options) { o.Registrar = r } }

// WithView sets the function that returns the VM's view of the fleet.
func WithView(view func() *cpfleetstate.View) Option { return func(o *Options) { o.View = view } }

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(o *Options) { o.Log = l } }

// WithRenewPeriod sets the time between renewals.
func WithRenewPeriod(d time.Duration) Option { return func(o *Options) { o.RenewPeriod = d } }

// WithStoreWritesPerSecond sets the rate of writes that the store accepts from all VMs together.
func WithStoreWritesPerSecond(n float64) Option {
	return func(o *Options) { o.StoreWritesPerSecond = n }
}
