package cpcatalog

import "time"

// Defaults of Options.
const (
	// DefaultOutageAfter is longer than the time between two confirmations while nothing changes, and shorter than the
	// lease of a registration.
	DefaultOutageAfter = 2700 * time.Millisecond
	// DefaultExpiryGrace is slightly longer than the time of about two seconds within which, as the platform guarantees,
	// live targets register again after a store outage.
	DefaultExpiryGrace = 2300 * time.Millisecond
	// DefaultRestoreGrace is long because a domain that returns to service too early gets requests that operators have
	// ruled out, while one that returns late only lacks its share of them. Operators need as long to write
	// orders of rollouts again.
	DefaultRestoreGrace = 10 * time.Second
	// DefaultEndedRetention is many times the age of a copy from which a store is restored.
	DefaultEndedRetention = 2 * time.Minute
	// DefaultAssumedColdTime covers two registrations of a target and their delay on the way to this VM.
	DefaultAssumedColdTime = 3500 * time.Millisecond
	// DefaultEarlierRunDelay covers two registrations as well: a target whose later run goes on registers within it.
	DefaultEarlierRunDelay = 3500 * time.Millisecond
)

// Options are the settings of a Catalog.
type Options struct {
	// OutageAfter is the time without confirmation from which a gap counts as a store outage.
	OutageAfter time.Duration
	// ExpiryGrace is how long targets whose registrations are gone are kept after a store outage.
	ExpiryGrace time.Duration
	// RestoreGrace is how long a failure domain stays out of service, and an order of a rollout in force, after a restore of
	// the store that lost the entry, so that operators can write it again.
	RestoreGrace time.Duration
	// EndedRetention is how long the catalog remembers the last registration of a target that has ended.
	EndedRetention time.Duration
	// AssumedColdTime is how long the targets of a failure domain are treated as cold after it returned to service.
	AssumedColdTime time.Duration
	// EarlierRunDelay is how long the registration of a run that began earlier than the known one must stand in the store to
	// replace it.
	EarlierRunDelay time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		OutageAfter: DefaultOutageAfter, ExpiryGrace: DefaultExpiryGrace, RestoreGrace: DefaultRestoreGrace,
		EndedRetention: DefaultEndedRetention, AssumedColdTime: DefaultAssumedColdTime,
		EarlierRunDelay: DefaultEarlierRunDelay,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithOutageAfter sets the time without confirmation from which a gap counts as a store outage.
func WithOutageAfter(d time.Duration) Option { return func(o *Options) { o.OutageAfter = d } }

// WithExpiryGrace sets how long targets whose registrations are gone are kept after a store outage.
func WithExpiryGrace(d time.Duration) Option { return func(o *Options) { o.ExpiryGrace = d } }

// WithRestoreGrace sets how long a failure domain stays out of service, and an order of a rollout in force, after a restore that
// lost the entry.
func WithRestoreGrace(d time.Duration) Option { return func(o *Options) { o.RestoreGrace = d } }

// WithEndedRetention sets how long the last registration of a target that has ended is remembered.
func WithEndedRetention(d time.Duration) Option { return func(o *Options) { o.EndedRetention = d } }

// WithAssumedColdTime sets how long the targets of a failure domain are treated as cold after it returned to service.
func WithAssumedColdTime(d time.Duration) Option { return func(o *Options) { o.AssumedColdTime = d } }

// WithEarlierRunDelay sets how long the registration of a run that began earlier than the known one must stand in the store to
// replace it.
func WithEarlierRunDelay(d time.Duration) Option { return func(o *Options) { o.EarlierRunDelay = d } }
