package cpfleet_test

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfaketarget"
)

// TestLateAnswers checks that answers that arrive late or out of order are never returned for another request. The
// programs are built with the race detector and must not report a race.
func TestLateAnswers(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	assert.NilError(t, build(dir, "-race"))
	f := newFleet(t, fleetOptions{binaries: dir, targetFlags: []string{"--straggler-share", "0.1", "--straggler-factor", "40"}})
	l := f.load("")
	l.awaitAnswers(300)
	f.entries[2].kill()
	l.awaitAnswers(200)
	l.checkInvariants(false, false)
	for _, e := range f.entries {
		log, err := os.ReadFile(e.log)
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(log, []byte("DATA RACE")), "%s: %s", e.name, log)
	}
}

// TestChecks checks that the checks of a load accept correct outcomes and detect incorrect ones.
func TestChecks(t *testing.T) {
	t.Parallel()
	v1, v2 := clementineport.Snapshot{Version: 1, Layout: 1}, clementineport.Snapshot{Version: 2, Layout: 1}
	answer := func(covered []clementineport.ShardID, text string, snapshots ...clementineport.Snapshot) outcome {
		o := outcome{query: clementineport.Query{Text: "own", Limit: hitLimit}, answer: &clementineport.Answer{
			Snapshot: v1, Shards: 2, Covered: covered, Complete: len(covered) == 2,
		}}
		for shard := clementineport.ShardID(0); int(shard) < len(covered); shard++ {
			if !o.answer.Complete {
				o.answer.Missing = []clementineport.MissingShard{{Shard: 1}}
			}
			o.answer.Hits = append(o.answer.Hits, hits(shard, snapshots[shard], text)...)
		}
		o.answer.Hits = topHits(o.answer.Hits)
		return o
	}
	both := []clementineport.ShardID{0, 1}
	good := answer(both, "own", v1, v1)
	assert.NilError(t, firstFault(checkAnswers([]outcome{good, answer(both[:1], "own", v1)})))
	assert.NilError(t, firstFault(checkComplete([]outcome{good}, true)))
	for name, o := range map[string]outcome{
		"two versions":        answer(both, "own", v1, v2),
		"another request":     answer(both, "other", v1, v1),
		"covered but not hit": {query: good.query, answer: &clementineport.Answer{Snapshot: v1, Shards: 2, Covered: both, Complete: true}},
		"shard not stated":    {query: good.query, answer: &clementineport.Answer{Snapshot: v1, Shards: 3, Covered: both, Complete: true, Hits: good.answer.Hits}},
	} {
		assert.Assert(t, len(checkAnswers([]outcome{o})) > 0, name)
	}
	notRun := outcome{query: good.query, err: clementineport.Fail(clementineport.FaultShed, "full")}
	run := func(s clementineport.ShardID) cpfaketarget.Run { return cpfaketarget.Run{Text: "own", Shard: s} }
	assert.NilError(t, firstFault(checkAtMostOnce([]outcome{good}, []cpfaketarget.Run{run(0), run(1)})))
	assert.Assert(t, len(checkAtMostOnce([]outcome{good}, []cpfaketarget.Run{run(0)})) > 0, "covered but not run")
	assert.Assert(t, len(checkAtMostOnce([]outcome{good}, []cpfaketarget.Run{run(0), run(1), run(1)})) > 0, "run twice")
	assert.Assert(t, len(checkAtMostOnce([]outcome{notRun}, []cpfaketarget.Run{run(0)})) > 0, "refused but run")
	assert.Assert(t, len(checkComplete([]outcome{notRun}, true)) > 0, "refused")
	assert.Assert(t, len(checkComplete([]outcome{answer(both[:1], "own", v1)}, true)) > 0, "incomplete")
}

// firstFault returns the first fault, or nil if there is none.
func firstFault(faults []error) error {
	if len(faults) > 0 {
		return faults[0]
	}
	return nil
}
