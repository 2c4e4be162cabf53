package cpfleet_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpcaller"
)

// TestKilledEntry proves that the sudden end of an entry VM loses no idempotent request, and that a
// non-idempotent one runs at most once and not at all when the verdict says so.
func TestKilledEntry(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.answered(100)
	f.entries[1].kill()
	l.answered(400)
	l.checkAlways(true, false)
}

// TestBlindResend shows that the check of at most once fails when callers resend whatever the fault.
func TestBlindResend(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{targetFlags: []string{"--service-time", "50ms"}})
	rules := cpcaller.DefaultRules()
	rules.BlindResend = true
	l := f.load("", cpcaller.WithRules(rules))
	l.answered(100)
	f.entries[1].kill()
	l.answered(200)
	assert.Assert(t, len(checkOnce(l.finish(), f.runs())) > 0)
}

// TestRollingReplacement proves that the replacement of every entry VM by graceful shutdown fails no request
// and cuts none.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.answered(100)
	for i, old := range f.entries[:len(domains)] {
		leaving := old.vm
		leaving.Leaving = true
		f.register(leaving)
		old.signal(syscall.SIGTERM)
		fresh := f.startEntry(fmt.Sprintf("vm-%c2", domains[i]), domains[i:i+1])
		select {
		case <-old.done:
		case <-time.After(patience):
			t.Fatalf("%s has not ended", old.name)
		}
		assert.NilError(t, old.err, "%s", tail(old.log))
		f.unregister(old)
		f.ready(fresh)
		l.answered(100)
	}
	f.entries = f.entries[len(domains):]
	l.checkAlways(true, true)
}

// TestPausedEntry proves that an entry VM that was paused while its failure domain was taken out sends
// no work to the domain's targets when it goes on.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.answered(100)
	paused := f.entries[1]
	paused.signal(syscall.SIGSTOP)
	f.entries = []*entry{f.entries[0], f.entries[2], paused}
	accepted := f.move("take-out", "b")
	time.Sleep(time.Until(accepted.Add(2 * promised)))
	paused.signal(syscall.SIGCONT)
	l.answered(300)
	report(t, "quiet", f.checkQuiet("b", accepted))
	l.checkAlways(true, false)
}
