package cplatency_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cplatency"
)

func ExampleWindow() {
	w := cplatency.New()
	now := time.Unix(0, 0)
	for ms := range 100 {
		w.Add(now, time.Duration(ms+1)*time.Millisecond)
	}
	fmt.Println(w.Typical().Round(10*time.Millisecond), w.High().Round(10*time.Millisecond))
	// Output: 30ms 60ms
}

func TestWindowWithoutSamples(t *testing.T) {
	w := cplatency.New()
	assert.Equal(t, w.Typical(), time.Duration(0))
	assert.Equal(t, w.High(), time.Duration(0))
}

func TestOldSamplesExpire(t *testing.T) {
	w := cplatency.New(cplatency.WithSpan(time.Second))
	now := time.Unix(0, 0)
	add := func(n int, d time.Duration) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			w.Add(now, d)
		}
	}
	add(200, 100*time.Millisecond)
	assert.Assert(t, w.Typical() > 90*time.Millisecond)
	add(300, 10*time.Millisecond)
	assert.Assert(t, w.Typical() < 20*time.Millisecond)
}

func TestLatenciesAreClampedToBounds(t *testing.T) {
	w := cplatency.New()
	w.Add(time.Unix(0, 0), time.Hour)
	assert.Assert(t, w.Typical() > 30*time.Second)
	w = cplatency.New()
	w.Add(time.Unix(0, 0), -time.Second)
	assert.Assert(t, w.Typical() > 0)
}
