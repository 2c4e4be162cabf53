package cplog

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Defaults of Options.
const (
	// DefaultPerSecond keeps a sample of what goes well.
	DefaultPerSecond = 20
	// DefaultWarnPerSecond explains each failure of a VM that serves a few hundred requests a second, unless most
	// fail.
	DefaultWarnPerSecond = 60
	// DefaultThereafter keeps samples of a flood.
	DefaultThereafter = 100
	// DefaultBufferBytes holds more than a second of lines at the bounds above.
	DefaultBufferBytes = 1 << 20
	// DefaultFlushPeriod joins the lines of a moment into one write.
	DefaultFlushPeriod = 100 * time.Millisecond
	// DefaultReportPeriod is the time between two lines about lines that were left out.
	DefaultReportPeriod = 5 * time.Second
)

// Options are the settings of a Log.
type Options struct {
	Level zapcore.Level
	// PerSecond is the number of lines of one kind in a second that are all written.
	PerSecond int
	// WarnPerSecond is the same for lines of level warn and above.
	WarnPerSecond int
	// Thereafter writes every n-th line of the kind in the rest of the second.
	Thereafter int
	// BufferBytes bounds the lines that wait for the writer.
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

// WithPerSecond sets the number of lines of one kind in a second that are all written.
func WithPerSecond(n int) Option { return func(o *Options) { o.PerSecond = n } }

// WithBufferBytes bounds the lines that wait for the writer.
func WithBufferBytes(n int) Option { return func(o *Options) { o.BufferBytes = n } }

// WithFlushPeriod sets how long lines gather before they are written.
func WithFlushPeriod(d time.Duration) Option { return func(o *Options) { o.FlushPeriod = d } }
