package cpsimulator

import (
	"time"

	"github.com/clementineport/clementineport/cpquota"
)

// Today returns a deployment of the size of today's users at an ordinary load: ten shards of three targets, which stand
// still for a moment every few seconds, and two kinds of request, of which the shorter one is less urgent.
func Today() Config {
	return Config{
		Seed: 1, VMs: 6, Duration: 20 * time.Second, Way: 1500 * time.Microsecond,
		Retries: cpquota.RetryBound{Ratio: 0.2, Slack: 52, Window: 10 * time.Second},
		Targets: Targets{
			Shards: 10, Copies: 3, Slots: 6, Queue: 36, Pause: 250 * time.Millisecond, PauseEvery: 6 * time.Second,
		},
		Kinds: []Kind{
			{
				Name: "urgent", Priority: 0, PerSecond: 135, Work: 28 * time.Millisecond, Objective: 200 * time.Millisecond,
				Deadline: 1200 * time.Millisecond, Least: 0.89,
			},
			{
				Name: "short", Priority: 1, PerSecond: 45, Work: 9 * time.Millisecond, Objective: 80 * time.Millisecond,
				Deadline: 500 * time.Millisecond, Least: 0.75,
			},
		},
	}
}

// FewSlots returns a deployment whose targets work on few requests at a time, with tighter objectives.
func FewSlots() Config {
	cfg := Today()
	cfg.VMs, cfg.Way = 8, 600*time.Microsecond
	cfg.Targets.Slots, cfg.Targets.Queue = 4, 24
	cfg.Targets.Pause, cfg.Targets.PauseEvery = 200*time.Millisecond, 4500*time.Millisecond
	for i, k := range []struct {
		perSecond                 float64
		work, objective, deadline time.Duration
	}{
		{149, 20 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond},
		{50, 6700 * time.Microsecond, 60 * time.Millisecond, 400 * time.Millisecond},
	} {
		cfg.Kinds[i].PerSecond, cfg.Kinds[i].Work = k.perSecond, k.work
		cfg.Kinds[i].Objective, cfg.Kinds[i].Deadline = k.objective, k.deadline
	}
	return cfg
}

// Grown returns a deployment with many VMs, each of which gets few requests, and with more shards than one request can
// expect to find without one that stands still.
func Grown() Config {
	cfg := Today()
	cfg.VMs = 59
	cfg.Retries.Slack = 158
	cfg.Targets.Shards = 36
	cfg.Kinds[0].PerSecond, cfg.Kinds[0].Least = 84, 0.95
	cfg.Kinds[1].PerSecond, cfg.Kinds[1].Least = 28, 0.85
	return cfg
}

// FirstCopy hits one copy of each shard.
func FirstCopy(_, n int) bool { return n == 0 }

// TwoOverloadedShards leaves one copy to each of two shards, which is a little slower than the others and cannot bear
// the load.
func TwoOverloadedShards(from, to time.Duration) []Trouble {
	return []Trouble{
		{From: from, To: to, Hits: func(shard, n int) bool { return shard < 2 && n > 0 }, Dark: true},
		{From: from, To: to, Hits: func(shard, n int) bool { return shard < 2 && n == 0 }, Slow: 1.3},
	}
}

// OneShardGoneAndOneOverloaded takes all copies of one shard, so that every urgent request needs the others, of which one
// keeps a single copy that is twice as slow.
func OneShardGoneAndOneOverloaded(from, to time.Duration) []Trouble {
	return []Trouble{
		{From: from, To: to, Hits: func(shard, n int) bool { return shard == 0 || shard == 1 && n > 0 }, Dark: true},
		{From: from, To: to, Hits: func(shard, n int) bool { return shard == 1 && n == 0 }, Slow: 2},
	}
}

// Pattern is a named load or trouble.
type Pattern struct {
	Name     string
	Troubles []Trouble
}

// Patterns returns the patterns that policies are compared on.
func Patterns() []Pattern {
	from, to := 4*time.Second, 16*time.Second
	copies := func(t Trouble) []Trouble {
		t.From, t.To, t.Hits = from, to, FirstCopy
		return []Trouble{t}
	}
	return []Pattern{
		{"calm", nil},
		{"slow copy", copies(Trouble{Slow: 8})},
		{"dark copy", copies(Trouble{Dark: true})},
		{"refusing copy", copies(Trouble{Refuse: 0.5})},
		{"copy that loses answers", copies(Trouble{Reset: 0.4})},
		{"shard gone", []Trouble{{From: from, To: to, Hits: func(shard, _ int) bool { return shard == 0 }, Dark: true}}},
		{"two overloaded shards", TwoOverloadedShards(from, to)},
		{"shard gone, one overloaded", OneShardGoneAndOneOverloaded(from, to)},
		{"most targets refuse", []Trouble{{From: from, To: to, Hits: func(shard, n int) bool { return (shard+n)%3 > 0 }, Refuse: 0.5}}},
		{"flood of one kind", []Trouble{{From: from, To: to, Kind: "urgent", Flood: 4.8}}},
		{"flood of all", []Trouble{{From: from, To: to, Kind: "urgent", Flood: 4}, {From: from, To: to, Kind: "short", Flood: 4}}},
	}
}
