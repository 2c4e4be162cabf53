// Package cplog implements the log of a process. It writes JSON lines, limits their rate for each event, and never
// blocks the caller on the writer. Lines that are dropped are counted.
package cplog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplogevent"
)

// Log is the log of one process.
type Log struct {
	*zap.Logger
	sink *sink
	// limited counts the lines that were dropped by the rate limit of their event.
	limited atomic.Uint64
	// reported holds the counts up to the last LinesOmitted event.
	reported struct{ limited, full uint64 }
	stop     chan struct{}
	done     chan struct{}
}

// New returns a log that writes to w until Close.
func New(w io.Writer, opts ...Option) *Log {
	options := NewOptions(opts...)
	l := &Log{sink: newSink(w, options.BufferBytes), stop: make(chan struct{}), done: make(chan struct{})}
	info := l.core(options.PerSecond, options.Thereafter, func(v zapcore.Level) bool {
		return v >= options.Level && v < zapcore.WarnLevel
	})
	warn := l.core(options.WarnPerSecond, options.Thereafter, func(v zapcore.Level) bool {
		return v >= options.Level && v >= zapcore.WarnLevel
	})
	l.Logger = zap.New(zapcore.NewTee(info, warn))
	go l.flush(options.FlushPeriod, options.ReportPeriod)
	return l
}

// core returns a core for the levels for which enabled is true, with a rate limit for each event.
func (l *Log) core(perSecond, thereafter int, enabled zap.LevelEnablerFunc) zapcore.Core {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder()), l.sink, enabled)
	return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, thereafter, zapcore.SamplerHook(l.sampled))
}

// encoder returns the configuration of the encoder: field names in Pascal case, times with milliseconds.
func encoder() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey: cplogevent.FieldTime, LevelKey: cplogevent.FieldLevel, MessageKey: cplogevent.FieldEvent, NameKey: zapcore.OmitKey,
		EncodeTime:     zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z07:00"),
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: milliseconds,
	}
}

// milliseconds encodes a duration as milliseconds, rounded to the microsecond.
func milliseconds(d time.Duration, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendFloat64(float64(d.Round(time.Microsecond)) / float64(time.Millisecond))
}

// sampled counts the lines that the sampler drops.
func (l *Log) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.limited.Add(1)
	}
}

// Cause returns a field with the message of err, without the stack trace that some errors carry. A nil err adds no
// field.
func Cause(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}

// Position returns the fields of a position in the store's history: Era, and AsOf for the revision.
func Position(p clementineport.StorePosition) zap.Field { return zap.Inline(position(p)) }

// position logs a position in the store's history.
type position clementineport.StorePosition

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p position) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddUint64("Era", uint64(p.Era))
	enc.AddUint64("AsOf", uint64(p.Revision))
	return nil
}

// Omitted returns the number of lines dropped by the rate limits, and of those dropped because the buffer was full or a
// write failed. A failed write counts as one line.
func (l *Log) Omitted() (limited, full uint64) { return l.limited.Load(), l.sink.dropped.Load() }

// flush writes the buffered lines periodically until Close.
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

// report logs the number of lines dropped since the last report, if any.
func (l *Log) report() {
	limited, full := l.Omitted()
	last := l.reported
	l.reported.limited, l.reported.full = limited, full
	if limited > last.limited || full > last.full {
		l.Info(string(cplogevent.LinesOmitted), zap.Uint64("TooManyOfAKind", limited-last.limited), zap.Uint64("WriterFull", full-last.full))
	}
}

// Close flushes the buffer and stops the log. It waits only a limited time for the writer.
func (l *Log) Close() {
	const maxWait = 200 * time.Millisecond // a reader that is stuck must not delay the exit of the process
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(maxWait):
	}
}

// sink buffers lines in memory.
type sink struct {
	w       io.Writer
	limit   int
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	writing []byte
}

func newSink(w io.Writer, limit int) *sink { return &sink{w: w, limit: limit} }

// Write implements zapcore.WriteSyncer. A line that does not fit into the buffer is dropped and counted.
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

// Sync implements zapcore.WriteSyncer. It does nothing, because lines are flushed periodically.
func (s *sink) Sync() error { return nil }

// flush writes the buffered lines. It must not be called concurrently.
func (s *sink) flush() {
	s.mu.Lock()
	s.pending, s.writing = s.writing[:0], s.pending
	s.mu.Unlock()
	if len(s.writing) == 0 {
		return
	}
	if _, err := s.w.Write(s.writing); err != nil {
		// The error can't be reported elsewhere, but the count shows that lines are missing.
		s.dropped.Add(1)
	}
}
