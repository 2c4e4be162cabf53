package cpcatalog_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
