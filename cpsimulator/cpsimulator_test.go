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
	// floor is the highest share of a perfect day that the users demand on their heaviest days.
	floor = 0.5
	// never is a share of the time to the objective in which every target answers.
	never = 1000
)

// calm is the deployment without trouble.
func calm() cpsimulator.Config { return cpsimulator.DefaultConfig() }

// run runs a model and returns its results by kind.
func run(t *testing.T, cfg cpsimulator.Config) map[string]*cpsimulator.Result {
	t.Helper()
	results := map[string]*cpsimulator.Result{}
	for _, r := range cpsimulator.Run(cfg) {
		t.Logf("%-8s asked %d, in time %d, late %d, refused %d, failed %d; worth %.3f; extra calls %.3f",
			r.Kind, r.Requests, r.InTime, r.Late, r.Refused, r.Failed, r.Score(), float64(r.Extra)/float64(max(r.Calls, 1)))
		results[r.Kind] = &r
	}
	return results
}

// each checks that every kind is worth at least a share of a perfect day.
func each(t *testing.T, results map[string]*cpsimulator.Result, least float64) {
	t.Helper()
	for name, r := range results {
		assert.Assert(t, r.Score() >= least, "%s is worth %.3f of %.3f", name, r.Score(), least)
	}
}

func always(t cpsimulator.Disruption) []cpsimulator.Disruption {
	t.From, t.To = 4*time.Second, 20*time.Second
	return []cpsimulator.Disruption{t}
}

func TestPausesOfTargetsDoNotReachCallers(t *testing.T) {
	hedged := run(t, calm())
	each(t, hedged, 0.98)
	plain := calm()
	plain.NoHedges = true
	assert.Assert(t, run(t, plain)[urgent].Score() < hedged[urgent].Score()-0.02, "the pauses do not matter in this model")
}

func TestPausesDoNotReachCallersOfManyVMsWithFewRequestsEach(t *testing.T) {
	cfg := cpsimulator.ManyVMsConfig()
	hedged := run(t, cfg)
	each(t, hedged, 0.95)
	cfg.NoHedges = true
	assert.Assert(t, run(t, cfg)[urgent].Score() < hedged[urgent].Score()-0.05, "the pauses do not matter in this model")
}

func TestOneSlowTargetInFiveIsFeltLittleByManyVMsWithFewRequestsEach(t *testing.T) {
	cfg := cpsimulator.ManyVMsConfig()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: func(shard, n int) bool { return (shard*3+n)%5 == 0 }, Slowdown: 8})
	each(t, run(t, cfg), 0.85)
}

func TestOneSlowCopyOfEachShard(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, Slowdown: 8})
	each(t, run(t, cfg), 0.96)
}

func TestAThirdOfEachShardDark(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, Unresponsive: true})
	each(t, run(t, cfg), 0.95)
}

func TestOneShardGoneAltogether(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: func(shard, _ int) bool { return shard == 0 }, Unresponsive: true})
	each(t, run(t, cfg), 0.8)
}

func TestRequestsShareTwoShardsThatCannotBearThemAll(t *testing.T) {
	cfg := cpsimulator.FewSlotsConfig()
	cfg.Disruptions = cpsimulator.TwoOverloadedShards(4*time.Second, 20*time.Second)
	results := run(t, cfg)
	each(t, results, 0.75)
	cfg.FanoutOptions = []cpfanout.Option{cpfanout.WithDeferThreshold(never)}
	asked := run(t, cfg)
	for name, r := range results {
		assert.Assert(t, r.Score() > asked[name].Score()+0.05, "leaving shards out wins nothing for %s requests", name)
	}
}

func TestAnOverloadedShardThatAllNeedGoesToRequestsThatCanBeInTime(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = cpsimulator.OneShardDownAndOneOverloaded(4*time.Second, 20*time.Second)
	results := run(t, cfg)
	// The overloaded target bears 107 of 135 requests a second; an answer without the other shard is worth 0.81.
	assert.Assert(t, results[urgent].Score() > floor)
	assert.Assert(t, results[short].Score() > floor)
}

func TestACopyThatRefusesHalfOfItsCalls(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, RefusedShare: 0.5})
	each(t, run(t, cfg), 0.96)
}

func TestMostTargetsRefuseHalfOfTheirCalls(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: func(shard, n int) bool { return (shard+n)%3 > 0 }, RefusedShare: 0.5})
	each(t, run(t, cfg), 0.6)
}

func TestNearlyAllTargetsRefuseMostOfTheirCalls(t *testing.T) {
	cfg := cpsimulator.FewSlotsConfig()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: func(shard, n int) bool { return (shard*3+n)%5 > 0 }, RefusedShare: 0.6})
	results := run(t, cfg)
	cfg.FanoutOptions = []cpfanout.Option{cpfanout.WithRefusalDelay(0)}
	hasty := run(t, cfg)
	for name, r := range results {
		assert.Assert(t, r.Score() > hasty[name].Score()+0.02, "%s: waiting for the other refusals wins nothing", name)
	}
}

func TestACopyThatLosesAnswers(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = always(cpsimulator.Disruption{Affects: cpsimulator.FirstReplica, ResetShare: 0.4})
	each(t, run(t, cfg), 0.96)
}

func TestAFloodOfOneKindIsServedInPartAndStarvesNobody(t *testing.T) {
	cfg := calm()
	cfg.Disruptions = []cpsimulator.Disruption{{From: 5 * time.Second, To: 15 * time.Second, Kind: urgent, RateFactor: 4.8}}
	results := run(t, cfg)
	each(t, results, floor)
	open := cfg
	open.NoAdmission = true
	without := run(t, open)
	assert.Assert(t, results[urgent].Score() > without[urgent].Score()+0.1, "admission wins nothing")
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
	for name, trouble := range map[string]cpsimulator.Disruption{
		"slow":   {Affects: cpsimulator.FirstReplica, Slowdown: 8},
		"dark":   {Affects: cpsimulator.FirstReplica, Unresponsive: true},
		"refuse": {Affects: func(int, int) bool { return true }, RefusedShare: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := calm()
			cfg.Disruptions = always(trouble)
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
