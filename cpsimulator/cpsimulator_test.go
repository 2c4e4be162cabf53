package cpsimulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpsimulator"
)

const (
	urgent = "urgent"
	short  = "short"
	// minScore is the highest of the scores that the users require under their heaviest loads.
	minScore = 0.5
	// noDeferral is a defer threshold, as a multiple of the time left until the objective, that no expected latency
	// exceeds.
	noDeferral = 1000
)

// calm returns a deployment without disruptions.
func calm() cpsimulator.Config { return cpsimulator.DefaultConfig() }

// run runs a model and returns its results by kind.
func run(t *testing.T, cfg cpsimulator.Config) map[string]*cpsimulator.Result {
	t.Helper()
	results := map[string]*cpsimulator.Result{}
	for _, r := range cpsimulator.Run(cfg) {
		t.Logf("%-8s requests %d, in time %d, late %d, refused %d, failed %d; score %.3f; extra calls %.3f",
			r.Kind, r.Requests, r.InTime, r.Late, r.Refused, r.Failed, r.Score(), float64(r.Extra)/float64(max(r.Calls, 1)))
		results[r.Kind] = &r
	}
	return results
}

// checkScores checks that every kind reaches a minimum score.
func checkScores(t *testing.T, results map[string]*cpsimulator.Result, least float64) {
	t.Helper()
	for name, r := range results {
		assert.Assert(t, r.Score() >= least, "%s scores %.3f, want at least %.3f", name, r.Score(), least)
	}
}

// untilEnd returns a disruption that lasts from second 4 to the end of the run.
func untilEnd(d cpsimulator.Disruption) []cpsimulator.Disruption {
	d.From, d.To = 4*time.Second, 20*time.Second
	return []cpsimulator.Disruption{d}
}

func TestPausesOfTargetsDoNotReachCallers(t *testing.T) {
	hedged := run(t, calm())
	checkScores(t, hedged, 0.98)
	unhedged := calm()
	unhedged.NoHedges = true
	assert.Assert(t, run(t, unhedged)[urgent].Score() < hedged[urgent].Score()-0.02, "pauses have no effect in this model")
}

func TestPausesDoNotReachCallersOfManyVMsWithFewRequestsEach(t *testing.T) {
	cfg := cpsimulator.ManyVMsConfig()
	hedged := run(t, cfg)
	checkScores(t, hedged, 0.95)
	cfg.NoHedges = true
	assert.Assert(t, run(t, cfg)[urgent].Score() < hedged[urgent].Score()-0.05, "pauses have no effect in this model")
}

func TestOneSlowTargetInFiveIsFeltLittleByManyVMsWithFewRequestsEach(t *testing.T) {
	cfg := cpsimulator.ManyVMsConfig()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: func(shard, n int) bool { return (shard*3+n)%5 == 0 }, Slowdown: 8})
	checkScores(t, run(t, cfg), 0.85)
}

func TestOneSlowCopyOfEachShard(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, Slowdown: 8})
	checkScores(t, run(t, cfg), 0.96)
}

func TestAThirdOfEachShardUnresponsive(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, Unresponsive: true})
	checkScores(t, run(t, cfg), 0.95)
}

func TestOneShardGoneAltogether(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: func(shard, _ int) bool { return shard == 0 }, Unresponsive: true})
	checkScores(t, run(t, cfg), 0.8)
}

func TestRequestsShareTwoShardsThatCannotBearThemAll(t *testing.T) {
	cfg := cpsimulator.FewSlotsConfig()
	cfg.Disruptions = cpsimulator.TwoOverloadedShards(4*time.Second, 20*time.Second)
	results := run(t, cfg)
	checkScores(t, results, 0.75)
	cfg.FanoutOptions = []cpfanout.Option{cpfanout.WithDeferThreshold(noDeferral)}
	withoutDeferral := run(t, cfg)
	for name, r := range results {
		assert.Assert(t, r.Score() > withoutDeferral[name].Score()+0.05, "deferring shards gains nothing for %s requests", name)
	}
}

func TestAnOverloadedShardThatAllNeedGoesToRequestsThatCanBeInTime(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = cpsimulator.OneShardDownAndOneOverloaded(4*time.Second, 20*time.Second)
	results := run(t, cfg)
	// The overloaded target can handle 107 of 135 requests per second; an answer without the other shard scores 0.81.
	assert.Assert(t, results[urgent].Score() > minScore)
	assert.Assert(t, results[short].Score() > minScore)
}

func TestACopyThatRefusesHalfOfItsCalls(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, RefusedShare: 0.5})
	checkScores(t, run(t, cfg), 0.96)
}

func TestMostTargetsRefuseHalfOfTheirCalls(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: func(shard, n int) bool { return (shard+n)%3 > 0 }, RefusedShare: 0.5})
	checkScores(t, run(t, cfg), 0.6)
}

func TestNearlyAllTargetsRefuseMostOfTheirCalls(t *testing.T) {
	cfg := cpsimulator.FewSlotsConfig()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: func(shard, n int) bool { return (shard*3+n)%5 > 0 }, RefusedShare: 0.6})
	results := run(t, cfg)
	cfg.FanoutOptions = []cpfanout.Option{cpfanout.WithRefusalDelay(0)}
	withoutDelay := run(t, cfg)
	for name, r := range results {
		assert.Assert(t, r.Score() > withoutDelay[name].Score()+0.02, "%s: the refusal delay gains nothing", name)
	}
}

func TestACopyThatLosesAnswers(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = untilEnd(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, ResetShare: 0.4})
	checkScores(t, run(t, cfg), 0.96)
}

func TestAFloodOfOneKindIsServedInPartAndStarvesNobody(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = []cpsimulator.Disruption{{From: 5 * time.Second, To: 15 * time.Second, Kind: urgent, RateFactor: 4.8}}
	results := run(t, cfg)
	checkScores(t, results, minScore)
	unlimited := cfg
	unlimited.NoAdmission = true
	withoutAdmission := run(t, unlimited)
	assert.Assert(t, results[urgent].Score() > withoutAdmission[urgent].Score()+0.1, "admission control gains nothing")
	served := float64(results[short].InTime+results[short].Late) / float64(results[short].Requests)
	assert.Assert(t, served > 0.25, "only %.2f of the short requests are served", served)
}

func TestARunWithTheSameSeedIsTheSame(t *testing.T) {
	cfg := calm()
	cfg.Duration = 3 * time.Second
	cfg.Disruptions = []cpsimulator.Disruption{{To: 3 * time.Second, Affects: cpsimulator.FirstReplica, Unresponsive: true}}
	assert.DeepEqual(t, cpsimulator.Run(cfg), cpsimulator.Run(cfg))
}

func TestExtraCallsStayWithinTheBudgetOfAllVMs(t *testing.T) {
	for name, disruption := range map[string]cpsimulator.Disruption{
		"slow":         {Affects: cpsimulator.FirstReplica, Slowdown: 8},
		"unresponsive": {Affects: cpsimulator.FirstReplica, Unresponsive: true},
		"refuse":       {Affects: func(int, int) bool { return true }, RefusedShare: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := calm()
			cfg.Disruptions = untilEnd(disruption)
			extra, calls := 0, 0
			for _, r := range run(t, cfg) {
				extra += r.Extra
				calls += r.Calls
			}
			bound := cfg.Retries.Ratio*float64(calls) + cfg.Retries.Slack*float64(cfg.Targets.Shards)
			assert.Assert(t, float64(extra) <= bound, "%d extra calls, %v allowed", extra, bound)
		})
	}
}
