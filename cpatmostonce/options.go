package cpatmostonce

import "time"

// Defaults of Options.
const (
	defaultGeneration  = time.Minute
	defaultKept        = 10
	defaultIDs         = 100_000
	defaultIDBytes     = 128
	defaultAnswerBytes = 16 << 20
)

// Options are the settings of a Registry.
type Options struct {
	// GenerationLength is how long one ticket is given out.
	GenerationLength time.Duration
	// KeptGenerations is the number of generations whose ids may run and are remembered, the current one included.
	KeptGenerations int
	// MaxIDs bounds the number of remembered ids.
	MaxIDs int
	// MaxIDBytes bounds the length of an id.
	MaxIDBytes int
	// MaxAnswerBytes bounds the size of all kept answers; of older requests only the verdict is kept.
	MaxAnswerBytes int
	// AllowDuplicates lets every resend run; it is the plain baseline.
	AllowDuplicates bool
}

// Option changes Options.
type Option func(*Options)

// Generations sets how long one ticket is given out and how many generations are remembered.
func Generations(length time.Duration, kept int) Option {
	return func(o *Options) { o.GenerationLength, o.KeptGenerations = length, kept }
}

// Limits bounds the number of remembered ids and the bytes of kept answers.
func Limits(ids, answerBytes int) Option {
	return func(o *Options) { o.MaxIDs, o.MaxAnswerBytes = ids, answerBytes }
}

// AllowDuplicates lets every resend run.
func AllowDuplicates() Option { return func(o *Options) { o.AllowDuplicates = true } }

func newOptions(opts ...Option) Options {
	o := Options{
		GenerationLength: defaultGeneration,
		KeptGenerations:  defaultKept,
		MaxIDs:           defaultIDs,
		MaxIDBytes:       defaultIDBytes,
		MaxAnswerBytes:   defaultAnswerBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
