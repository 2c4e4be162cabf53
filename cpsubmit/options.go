package cpsubmit

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpestatediff"
)

// Options are the settings of a Submitter and its sessions.
type Options struct {
	Store clementineport.Store
	// InForce returns the newest configuration known to this VM, or nil.
	InForce func() *clementineport.Config
	Clock   clementineport.Clock
	Seed    uint64
	// MaxFailures is the number of failed calls to the store after which a session ends.
	MaxFailures int
	// Backoff is the delay after the first failed call; it doubles with each further one.
	Backoff time.Duration
	// Check returns an error if a text is invalid.
	Check func(text []byte) error
	// Diff returns a one-line summary of how two texts differ.
	Diff func(from, to []byte) string
	// HasDomain reports whether a text defines a failure domain.
	HasDomain func(text []byte, domain clementineport.FailureDomain) bool
	Rules
}

// Rules selects the rules that a session follows. Tests disable them one by one to show that each is needed.
type Rules struct {
	// ReadBack reads the key again after a lost reply, to find out whether the write took effect.
	ReadBack bool
	// MonotonicRevisions makes every new revision higher than the one in force, even if the store holds a lower one.
	MonotonicRevisions bool
	// Deduplicate recognizes a submission that was already accepted.
	Deduplicate bool
	// CheckBase refuses a text that is based on an older revision than the current one.
	CheckBase bool
	// CreateKey creates an absent key with the current configuration before a new revision is written. Every absent key
	// has version 0, so a delayed write of a new revision that expects version 0 could succeed after the key was lost.
	CreateKey bool
}

// AllRules returns the default rules, which are all enabled.
func AllRules() Rules {
	return Rules{ReadBack: true, MonotonicRevisions: true, Deduplicate: true, CheckBase: true, CreateKey: true}
}

// Option changes Options.
type Option func(*Options)

// WithStore sets the store.
func WithStore(store clementineport.Store) Option { return func(o *Options) { o.Store = store } }

// WithInForce sets the function that returns the newest configuration known to this VM, or nil.
func WithInForce(inForce func() *clementineport.Config) Option {
	return func(o *Options) { o.InForce = inForce }
}

// WithClock sets the clock.
func WithClock(clock clementineport.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithSeed sets the seed of the backoff jitter.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithBackoff sets the delay after the first failed call and the number of failed calls after which a session ends.
func WithBackoff(backoff time.Duration, maxFailures int) Option {
	return func(o *Options) { o.Backoff, o.MaxFailures = backoff, maxFailures }
}

// WithCheck replaces the functions that check and compare texts and look up their failure domains.
func WithCheck(check func([]byte) error, diff func(from, to []byte) string, has func([]byte, clementineport.FailureDomain) bool) Option {
	return func(o *Options) { o.Check, o.Diff, o.HasDomain = check, diff, has }
}

// WithRules sets the rules that sessions follow.
func WithRules(rules Rules) Option { return func(o *Options) { o.Rules = rules } }

func newOptions(opts []Option) Options {
	o := Options{
		InForce:     func() *clementineport.Config { return nil },
		Clock:       clockwork.NewRealClock(),
		Seed:        1,
		MaxFailures: 5,
		Backoff:     50 * time.Millisecond,
		Check:       checkEstate,
		Diff:        cpestatediff.Diff,
		HasDomain:   hasDomain,
		Rules:       AllRules(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func checkEstate(text []byte) error {
	_, err := cpestate.Parse(text)
	return err
}

func hasDomain(text []byte, domain clementineport.FailureDomain) bool {
	e, err := cpestate.Parse(text)
	return err == nil && slices.Contains(e.Domains, domain)
}
