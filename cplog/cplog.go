// Package cplog makes the log of a process: JSON lines on a writer, bounded in volume for each kind of line, and
// written without ever blocking the caller. Lines that are left out are counted.
package cplog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineport/clementineport/cplogevent"
)

// Log is the log of one process.
type Log struct {
	*zap.Logger
	sink *sink
	// limited counts the lines that were left out because there were too many of their kind.
	limited atomic.Uint64
	// reported are the counts of the last line about lines left out.
	reported struct{ limited, full uint64 }
	stop     chan struct{}
	done     chan struct{}
}

// New returns a log that writes to w until Close.
func New(w io.Writer, opts ...Option) *Log {
	options := NewOptions(opts...)
	l := &Log{sink: newSink(w, options.BufferBytes), stop: make(chan struct{}), done: make(chan struct{})}
	plain := l.core(options.PerSecond, options.Thereafter, func(v zapcore.Level) bool {
		return v >= options.Level && v < zapcore.WarnLevel
	})
	grave := l.core(options.WarnPerSecond, options.Thereafter, func(v zapcore.Level) bool {
		return v >= options.Level && v >= zapcore.WarnLevel
	})
	l.Logger = zap.New(zapcore.NewTee(plain, grave))
	go l.flush(options.FlushPeriod, options.ReportPeriod)
	return l
}

// core returns a core for the levels that enabled reports, with a bound on the lines of each kind.
func (l *Log) core(perSecond, thereafter int, enabled zap.LevelEnablerFunc) zapcore.Core {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder()), l.sink, enabled)
	return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, thereafter, zapcore.SamplerHook(l.sampled))
}

// encoder returns how lines look: Pascal-case fields, times to the millisecond.
func encoder() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey: cplogevent.FieldTime, LevelKey: cplogevent.FieldLevel, MessageKey: cplogevent.FieldEvent, NameKey: zapcore.OmitKey,
		EncodeTime:     zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z07:00"),
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: milliseconds,
	}
}

// milliseconds writes a duration in milliseconds, to the microsecond.
func milliseconds(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d.Round(time.Microsecond)) / float64(time.Millisecond))
}

// sampled counts what the sampler leaves out.
func (l *Log) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.limited.Add(1)
	}
}

// Cause returns a field with an error's text, without the trace that some errors carry.
func Cause(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}

// Omitted returns how many lines were left out: too many of their kind, and those that the writer did not take.
func (l *Log) Omitted() (limited, full uint64) { return l.limited.Load(), l.sink.dropped.Load() }

// flush writes what has gathered until Close.
func (l *Log) flush(period, reportPeriod time.Duration) {
	defer close(l.done)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	reported := time.Now()
	for {
		select {
		case <-l.stop:
			l.report()
			l.sink.flush()
			return
		case now := <-ticker.C:
			if now.Sub(reported) >= reportPeriod {
				reported = now
				l.report()
			}
			l.sink.flush()
		}
	}
}

// report writes a line about the lines that were left out since the last one.
func (l *Log) report() {
	limited, full := l.Omitted()
	last := l.reported
	l.reported.limited, l.reported.full = limited, full
	if limited > last.limited || full > last.full {
		l.Info(string(cplogevent.LinesOmitted), zap.Uint64("TooManyOfAKind", limited-last.limited), zap.Uint64("WriterFull", full-last.full))
	}
}

// Close writes what is left, for a bounded time, and ends the log.
func (l *Log) Close() {
	const longest = 200 * time.Millisecond // a reader that has stopped must not hold up the end of the process
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(longest):
	}
}

// sink gathers lines in memory.
type sink struct {
	w       io.Writer
	limit   int
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	writing []byte
}

func newSink(w io.Writer, limit int) *sink { return &sink{w: w, limit: limit} }

// Write implements zapcore.WriteSyncer; a line that does not fit is left out and counted.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > s.limit {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written soon anyway.
func (s *sink) Sync() error { return nil }

// flush writes the lines that have gathered. Only one goroutine calls it.
func (s *sink) flush() {
	s.mu.Lock()
	s.pending, s.writing = s.writing[:0], s.pending
	s.mu.Unlock()
	if len(s.writing) == 0 {
		return
	}
	if _, err := s.w.Write(s.writing); err != nil {
		// There is no other place to report it to; the count says that lines are missing.
		s.dropped.Add(1)
	}
}
