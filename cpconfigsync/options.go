package cpconfigsync

import "time"

// Options sets how the configuration is read and spread.
type Options struct {
	// Seed seeds jitter and the choice of peers.
	Seed uint64
	// Watchers is the number of VMs of each failure domain that watch the store.
	Watchers int
	// WatchWait is how long one watch waits at the store.
	WatchWait time.Duration
	// WatchGrace is how much longer than WatchWait a watch may take before it counts as silent.
	WatchGrace time.Duration
	// ReadPeriod is the time between two safety reads of one VM in a small fleet.
	ReadPeriod time.Duration
	// ReadFleet is the number of VMs from which ReadPeriod grows with the fleet.
	ReadScaleVMs int
	// ReadTimeout is how long a read or fetch may take.
	ReadTimeout time.Duration
	// LeastBackoff and MostBackoff bound the time between failed store calls.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// FanOut is the number of peers that are told at once of a new revision.
	FanOut int
	// Pushes is the number of rounds in which peers are told, and PushPeriod the time between them.
	PushRounds int
	PushPeriod time.Duration
	// StaleAfter is how long this VM sends new work without having heard from store or peer.
	StaleAfter time.Duration
	// RenewAfter is the time since the last contact from which extra contacts are made.
	RenewAfter time.Duration
	// RenewPeriod is the time between two such contacts.
	RenewPeriod time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Watchers:     2,
		WatchWait:    15 * time.Second,
		WatchGrace:   3 * time.Second,
		ReadPeriod:   30 * time.Second,
		ReadScaleVMs: 16,
		ReadTimeout:  2 * time.Second,
		MinBackoff:   500 * time.Millisecond,
		MaxBackoff:   20 * time.Second,
		FanOut:       4,
		PushRounds:   2,
		PushPeriod:   300 * time.Millisecond,
		StaleAfter:   3 * time.Second,
		RenewAfter:   1500 * time.Millisecond,
		RenewPeriod:  300 * time.Millisecond,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSeed seeds jitter and the choice of peers.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithWatchers sets the number of VMs of each failure domain that watch the store.
func WithWatchers(n int) Option {
	return func(o *Options) { o.Watchers = n }
}

// WithWatchWait sets how long one watch waits at the store.
func WithWatchWait(d time.Duration) Option {
	return func(o *Options) { o.WatchWait = d }
}

// WithReadPeriod sets the time between two safety reads of one VM in a small fleet; zero switches them off.
func WithReadPeriod(d time.Duration) Option {
	return func(o *Options) { o.ReadPeriod = d }
}

// WithFanOut sets the number of peers that are told at once of a new revision.
func WithFanOut(n int) Option {
	return func(o *Options) { o.FanOut = n }
}

// WithBackoff bounds the time between failed store calls.
func WithBackoff(minimum, maximum time.Duration) Option {
	return func(o *Options) { o.MinBackoff, o.MaxBackoff = minimum, maximum }
}

// WithStaleAfter sets how long this VM sends new work without having heard from store or peer.
func WithStaleAfter(d time.Duration) Option {
	return func(o *Options) { o.StaleAfter = d }
}
