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
	// ProbeTimeout is the least time that a peer has to answer an exchange.
	ProbeTimeout time.Duration
	// SuspicionOwn is how long a VM that this VM itself can't reach stays suspect before it is dead.
	DirectSuspicionTimeout time.Duration
	// SuspicionRefused is the same for a VM that refuses connections.
	RefusedSuspicionTimeout time.Duration
	// SuspicionHeard is how long a VM that others suspect stays suspect before it is dead,
	// unless others say so earlier. It is probed after half of that time.
	IndirectSuspicionTimeout time.Duration
	// Mute is how long a VM that others have reached is not accused again.
	SuspicionCooldown time.Duration
	// PauseAfter is the time between two ticks from which this VM counts itself as paused or starved.
	PauseThreshold time.Duration
	// CutAfter is how long this VM may fail to reach anybody before it reports itself as suspect.
	IsolatedAfter time.Duration
	// Partners is the number of VMs that regular exchanges keep connections with.
	Partners int
	// DeadPeriod is the time between two probes of dead or unreached VMs.
	DeadProbePeriod time.Duration
	// Forget is how long a dead VM that is not listed is remembered.
	DeadRetention time.Duration
	// DigestBytes bounds the members in one digest.
	DigestBytes int
	// PageMembers is the number of members that a joining VM is told at once.
	PageSize int
	// Witnesses is the number of VMs that probe a suspect; zero leaves it to the accuser alone.
	SuspectProbers int
	// UrgentPerSecond bounds the exchanges beyond the regular ones.
	UrgentPerSecond float64
	// UrgentBurst is the number of such exchanges that may be saved up.
	UrgentBurst int
	// HighestHealth bounds the local health score; zero switches local health awareness off.
	MaxHealthScore int
	// TrustCallers believes a VM alive because it called, without reaching it.
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

// WithSeed seeds the choice of peers.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithWitnesses sets the number of VMs that probe a suspect.
func WithSuspectProbers(n int) Option {
	return func(o *Options) { o.SuspectProbers = n }
}

// WithHighestHealth bounds the local health score; zero switches local health awareness off.
func WithMaxHealthScore(n int) Option {
	return func(o *Options) { o.MaxHealthScore = n }
}

// WithTrustCallers sets whether a VM that calls is believed alive without being reached.
func WithSkipCallerProbe(trust bool) Option {
	return func(o *Options) { o.SkipCallerProbe = trust }
}

// WithDigestBytes bounds the members in one digest.
func WithDigestBytes(n int) Option {
	return func(o *Options) { o.DigestBytes = n }
}
