package cpslowstart

// Options are the settings of a Ramp.
type Options struct {
	// Disabled allows every slot from the first call.
	Disabled bool
	// StepAnswers is the number of good answers after which one more call at a time is allowed.
	StepAnswers int
	// UnknownLatencyFactor multiplies Step while the time of a warm answer is not known.
	UnknownLatencyFactor int
	// GoodFactor is how much slower than a warm answer a good answer may be.
	GoodFactor float64
	// JumpFactor is how much slower than a warm answer an answer is that counts as a latency jump.
	JumpFactor float64
	// Window is the number of answers over which a latency jump is judged.
	Window int
	// MaxFailures is the number of refusals or failed connections in a row that make a target cold.
	MaxFailures int
}

// NewOptions returns the default options.
func NewOptions() Options {
	return Options{StepAnswers: 8, UnknownLatencyFactor: 4, GoodFactor: 1.5, JumpFactor: 4, Window: 8, MaxFailures: 3}
}
