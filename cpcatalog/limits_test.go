package cpcatalog_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
)

// limit returns what run 1 of target x stated some milliseconds ago; a negative rate means no limit.
func limit(rate clementineport.RequestRate, age int) *clementineport.TargetLimit {
	l := &clementineport.TargetLimit{Run: clementineport.TargetRun{ID: "x", Born: 1}, Age: time.Duration(age) * time.Millisecond}
	if rate >= 0 {
		l.Limited, l.Rate = true, rate
	}
	return l
}

// limitOf returns the limit of target x, or -1 if it has none.
func limitOf(c *cpcatalog.Catalog) clementineport.RequestRate {
	if rate, limited := c.Limit(c.Targets()["x"]); limited {
		return rate
	}
	return -1
}

func TestTheLatestStatementOfATargetHolds(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 10), target("x", 1)))
	assert.Assert(t, !c.SetLimit(at(5), limit(-1, 0)), "it has never had a limit")
	assert.Assert(t, c.SetLimit(at(10), limit(30, 0)))
	assert.Assert(t, !c.SetLimit(at(20), limit(30, 0)), "nothing new")
	assert.Assert(t, c.SetLimit(at(30), limit(20, 5)))
	assert.Assert(t, !c.SetLimit(at(40), limit(10, 20)), "stated before")
	assert.Equal(t, limitOf(c), clementineport.RequestRate(20))
	assert.Assert(t, c.SetLimit(at(50), limit(-1, 0)))
	assert.Assert(t, !c.SetLimit(at(60), limit(20, 30)), "stated before the end")
	assert.Equal(t, limitOf(c), clementineport.RequestRate(-1))
	assert.Assert(t, c.SetLimit(at(70), limit(0, 0)), "a limit of zero is one")
	assert.Equal(t, limitOf(c), clementineport.RequestRate(0))
}

func TestALimitBelongsToOneRunOfATarget(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 10), target("x", 1)))
	assert.Assert(t, c.SetLimit(at(10), limit(30, 0)))
	apply(c, 20, full(position(2, 5), target("x", 2)))
	assert.Equal(t, limitOf(c), clementineport.RequestRate(30), "a restore of the store")
	again := target("x", 1)
	again.Born = 2
	apply(c, 30, clementineport.FleetUpdate{AsOf: position(2, 6), Targets: []clementineport.TargetInstance{again}})
	assert.Equal(t, limitOf(c), clementineport.RequestRate(-1))
	assert.Assert(t, !c.SetLimit(at(40), limit(20, 0)), "of the run before")
	assert.Equal(t, limitOf(c), clementineport.RequestRate(-1))
}

func TestUnreadableLimitsOfOtherVMsAreIgnored(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 10), target("x", 1)))
	for _, rate := range []float64{math.NaN(), -1, math.Inf(-1)} {
		bad := limit(0, 0)
		bad.Rate = clementineport.RequestRate(rate)
		assert.Assert(t, !c.SetLimit(at(10), bad), "%v", rate)
	}
	future := limit(30, -3_600_000)
	assert.Assert(t, c.SetLimit(at(20), future), "an age below zero counts as zero")
	assert.Assert(t, c.SetLimit(at(30), limit(-1, 0)))
}

func TestOnlyChangesOfLimitsAreNews(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 10), target("x", 1)))
	c.SetLimit(at(10), limit(30, 0))
	c.SetLimit(at(500), limit(30, 0))
	assert.Equal(t, len(c.LimitsSince(at(600), at(100))), 0)
	known := c.LimitsSince(at(600), at(0))
	assert.DeepEqual(t, known, []clementineport.TargetLimit{*limit(30, 100)})
	c.SetLimit(at(700), limit(-1, 0))
	assert.DeepEqual(t, c.LimitsSince(at(700), at(600)), []clementineport.TargetLimit{*limit(-1, 0)})
}

// TestAStatementThatIsLongOnItsWayDoesNotReplaceALaterOne guards against a limit that has ended and comes back, since a VM was paused
// with the message that named it, or VMs tell each other of it again and again.
func TestAStatementThatIsLongOnItsWayDoesNotReplaceALaterOne(t *testing.T) {
	a, b := cpcatalog.New(), cpcatalog.New()
	for _, c := range []*cpcatalog.Catalog{a, b} {
		apply(c, 0, full(position(1, 10), target("x", 1)))
	}
	assert.Assert(t, a.StateLimit(at(0), limit(20, 0)))
	message := a.LimitsSince(at(0), start.Add(-1))[0]
	assert.Assert(t, b.SetLimit(at(50), &message))
	assert.Assert(t, b.StateLimit(at(100), limit(-1, 0)))
	late := message
	assert.Assert(t, !b.SetLimit(at(3000), &late))
	assert.Equal(t, limitOf(b), clementineport.RequestRate(-1))
	end := b.LimitsSince(at(3000), start)[0]
	assert.Assert(t, a.SetLimit(at(4000), &end))
	assert.Equal(t, limitOf(a), clementineport.RequestRate(-1))
}

