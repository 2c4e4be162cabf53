package cpsimulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpsimulator"
)

// Bounds by which the more urgent of two kinds of request may be worse off than the less urgent one.
const (
	servedMargin = 0.05 // of the requests
	scoreMargin  = 0.15 // of the score
)

// checkUrgent runs a deployment with several seeds, and checks that its urgent kind is served about as often as its other kind and
// earns about as large a part of its value.
func checkUrgent(t *testing.T, cfg cpsimulator.Config) {
	t.Helper()
	served, score := map[string]float64{}, map[string]float64{}
	for cfg.Seed = 1; cfg.Seed <= 3; cfg.Seed++ {
		for kind, r := range run(t, cfg) {
			served[kind] += float64(r.InTime+r.Late) / float64(r.Requests) / 3
			score[kind] += r.Score() / 3
		}
	}
	assert.Assert(t, served[urgent] >= served["medium"]-servedMargin, "served %v", served)
	assert.Assert(t, score[urgent] >= score["medium"]*(1-scoreMargin), "scores %v", score)
}

// Guards against hedges that are sent so late that an urgent request loses the shards of slow targets, while a less urgent one
// still gets them. Others are slow every three seconds, so that VMs have to find out anew.
func TestSlowTargetsCostAnUrgentKindNoMoreThanTheOther(t *testing.T) {
	cfg := cpsimulator.SmallVMsConfig()
	for at := time.Duration(0); at < cfg.Duration; at += 3 * time.Second {
		affects := func(shard, n int) bool { return (shard*3+n+int(at/time.Second))*7%20 < 3 }
		cfg.Disruptions = append(cfg.Disruptions, cpsimulator.Disruption{From: at, To: at + 3*time.Second, Affects: affects, Slowdown: 8})
	}
	checkUrgent(t, cfg)
}

// Guards against queues at targets that a less urgent kind can bear and an urgent one cannot.
func TestAnOverloadCostsAnUrgentKindNoMoreThanTheOther(t *testing.T) {
	for _, factor := range []float64{6, 9} {
		cfg := cpsimulator.SmallVMsConfig()
		cfg.Duration, cfg.VMs, cfg.CallTime, cfg.FairAdmission = 3*time.Second, 12, 100*time.Microsecond, true
		for i := range cfg.Kinds {
			cfg.Kinds[i].Rate *= factor
		}
		checkUrgent(t, cfg)
	}
}
