package cpatmostonce

import "time"

// Defaults of Options.
const (
	defaultGenerationLength = time.Minute
	defaultKeptGenerations  = 10
	defaultMaxIDs           = 100_000
	defaultMaxIDBytes       = 128
	defaultMaxAnswerBytes   = 16 << 20
)

// Options are the settings of a Registry.
type Options struct {
	// GenerationLength is how long one ticket is issued.
	GenerationLength time.Duration
	// KeptGenerations is the number of generations whose ids may run and are remembered, including the current one.
	KeptGenerations int
	// MaxIDs is the maximum number of remembered ids.
	MaxIDs int
	// MaxIDBytes is the maximum length of an id.
	MaxIDBytes int
	// MaxAnswerBytes is the maximum total size of kept answers. Older requests keep only their verdict.
	MaxAnswerBytes int
	// AllowDuplicates lets every resend run, as a baseline for comparisons.
	AllowDuplicates bool
}

// Option changes Options.
type Option func(*Options)

// Generations sets how long one ticket is issued and how many generations are remembered.
func Generations(length time.Duration, keptGenerations int) Option {
	return func(o *Options) { o.GenerationLength, o.KeptGenerations = length, keptGenerations }
}

// Limits sets the maximum number of remembered ids and the maximum total size of kept answers in bytes.
func Limits(maxIDs, maxAnswerBytes int) Option {
	return func(o *Options) { o.MaxIDs, o.MaxAnswerBytes = maxIDs, maxAnswerBytes }
}

// AllowDuplicates lets every resend run.
func AllowDuplicates() Option { return func(o *Options) { o.AllowDuplicates = true } }

func newOptions(opts ...Option) Options {
	o := Options{
		GenerationLength: defaultGenerationLength,
		KeptGenerations:  defaultKeptGenerations,
		MaxIDs:           defaultMaxIDs,
		MaxIDBytes:       defaultMaxIDBytes,
		MaxAnswerBytes:   defaultMaxAnswerBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
