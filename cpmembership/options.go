package cpmembership

import "time"

// Options sets the times and sizes of the membership protocol.
type Options struct {
	// Seed seeds the choice of peers.
	Seed uint64
	// Period is the time between two regular exchanges.
	Period time.Duration
	// JoinPeriod is the time between two exchanges while this VM joins.
	JoinPeriod time.Duration
	// ProbeTimeout is the timeout of an exchange; it is longer while this VM itself is slow.
	ProbeTimeout time.Duration
	// DirectSuspicionTimeout is how long a VM that this VM can't reach is suspect before it counts as dead.
	DirectSuspicionTimeout time.Duration
	// RefusedSuspicionTimeout is the suspicion timeout for a VM that refuses connections.
	RefusedSuspicionTimeout time.Duration
	// IndirectSuspicionTimeout is how long a VM that others suspect is suspect before it counts as dead, unless others
	// report it dead earlier. This VM probes it after half of that time.
	IndirectSuspicionTimeout time.Duration
	// SuspicionCooldown is how long failures of a VM are ignored after others have reached it.
	SuspicionCooldown time.Duration
	// PauseThreshold is the time between two ticks above which this VM counts as paused or starved of CPU.
	PauseThreshold time.Duration
	// IsolatedAfter is how long this VM may fail to reach any other before it sets its own state to suspect.
	IsolatedAfter time.Duration
	// PresumeTime is how long after the start of this VM those that the platform lists are presumed to be alive although nobody has
	// reached them. It is longer than a VM takes to learn of the others.
	PresumeTime time.Duration
	// Partners is the number of VMs with which the regular exchanges keep connections open.
	Partners int
	// DeadProbePeriod is the time between probes of dead or unconfirmed VMs.
	DeadProbePeriod time.Duration
	// DeadRetention is how long dead VMs that the platform doesn't list are kept.
	DeadRetention time.Duration
	// DigestBytes is the maximum size of the members in a digest.
	DigestBytes int
	// PageSize is the number of members per page of the member list that a joining VM fetches.
	PageSize int
	// SuspectProbers is the number of VMs that probe a suspect; with zero only the VM that suspects it does.
	SuspectProbers int
	// UrgentPerSecond is the rate limit of urgent exchanges, which are made in addition to the regular ones.
	UrgentPerSecond float64
	// UrgentBurst is the burst size of the rate limit of urgent exchanges.
	UrgentBurst int
	// MaxHealthScore is the maximum local health score; zero disables local health awareness.
	MaxHealthScore int
	// SkipCallerProbe makes a VM that calls count as alive without a probe.
	SkipCallerProbe bool
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Period:                   time.Second,
		JoinPeriod:               100 * time.Millisecond,
		ProbeTimeout:             500 * time.Millisecond,
		DirectSuspicionTimeout:   3 * time.Second,
		RefusedSuspicionTimeout:  time.Second,
		IndirectSuspicionTimeout: 12 * time.Second,
		SuspicionCooldown:        30 * time.Second,
		PauseThreshold:           700 * time.Millisecond,
		IsolatedAfter:            2500 * time.Millisecond,
		PresumeTime:              5 * time.Second,
		Partners:                 16,
		DeadProbePeriod:          5 * time.Second,
		DeadRetention:            2 * time.Minute,
		DigestBytes:              360,
		PageSize:                 32,
		SuspectProbers:           3,
		UrgentPerSecond:          1,
		UrgentBurst:              10,
		MaxHealthScore:           8,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSeed sets the seed of the random choice of peers.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithSuspectProbers sets the number of VMs that probe a suspect.
func WithSuspectProbers(n int) Option {
	return func(o *Options) { o.SuspectProbers = n }
}

// WithMaxHealthScore sets the maximum local health score; zero disables local health awareness.
func WithMaxHealthScore(n int) Option {
	return func(o *Options) { o.MaxHealthScore = n }
}

// WithSkipCallerProbe sets whether a VM that calls counts as alive without a probe.
func WithSkipCallerProbe(skip bool) Option {
	return func(o *Options) { o.SkipCallerProbe = skip }
}

// WithDigestBytes sets the maximum size of the members in a digest.
func WithDigestBytes(n int) Option {
	return func(o *Options) { o.DigestBytes = n }
}
