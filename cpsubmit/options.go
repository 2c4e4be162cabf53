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
	// InForce returns the newest configuration that this VM knows of, or nil.
	InForce func() *clementineport.Config
	Clock   clementineport.Clock
	Seed    uint64
	// MaxFailures bounds the failed calls to the store in one session.
	MaxFailures int
	// Backoff is the wait after the first failed call; it doubles with each further one.
	Backoff time.Duration
	// Check returns what is wrong with a text.
	Check func(text []byte) error
	// Diff says in one line how texts differ.
	Diff func(from, to []byte) string
	// HasDomain reports whether a text has a failure domain.
	HasDomain func(text []byte, domain clementineport.FailureDomain) bool
	Rules
}

// Rules are what a session keeps to; tests switch them off one by one.
type Rules struct {
	// ReadBack settles a lost reply by reading the key again.
	ReadBack bool
	// MonotonicRevisions keeps revisions above the one in force.
	MonotonicRevisions bool
	// Deduplicate finds a submission that was accepted earlier.
	Deduplicate bool
	// CheckBase refuses a text that was edited from an older revision.
	CheckBase bool
	// CreateKey writes a new revision over a present value only: the version of an absent key can come back.
	CreateKey bool
}

// AllRules returns the rules that hold by default.
func AllRules() Rules {
	return Rules{ReadBack: true, MonotonicRevisions: true, Deduplicate: true, CheckBase: true, CreateKey: true}
}

// Option changes Options.
type Option func(*Options)

// WithStore sets the store.
func WithStore(store clementineport.Store) Option { return func(o *Options) { o.Store = store } }

// WithInForce sets the source of the newest configuration known.
func WithInForce(inForce func() *clementineport.Config) Option {
	return func(o *Options) { o.InForce = inForce }
}

// WithClock sets the clock.
func WithClock(clock clementineport.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithSeed sets the seed of the pauses.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithBackoff sets the wait after a first failed call and how many calls may fail.
func WithBackoff(pause time.Duration, tries int) Option {
	return func(o *Options) { o.Backoff, o.MaxFailures = pause, tries }
}

// WithCheck replaces the check, the comparison and the list of domains of the estate text.
func WithCheck(check func([]byte) error, diff func(from, to []byte) string, has func([]byte, clementineport.FailureDomain) bool) Option {
	return func(o *Options) { o.Check, o.Diff, o.HasDomain = check, diff, has }
}

// WithRules replaces the rules.
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
