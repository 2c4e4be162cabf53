package cplog

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Defaults of Options.
const (
	// DefaultPerSecond is enough for a sample of lines below level warn.
	DefaultPerSecond = 20
	// DefaultWarnPerSecond is enough for every failure of a VM that serves a few hundred requests per second, unless
	// most of them fail.
	DefaultWarnPerSecond = 60
	// DefaultThereafter keeps a sample of the lines above the rate limit.
	DefaultThereafter = 100
	// DefaultBufferBytes is enough for more than one second of lines at the default rates.
	DefaultBufferBytes = 1 << 20
	// DefaultFlushPeriod combines the lines of a short time into one write.
	DefaultFlushPeriod = 100 * time.Millisecond
	// DefaultReportPeriod is the minimum time between LinesOmitted events.
	DefaultReportPeriod = 5 * time.Second
)

// Options are the settings of a Log.
type Options struct {
	Level zapcore.Level
	// PerSecond is the number of lines per event and second that are always written.
	PerSecond int
	// WarnPerSecond is the same for lines at level warn and above.
	WarnPerSecond int
	// Thereafter is n if only every n-th further line of the event is written in the rest of the second.
	Thereafter int
	// BufferBytes limits the size of the lines that wait for the writer.
	BufferBytes  int
	FlushPeriod  time.Duration
	ReportPeriod time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Level: zapcore.InfoLevel, PerSecond: DefaultPerSecond, WarnPerSecond: DefaultWarnPerSecond, Thereafter: DefaultThereafter,
		BufferBytes: DefaultBufferBytes, FlushPeriod: DefaultFlushPeriod, ReportPeriod: DefaultReportPeriod,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithPerSecond sets the number of lines per event and second that are always written, below level warn.
func WithPerSecond(n int) Option { return func(o *Options) { o.PerSecond = n } }

// WithBufferBytes limits the size of the lines that wait for the writer.
func WithBufferBytes(n int) Option { return func(o *Options) { o.BufferBytes = n } }

// WithFlushPeriod sets the time between flushes of the buffer.
func WithFlushPeriod(d time.Duration) Option { return func(o *Options) { o.FlushPeriod = d } }
