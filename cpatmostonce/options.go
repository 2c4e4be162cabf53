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
	// Generation is how long one ticket is given out.
	Generation time.Duration
	// Kept is the number of generations whose ids may run and are remembered, the current one included.
	Kept int
	// IDs bounds the number of remembered ids.
	IDs int
	// IDBytes bounds the length of an id.
	IDBytes int
	// AnswerBytes bounds the size of all kept answers; of older requests only the verdict is kept.
	AnswerBytes int
	// Forgetful lets every resend run; it is the plain baseline.
	Forgetful bool
}

// Option changes Options.
type Option func(*Options)

// Generations sets how long one ticket is given out and how many generations are remembered.
func Generations(length time.Duration, kept int) Option {
	return func(o *Options) { o.Generation, o.Kept = length, kept }
}

// Limits bounds the number of remembered ids and the bytes of kept answers.
func Limits(ids, answerBytes int) Option {
	return func(o *Options) { o.IDs, o.AnswerBytes = ids, answerBytes }
}

// Forgetful lets every resend run.
func Forgetful() Option { return func(o *Options) { o.Forgetful = true } }

func newOptions(opts ...Option) Options {
	o := Options{
		Generation:  defaultGeneration,
		Kept:        defaultKept,
		IDs:         defaultIDs,
		IDBytes:     defaultIDBytes,
		AnswerBytes: defaultAnswerBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
