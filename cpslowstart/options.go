package cpslowstart

// Options are the settings of a SlowStart.
type Options struct {
	// Disabled allows all slots from the first call.
	Disabled bool
	// StepAnswers is the number of good answers after which the limit increases by one.
	StepAnswers int
	// UnknownLatencyFactor multiplies StepAnswers while the warm latency is unknown.
	UnknownLatencyFactor int
	// GoodFactor is the maximum latency of a good answer, as a multiple of the warm latency.
	GoodFactor float64
	// JumpFactor is the latency above which an answer is a latency jump, as a multiple of the warm latency.
	JumpFactor float64
	// Window is the number of answers after which the share of latency jumps is checked.
	Window int
	// MaxFailures is the number of consecutive refusals and failed connections after which a target is considered cold.
	MaxFailures int
}

// NewOptions returns the default options.
func NewOptions() Options {
	return Options{StepAnswers: 8, UnknownLatencyFactor: 4, GoodFactor: 1.5, JumpFactor: 4, Window: 8, MaxFailures: 3}
}
