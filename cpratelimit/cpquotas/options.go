package cpquotas

import "time"

const (
	// DefaultBindingTime is how long a coordinator counts the weight of a VM after a call. Until it has ended, a VM that lost
	// its coordinator can't bind its weight to another one.
	DefaultBindingTime = time.Second
	// DefaultRenewPeriod is the time between two calls that renew a binding. It lets a call be 400 ms late before the binding
	// lapses. Shorter periods cost the coordinator more processor time, and a VM whose call fails uses another coordinator
	// anyway.
	DefaultRenewPeriod = 600 * time.Millisecond
	// DefaultTokenLifetime is how long a token may be used after it was requested. It is short against the window, since tokens
	// from before a window may be used in it.
	DefaultTokenLifetime = 500 * time.Millisecond
	// DefaultIdleTime is how long a VM keeps its weight bound after its last request.
	DefaultIdleTime = 10 * time.Second
	// DefaultAvoidTime is how long a VM that did not answer is not used as coordinator.
	DefaultAvoidTime = 5 * time.Second
)

// Options are the settings of a Coordinator and a Client. They must be the same at all VMs.
type Options struct {
	Bounds        Bounds
	BindingTime   time.Duration
	RenewPeriod   time.Duration
	TokenLifetime time.Duration
	IdleTime      time.Duration
	AvoidTime     time.Duration
	// Salt makes the nonces of a coordinator differ from those of an earlier process.
	Salt uint64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		BindingTime: DefaultBindingTime, RenewPeriod: DefaultRenewPeriod, TokenLifetime: DefaultTokenLifetime,
		IdleTime: DefaultIdleTime, AvoidTime: DefaultAvoidTime,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithBounds sets the bounds that quotas are kept to.
func WithBounds(b Bounds) Option { return func(o *Options) { o.Bounds = b } }

// WithSalt sets a random number that differs between processes.
func WithSalt(salt uint64) Option { return func(o *Options) { o.Salt = salt } }

// LostCallTime is how long a call without an answer may bind a weight: its nonce is accepted for one binding time, and the
// binding lasts for another.
func (o *Options) LostCallTime() time.Duration { return 2 * o.BindingTime }

// LoanTime is how long an idle VM lends its weight. It is no longer than that of a lost call, after which a process that has
// just started may use its weight.
func (o *Options) LoanTime() time.Duration { return o.LostCallTime() }

// CollectPeriod is the time between two rounds in which a coordinator asks idle VMs for their weight.
func (o *Options) CollectPeriod() time.Duration { return o.LoanTime() * 3 / 4 }
