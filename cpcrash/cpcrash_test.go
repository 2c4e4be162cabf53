package cpcrash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcrash"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// crash returns the report of the crash of a target while it ran a request.
func crash(key clementineport.RequestKey, target int) *clementineport.RequestReport {
	run := clementineport.TargetRun{ID: clementineport.TargetID(fmt.Sprintf("t-%d", target)), Born: 1}
	return &clementineport.RequestReport{Key: key, Run: run}
}

func served(key clementineport.RequestKey) *clementineport.RequestReport {
	return &clementineport.RequestReport{Key: key, Served: true}
}

func blocked(t *cpcrash.Tracker, key clementineport.RequestKey) bool {
	return t.Suspects()[key].Blocked()
}

// Guards against a request that crashes one target after the other.
func TestARequestIsBlockedOnceItHasCrashedThreeTargets(t *testing.T) {
	tracker := cpcrash.New()
	assert.Assert(t, tracker.Report(at(0), crash(1, 1)))
	assert.Assert(t, !tracker.Report(at(1), crash(1, 1)), "the same target")
	assert.Assert(t, tracker.Report(at(2), crash(1, 2)))
	assert.Assert(t, tracker.Report(at(2), crash(2, 2)))
	assert.Assert(t, !blocked(tracker, 1))
	assert.Assert(t, tracker.Report(at(3), crash(1, 3)))
	assert.Assert(t, blocked(tracker, 1) && !blocked(tracker, 2))
	assert.Equal(t, tracker.Suspects()[1].LastCrash, at(3))
}

func TestARunOfATargetThatStartsAgainCountsAnew(t *testing.T) {
	tracker := cpcrash.New()
	for born := range int64(3) {
		r := crash(1, 1)
		r.Run.Born = born
		assert.Assert(t, tracker.Report(at(float64(born)), r))
	}
	assert.Assert(t, blocked(tracker, 1))
}

// Guards against blocking a request that was under way at several targets that crashed for another reason.
func TestARequestThatATargetServesIsNotTheCause(t *testing.T) {
	tracker := cpcrash.New()
	for i := range 3 {
		tracker.Report(at(1), crash(1, i))
	}
	assert.Assert(t, blocked(tracker, 1))
	assert.Assert(t, tracker.Report(at(2), served(1)))
	assert.Assert(t, !blocked(tracker, 1))
	late := crash(1, 9)
	late.Age = 2 * time.Second
	assert.Assert(t, !tracker.Report(at(3), late), "a crash before it was served")
	assert.Assert(t, tracker.Report(at(4), crash(1, 9)))
	assert.Equal(t, tracker.Suspects()[1].Crashed, 1)
}

func TestTheOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []clementineport.RequestReport
		for i := range rapid.IntRange(1, 6).Draw(t, "reports") {
			r := *crash(1, rapid.IntRange(0, 4).Draw(t, "target"))
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				r = *served(1)
			}
			r.Age = time.Duration(i) * time.Second
			reports = append(reports, r)
		}
		first, second := cpcrash.New(), cpcrash.New()
		for i := range reports {
			first.Report(at(100), &reports[i])
		}
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			second.Report(at(100), &r)
		}
		a, b := first.Suspects()[1], second.Suspects()[1]
		assert.Equal(t, a.Crashed, b.Crashed)
	})
}

func TestWhatOneVMKnowsAnotherOneLearns(t *testing.T) {
	first, second := cpcrash.New(), cpcrash.New()
	first.Report(at(1), crash(1, 1))
	first.Report(at(1), served(1))
	assert.Assert(t, !first.Report(at(1.5), served(1)), "nothing new")
	for i := range 4 {
		first.Report(at(2+float64(i)), crash(1, i))
	}
	first.Report(at(6), crash(2, 1))
	news := first.Since(at(7), time.Time{})
	assert.Equal(t, news[0].Key, clementineport.RequestKey(2), "the latest first")
	for i := range news {
		second.Report(at(7), &news[i])
	}
	assert.DeepEqual(t, first.Suspects(), second.Suspects())
	assert.Equal(t, len(first.Since(at(7), at(5.5))), 1)
}

func TestReportsAreForgotten(t *testing.T) {
	tracker := cpcrash.New(cpcrash.WithRetention(time.Minute))
	for i := range 3 {
		tracker.Report(at(0), crash(1, i))
	}
	assert.Assert(t, !tracker.Tick(at(59)))
	assert.Assert(t, blocked(tracker, 1))
	assert.Assert(t, tracker.Tick(at(60)))
	assert.Equal(t, len(tracker.Suspects()), 0)
	old := crash(1, 1)
	old.Age = time.Hour
	assert.Assert(t, !tracker.Report(at(61), old))
}

func TestManyRequestsUnderWayInACrashDoNotDisplaceABlockedOne(t *testing.T) {
	tracker := cpcrash.New(cpcrash.WithMaxRequests(10))
	for i := range 3 {
		tracker.Report(at(0), crash(1, i))
	}
	for key := range clementineport.RequestKey(1000) {
		tracker.Report(at(1), crash(key+2, 7))
	}
	assert.Assert(t, blocked(tracker, 1))
	assert.Equal(t, len(tracker.Suspects()), 10)
}

func TestAReportOfTheFutureCountsAsOfNow(t *testing.T) {
	tracker := cpcrash.New()
	r := crash(1, 1)
	r.Age = -time.Hour
	tracker.Report(at(0), r)
	assert.Equal(t, tracker.Suspects()[1].LastCrash, at(0))
}
