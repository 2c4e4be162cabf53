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
	SuspicionOwn time.Duration
	// SuspicionRefused is the same for a VM that refuses connections.
	SuspicionRefused time.Duration
	// SuspicionHeard is how long a VM that others suspect stays suspect before it is dead,
	// unless others say so earlier. It is probed after half of that time.
	SuspicionHeard time.Duration
	// Mute is how long a VM that others have reached is not accused again.
	Mute time.Duration
	// PauseAfter is the time between two ticks from which this VM counts itself as paused or starved.
	PauseAfter time.Duration
	// CutAfter is how long this VM may fail to reach anybody before it reports itself as suspect.
	CutAfter time.Duration
	// Partners is the number of VMs that regular exchanges keep connections with.
	Partners int
	// DeadPeriod is the time between two probes of dead or unreached VMs.
	DeadPeriod time.Duration
	// Forget is how long a dead VM that is not listed is remembered.
	Forget time.Duration
	// DigestBytes bounds the members in one digest.
	DigestBytes int
	// PageMembers is the number of members that a joining VM is told at once.
	PageMembers int
	// Witnesses is the number of VMs that probe a suspect; zero leaves it to the accuser alone.
	Witnesses int
	// UrgentPerSecond bounds the exchanges beyond the regular ones.
	UrgentPerSecond float64
	// UrgentBurst is the number of such exchanges that may be saved up.
	UrgentBurst int
	// HighestHealth bounds the local health score; zero switches local health awareness off.
	HighestHealth int
	// TrustCallers believes a VM alive because it called, without reaching it.
	TrustCallers bool
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Period:           time.Second,
		JoinPeriod:       100 * time.Millisecond,
		ProbeTimeout:     500 * time.Millisecond,
		SuspicionOwn:     3 * time.Second,
		SuspicionRefused: time.Second,
		SuspicionHeard:   12 * time.Second,
		Mute:             30 * time.Second,
		PauseAfter:       700 * time.Millisecond,
		CutAfter:         2500 * time.Millisecond,
		Partners:         16,
		DeadPeriod:       5 * time.Second,
		Forget:           2 * time.Minute,
		DigestBytes:      360,
		PageMembers:      32,
		Witnesses:        3,
		UrgentPerSecond:  1,
		UrgentBurst:      10,
		HighestHealth:    8,
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
func WithWitnesses(n int) Option {
	return func(o *Options) { o.Witnesses = n }
}

// WithHighestHealth bounds the local health score; zero switches local health awareness off.
func WithHighestHealth(n int) Option {
	return func(o *Options) { o.HighestHealth = n }
}

// WithTrustCallers sets whether a VM that calls is believed alive without being reached.
func WithTrustCallers(trust bool) Option {
	return func(o *Options) { o.TrustCallers = trust }
}

// WithDigestBytes bounds the members in one digest.
func WithDigestBytes(n int) Option {
	return func(o *Options) { o.DigestBytes = n }
}
