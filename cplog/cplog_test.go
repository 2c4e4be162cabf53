package cplog_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cplog"
)

// lines is a writer that is safe for concurrent use.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(strings.TrimSpace(l.b.String()), "\n")
}

func TestLinesAreJSON(t *testing.T) {
	var out lines
	log := cplog.New(&out)
	log.Info("Started", zap.String("VM", "a"), zap.Duration("Took", 1500*time.Microsecond))
	log.Close()
	var line struct {
		Event, VM, Level, Time string
		Took                   float64
	}
	assert.NilError(t, json.Unmarshal([]byte(out.all()[0]), &line))
	assert.Equal(t, line.Event, "Started")
	assert.Equal(t, line.VM, "a")
	assert.Equal(t, line.Took, 1.5)
}

func TestAFloodOfOneKindIsBoundedAndCounted(t *testing.T) {
	var out lines
	log := cplog.New(&out, cplog.WithPerSecond(10))
	for range 1000 {
		log.Info("Flood")
	}
	log.Info("Rare")
	limited, _ := log.Omitted()
	log.Close()
	flood, rare := 0, 0
	for _, line := range out.all() {
		if strings.Contains(line, `"Flood"`) {
			flood++
		}
		if strings.Contains(line, `"Rare"`) {
			rare++
		}
	}
	assert.Assert(t, flood < 100)
	assert.Equal(t, rare, 1)
	assert.Equal(t, int(limited)+flood, 1000)
	assert.Assert(t, strings.Contains(strings.Join(out.all(), "\n"), "LinesOmitted"))
}

func TestAPipeThatNobodyReadsDelaysNothing(t *testing.T) {
	r, w := io.Pipe()
	defer func() { assert.NilError(t, r.Close()) }()
	log := cplog.New(w, cplog.WithBufferBytes(10_000), cplog.WithPerSecond(1_000_000))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			log.Info("Line", zap.String("Text", strings.Repeat("x", 100)))
		}
		log.Close()
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on the reader")
	}
	_, full := log.Omitted()
	assert.Assert(t, full > 1000)
}