// TestAllVMsAgreeOnTheLatestLimit has VMs state limits one after the other, each after it has learned of the one before, and pass on what they
// know with delays, in any order.
func TestAllVMsAgreeOnTheLatestLimit(t *testing.T) {
	type message struct {
		arrives time.Time
		to      int
		limits  []clementineport.TargetLimit
	}
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		var all []*cpcatalog.Catalog
		for range vms {
			c := cpcatalog.New()
			apply(c, 0, full(position(1, 10), target("x", 1)))
			all = append(all, c)
		}
		now, latest, stated := start, clementineport.RequestRate(-1), 0
		var statement []clementineport.TargetLimit // the latest
		knowsLatest := func(c *cpcatalog.Catalog) bool {
			known := c.LimitsSince(now, start.Add(-1))
			return stated == 0 || len(known) == 1 && known[0].Seq == statement[0].Seq
		}
		var underWay []message
		send := func(from, to int, delay time.Duration) {
			underWay = append(underWay, message{now.Add(delay), to, all[from].LimitsSince(now, start.Add(-1))})
		}
		receive := func() {
			underWay = slices.DeleteFunc(underWay, func(m message) bool {
				if m.arrives.After(now) {
					return false
				}
				for j := range m.limits {
					all[m.to].SetLimit(now, &m.limits[j])
				}
				return true
			})
		}
		vm := rapid.IntRange(0, vms-1)
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			if from := vm.Draw(t, "from"); i%10 == 0 && knowsLatest(all[from]) {
				stated++
				latest = clementineport.RequestRate(stated % 3 * 10)
				if latest == 0 {
					latest = -1
				}
				all[from].StateLimit(now, limit(latest, 0))
				statement = all[from].LimitsSince(now, start.Add(-1))
			} else if to := vm.Draw(t, "to"); to != from {
				send(from, to, time.Duration(rapid.SampledFrom([]int{1, 20, 2000}).Draw(t, "delay ms"))*time.Millisecond)
			}
			receive()
		}
		now = now.Add(3 * time.Second) // all that was under way has arrived
		receive()
		for range 2 {
			for from := range all {
				for to := range all {
					send(from, to, 0)
				}
			}
			receive()
		}
		for i := range all {
			assert.Equal(t, limitOf(all[i]), latest, "VM %d", i)
		}
	})
}

// TestVMsThatStateDifferentLimitsAtOnceAgree guards against VMs that keep different limits of a target for good.
func TestVMsThatStateDifferentLimitsAtOnceAgree(t *testing.T) {
	for name, other := range map[string]clementineport.RequestRate{"higher": 30, "none": -1} {
		t.Run(name, func(t *testing.T) {
			a, b := cpcatalog.New(), cpcatalog.New()
			for _, c := range []*cpcatalog.Catalog{a, b} {
				apply(c, 0, full(position(1, 10), target("x", 1)))
				c.SetLimit(at(0), &clementineport.TargetLimit{Run: clementineport.TargetRun{ID: "x", Born: 1}, Limited: true, Rate: 50, Seq: 3})
			}
			a.StateLimit(at(100), limit(20, 0))
			b.StateLimit(at(100), limit(other, 0))
			fromA, fromB := a.LimitsSince(at(120), at(50)), b.LimitsSince(at(120), at(50))
			a.SetLimit(at(150), &fromB[0])
			b.SetLimit(at(150), &fromA[0])
			assert.Equal(t, limitOf(a), clementineport.RequestRate(20), "the lower one")
			assert.Equal(t, limitOf(b), clementineport.RequestRate(20))
			b.StateLimit(at(200), limit(other, 0))
			again := b.LimitsSince(at(200), at(199))
			a.SetLimit(at(250), &again[0])
			assert.Equal(t, limitOf(a), other, "the target states it again")
		})
	}
}

// TestALimitThatAVMStatesWithoutKnowingTheLatestHolds guards against a VM that was cut off while a limit came and went, and whose
// statements are ignored from then on.
func TestALimitThatAVMStatesWithoutKnowingTheLatestHolds(t *testing.T) {
	a, b := cpcatalog.New(), cpcatalog.New()
	for _, c := range []*cpcatalog.Catalog{a, b} {
		apply(c, 0, full(position(1, 10), target("x", 1)))
	}
	a.StateLimit(at(100), limit(20, 0))
	a.StateLimit(at(200), limit(-1, 0))
	assert.Assert(t, b.StateLimit(at(20_000), limit(10, 0)))
	stated := b.LimitsSince(at(20_000), start)[0]
	assert.Assert(t, a.SetLimit(at(20_010), &stated))
	assert.Equal(t, limitOf(a), clementineport.RequestRate(10))
}
