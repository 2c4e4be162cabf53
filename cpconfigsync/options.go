package cpconfigsync

import "time"

// Options are the settings of a Syncer.
type Options struct {
	// Seed is the seed of the random jitter and choice of peers.
	Seed uint64
	// Watchers is the number of VMs per failure domain that watch the store.
	Watchers int
	// WatchWait is how long the store holds a watch open without a change.
	WatchWait time.Duration
	// WatchGrace is how much longer than WatchWait a watch may take before it times out.
	WatchGrace time.Duration
	// ReadPeriod is the time between periodic reads of one VM in a small fleet. The reads find changes that a silent watch
	// doesn't report.
	ReadPeriod time.Duration
	// ReadScaleVMs is the fleet size above which the read period grows in proportion to the fleet.
	ReadScaleVMs int
	// ReadTimeout is the timeout of reads of the store and of calls to peers.
	ReadTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed store call.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// FanOut is the number of peers that are notified of a new revision in each push round.
	FanOut int
	// PushRounds is the number of push rounds, and PushPeriod the time between them.
	PushRounds int
	PushPeriod time.Duration
	// StaleAfter is how long this VM sends new work without contact to the store or a peer.
	StaleAfter time.Duration
	// RenewAfter is the time since the last contact after which this VM makes additional calls to renew contact.
	RenewAfter time.Duration
	// RenewPeriod is the time between calls to renew contact.
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

// WithSeed sets the seed of the random jitter and choice of peers.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithWatchers sets the number of VMs per failure domain that watch the store.
func WithWatchers(n int) Option {
	return func(o *Options) { o.Watchers = n }
}

// WithWatchWait sets how long the store holds a watch open without a change.
func WithWatchWait(d time.Duration) Option {
	return func(o *Options) { o.WatchWait = d }
}

// WithReadPeriod sets the time between periodic reads of one VM in a small fleet; zero disables them.
func WithReadPeriod(d time.Duration) Option {
	return func(o *Options) { o.ReadPeriod = d }
}

// WithFanOut sets the number of peers that are notified of a new revision in each push round.
func WithFanOut(n int) Option {
	return func(o *Options) { o.FanOut = n }
}

// WithBackoff sets the bounds of the delay after a failed store call.
func WithBackoff(minimum, maximum time.Duration) Option {
	return func(o *Options) { o.MinBackoff, o.MaxBackoff = minimum, maximum }
}

// WithStaleAfter sets how long this VM sends new work without contact to the store or a peer.
func WithStaleAfter(d time.Duration) Option {
	return func(o *Options) { o.StaleAfter = d }
}
