package cpsimulator

import (
	"time"

	"github.com/clementineport/clementineport/cpquota"
)

// DefaultConfig returns a deployment of the size that the users run, at an ordinary load. It has ten shards with three
// targets each, which pause for a moment every few seconds, and two kinds of request, of which the shorter one has the
// lower priority.
func DefaultConfig() Config {
	return Config{
		Seed: 1, VMs: 6, Duration: 20 * time.Second, NetworkDelay: 1500 * time.Microsecond,
		Retries: cpquota.RetryBound{Ratio: 0.2, Slack: 52, Window: 10 * time.Second},
		Targets: Targets{
			Shards: 10, Replicas: 3, Slots: 6, Queue: 36, Pause: 250 * time.Millisecond, PauseEvery: 6 * time.Second,
		},
		Kinds: []Kind{
			{
				Name: "urgent", Priority: 0, Rate: 135, ServiceTime: 28 * time.Millisecond, Objective: 200 * time.Millisecond,
				Deadline: 1200 * time.Millisecond, MinCoverage: 0.89,
			},
			{
				Name: "short", Priority: 1, Rate: 45, ServiceTime: 9 * time.Millisecond, Objective: 80 * time.Millisecond,
				Deadline: 500 * time.Millisecond, MinCoverage: 0.75,
			},
		},
	}
}

// FewSlotsConfig returns a deployment whose targets process few requests concurrently, with tighter objectives.
func FewSlotsConfig() Config {
	cfg := DefaultConfig()
	cfg.VMs, cfg.NetworkDelay = 8, 600*time.Microsecond
	cfg.Targets.Slots, cfg.Targets.Queue = 4, 24
	cfg.Targets.Pause, cfg.Targets.PauseEvery = 200*time.Millisecond, 4500*time.Millisecond
	for i, k := range []struct {
		rate                             float64
		serviceTime, objective, deadline time.Duration
	}{
		{149, 20 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond},
		{50, 6700 * time.Microsecond, 60 * time.Millisecond, 400 * time.Millisecond},
	} {
		cfg.Kinds[i].Rate, cfg.Kinds[i].ServiceTime = k.rate, k.serviceTime
		cfg.Kinds[i].Objective, cfg.Kinds[i].Deadline = k.objective, k.deadline
	}
	return cfg
}

// ManyVMsConfig returns a deployment with many VMs, each of which receives few requests, and with so many shards that
// a request usually calls at least one target that is paused.
func ManyVMsConfig() Config {
	cfg := DefaultConfig()
	cfg.VMs = 59
	cfg.Retries.Slack = 158
	cfg.Targets.Shards = 36
	cfg.Kinds[0].Rate, cfg.Kinds[0].MinCoverage = 84, 0.95
	cfg.Kinds[1].Rate, cfg.Kinds[1].MinCoverage = 28, 0.85
	return cfg
}

// SmallVMsConfig returns a deployment of VMs with a fifth of a core, which add to the latency of each call, and with an
// urgent kind whose objective is a few times its latency. Latencies, gathers and targets are those of deployment K in
// docs/WORKSPACES-AND-ROLLOUTS.md. The kinds are in the order of their rates.
func SmallVMsConfig() Config {
	return Config{
		Seed: 1, VMs: 40, Duration: 15 * time.Second, NetworkDelay: 1400 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		CallTime: 330 * time.Microsecond,
		Retries:  cpquota.RetryBound{Ratio: 0.2, Slack: 158, Window: 10 * time.Second},
		Targets: Targets{
			Shards: 36, Replicas: 3, Slots: 4, Queue: 24, Connections: 73, Pause: 200 * time.Millisecond, PauseEvery: 4500 * time.Millisecond,
		},
		Kinds: []Kind{
			{
				Name: "medium", Priority: 1, Rate: 63.1, ServiceTime: 20 * time.Millisecond, Objective: 200 * time.Millisecond,
				Deadline: 2500 * time.Millisecond, MinCoverage: 0.95,
			},
			{
				Name: "urgent", Priority: 0, Rate: 36.5, ServiceTime: 6700 * time.Microsecond, Objective: 50 * time.Millisecond,
				Deadline: time.Second, MinCoverage: 0.85,
			},
		},
	}
}

// FirstReplica selects the first replica of each shard.
func FirstReplica(_, n int) bool { return n == 0 }

// TwoOverloadedShards leaves each of two shards with one responsive replica, which is slowed down a little and
// overloaded.
func TwoOverloadedShards(from, to time.Duration) []Disruption {
	return []Disruption{
		{From: from, To: to, Affects: func(shard, n int) bool { return shard < 2 && n > 0 }, Unresponsive: true},
		{From: from, To: to, Affects: func(shard, n int) bool { return shard < 2 && n == 0 }, Slowdown: 1.3},
	}
}

// OneShardDownAndOneOverloaded makes all replicas of one shard unresponsive, so that every urgent request needs all the
// other shards. One of these has a single responsive replica, which is half as fast.
func OneShardDownAndOneOverloaded(from, to time.Duration) []Disruption {
	return []Disruption{
		{From: from, To: to, Affects: func(shard, n int) bool { return shard == 0 || shard == 1 && n > 0 }, Unresponsive: true},
		{From: from, To: to, Affects: func(shard, n int) bool { return shard == 1 && n == 0 }, Slowdown: 2},
	}
}

// Scenario is a named set of disruptions.
type Scenario struct {
	Name        string
	Disruptions []Disruption
}

// Scenarios returns the scenarios in which policies are compared.
func Scenarios() []Scenario {
	from, to := 4*time.Second, 16*time.Second
	firstReplica := func(d Disruption) []Disruption {
		d.From, d.To, d.Affects = from, to, FirstReplica
		return []Disruption{d}
	}
	return []Scenario{
		{"calm", nil},
		{"slow replica", firstReplica(Disruption{Slowdown: 8})},
		{"unresponsive replica", firstReplica(Disruption{Unresponsive: true})},
		{"refusing replica", firstReplica(Disruption{RefusedShare: 0.5})},
		{"replica that drops responses", firstReplica(Disruption{ResetShare: 0.4})},
		{"shard down", []Disruption{{From: from, To: to, Affects: func(shard, _ int) bool { return shard == 0 }, Unresponsive: true}}},
		{"two overloaded shards", TwoOverloadedShards(from, to)},
		{"shard down, one overloaded", OneShardDownAndOneOverloaded(from, to)},
		{"most targets refuse", []Disruption{{From: from, To: to, Affects: func(shard, n int) bool { return (shard+n)%3 > 0 }, RefusedShare: 0.5}}},
		{"flood of one kind", []Disruption{{From: from, To: to, Kind: "urgent", RateFactor: 4.8}}},
		{"flood of all", []Disruption{{From: from, To: to, Kind: "urgent", RateFactor: 4}, {From: from, To: to, Kind: "short", RateFactor: 4}}},
	}
}
