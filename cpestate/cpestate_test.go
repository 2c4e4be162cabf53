package cpestate_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpestategen"
)

func text(tb testing.TB, size cpestategen.Size) []byte {
	tb.Helper()
	e, err := cpestategen.Generate(size)
	assert.NilError(tb, err)
	return cpestate.Format(e)
}

func TestSizesAndExamples(t *testing.T) {
	for _, size := range cpestategen.Sizes() {
		t.Run(string(size), func(t *testing.T) {
			e, err := cpestategen.Generate(size)
			assert.NilError(t, err)
			parsed, err := cpestate.Parse(cpestate.Format(e))
			assert.NilError(t, err)
			assert.DeepEqual(t, parsed, e)
			if size == cpestategen.SizeTwoYear {
				assert.Equal(t, len(e.Targets), cpestategen.TwoYearTargets)
				return
			}
			example, err := os.ReadFile("../examples/" + string(size) + ".yaml")
			assert.NilError(t, err)
			parsedExample, err := cpestate.Parse(example)
			assert.NilError(t, err)
			assert.DeepEqual(t, parsedExample, e)
		})
	}
}

func TestReplicasAreInDifferentDomains(t *testing.T) {
	for _, size := range cpestategen.Sizes() {
		e, err := cpestategen.Generate(size)
		assert.NilError(t, err)
		for _, s := range cpestate.Compile(1, e, clementineport.OutOfService{}).Services {
			for _, l := range s.Layouts {
				for shard, replicas := range l.Replicas {
					domains := map[clementineport.FailureDomain]bool{}
					for _, r := range replicas {
						domains[e.Targets[r].Domain] = true
					}
					assert.Assert(t, len(domains) >= 2, "%s: %s shard %d", size, s.Service.Name, shard)
				}
			}
		}
	}
}

// TestFaults makes one change to a valid text and expects a fault at the changed line.
func TestFaults(t *testing.T) {
	valid := string(text(t, cpestategen.SizeSmall))
	for _, c := range []struct{ old, with, key, problem string }{
		{"Region: local", "Region: Local", "Region", `is "Local"`},
		{"Region: local", "Regions: local", "Regions", "unknown key"},
		{"Domains: [a, b, c]", "Domains: [a, b, c, a]", "Domains", `"a" stands twice`},
		{"Domains: [a, b, c]", "Domains: {a: b}", "Domains", "is not a list"},
		{"Deadline: 2s", "Deadline: 2", "Services[0].Deadline", `is "2"`},
		{"Deadline: 2s", "Deadline: 0s", "Services[0].Deadline", "is 0s"},
		{"Deadline: 2s", "Deadline: 2s\n    Deadline: 2s", "Services[0].Deadline", "the key stands twice"},
		{"Class: interactive", "Class: urgent", "Services[0].Class", `is "urgent"`},
		{"LeastCoverage: 1", "LeastCoverage: 1.5", "Services[0].LeastCoverage", "is 1.5"},
		{"LeastCoverage: 1", "LeastCoverage: .nan", "Services[0].LeastCoverage", `is ".nan"`},
		{"BelowLeast: mark", "BelowLeast: hide", "Services[0].BelowLeast", `is "hide"`},
		{"Prefer: tail", "Prefer: both", "Services[0].Prefer", `is "both"`},
		{"Name: reconcile", "Name: lookup", "Services[1].Name", `"lookup" stands twice`},
		{"DependsOn: [lookup]", "DependsOn: []", "Services[0].DependsOn", "is empty"},
		{"DependsOn: [lookup]", "DependsOn: [other]", "Services[0].DependsOn", `"other" is not a group`},
		{"DependsOn: [lookup]", "DependsOn: [lookup, lookup]", "Services[0].DependsOn", `"lookup" stands twice`},
		{"DependsOn: [lookup]", "DependsOn: [lookup, reconcile]", "Services[0].DependsOn", `of index "reconcile", not "lookup"`},
		{"[{Layout: 1, Shards: 3}]", "[{Layout: 1, Shards: 4}]", "Services[0].DependsOn", "holds shards 3 of layout 1"},
		{"[{Layout: 1, Shards: 3}]", "[{Layout: 1, Shards: 3}, {Layout: 1, Shards: 9}]", "Indexes[0].Layouts[1].Layout", "is 1"},
		{"[{Layout: 1, Shards: 3}]", "[{Layout: 1, Shards: 3}, {Layout: 2, Shards: 0}]", "Indexes[0].Layouts[1].Shards", "is 0"},
		{"Slots: 6, Queue: 6", "Slots: 0, Queue: 6", "Groups[0].Slots", "is 0"},
		{"Slots: 6, Queue: 6", "Slots: six, Queue: 6", "Groups[0].Slots", `is "six"`},
		{"Connections: 45", "Connections: -1", "Groups[0].Connections", "is -1"},
		{"ConnectionCost: 6ms", "ConnectionCost: 2h", "Groups[0].ConnectionCost", "is 2h0m0s"},
		{"ID: lookup-0001,", "ID: lookup-0000,", "Targets[1].ID", `"lookup-0000" stands twice`},
		{"ID: lookup-0001, Group: lookup", "ID: lookup-0001, Group: other", "Targets[1].Group", `is "other"`},
		{"127.0.0.1:19001", "127.0.0.1:19000", "Targets[1].Address", `"127.0.0.1:19000" stands twice`},
		{"127.0.0.1:19001", "localhost:19001", "Targets[1].Address", `is "localhost:19001"`},
		{"19001\", Domain: a", "19001\", Domain: z", "Targets[1].Domain", `is "z"`},
		{"19003\", Domain: b, Holds: [{Layout: 1", "19003\", Domain: b, Holds: [{Layout: 7", "Targets[3].Holds[0].Layout", "is 7"},
		{"Domain: c, Holds: [{Layout: 1, Shards: [2]}]", "Domain: c, Holds: []", "Targets[8].Holds", "is empty"},
		{"Domain: c, Holds: [{Layout: 1, Shards: [2]}]", "Domain: c, Holds: [{Layout: 1, Shards: [2-9]}]", "Targets[8].Holds[0].Shards", "shard 9 is out of range"},
		{"Domain: c, Holds: [{Layout: 1, Shards: [2]}]", "Domain: c, Holds: [{Layout: 1, Shards: [2, 2]}]", "Targets[8].Holds[0].Shards", "shard 2 stands twice"},
		{"Domain: c, Holds: [{Layout: 1, Shards: [2]}]", "Domain: c, Holds: [{Layout: 1, Shards: [9-2]}]", "Targets[8].Holds[0].Shards[0]", `is "9-2"`},
		{"Region: local", "Region: &x local", "Region", "anchors, aliases and tags are not allowed"},
		{"Slots: 6, Queue: 6", "Slots: !bad 0, Queue: 6", "Groups[0].Slots", "anchors, aliases and tags are not allowed"},
		{"Region: local", "Region: [local", "text", "can't be parsed"},
		{"Region: local", "Region: \"\xff\"", "text", "is not valid UTF-8"},
	} {
		t.Run(c.with, func(t *testing.T) {
			before, after, found := strings.Cut(valid, c.old)
			assert.Assert(t, found)
			_, err := cpestate.Parse([]byte(before + c.with + after))
			var faults cpestate.Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			i := slices.IndexFunc(faults, func(f cpestate.Fault) bool { return f.Key == c.key })
			assert.Assert(t, i >= 0, "%v", err)
			assert.Assert(t, strings.Contains(faults[i].Problem, c.problem), "%v", faults[i])
			assert.Assert(t, faults[i].Allowed != "")
			if c.key != "text" && !strings.Contains(c.problem, "holds shards") {
				assert.Equal(t, faults[i].Line, strings.Count(before+c.with, "\n")+1)
			}
		})
	}
}

func TestEveryFaultAtOnce(t *testing.T) {
	bad := strings.NewReplacer("Region: local", "Region: X", "Deadline: 2s", "Deadline: 2", "Prefer: tail", "Prefers: tail",
		"Slots: 6", "Slots: 0", "127.0.0.1:19005", "here", "Shards: [3-4]", "Shards: [6]").Replace(string(text(t, cpestategen.SizeSmall)))
	_, err := cpestate.Parse([]byte(bad))
	var faults cpestate.Faults
	assert.Assert(t, errors.As(err, &faults))
	var keys []string
	for _, f := range faults {
		keys = append(keys, f.Key)
	}
	assert.DeepEqual(t, keys, []string{
		"Region", "Services[0].Deadline", "Services[0].Prefers",
		"Groups[0].Slots", "Targets[5].Address", "Targets[15].Holds[0].Shards",
	})
}

// estates generates random valid estates.
func estates() *rapid.Generator[*clementineport.Estate] {
	return rapid.Custom(func(t *rapid.T) *clementineport.Estate {
		name := rapid.StringMatching(`[a-z0-9]([a-z0-9.-]{0,8}[a-z0-9])?`)
		e := &clementineport.Estate{
			Region: name.Draw(t, "region"),
			Domains: rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) clementineport.FailureDomain {
				return clementineport.FailureDomain(name.Draw(t, "domain"))
			}), 1, 4, rapid.ID).Draw(t, "domains"),
		}
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		x := clementineport.Index{Name: clementineport.IndexID(name.Draw(t, "index")), Layouts: []clementineport.Layout{{Layout: 3, Shards: shards}}}
		e.Indexes = []clementineport.Index{x}
		for i := range rapid.IntRange(1, 3).Draw(t, "groups") {
			group := clementineport.GroupID(fmt.Sprint(name.Draw(t, "group"), i))
			e.Groups = append(e.Groups, clementineport.Group{
				Name: group, Index: x.Name, Slots: rapid.IntRange(1, 99).Draw(t, "slots"), Queue: rapid.IntRange(0, 99).Draw(t, "queue"),
				Connections: 1, ConnectionCost: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "cost")),
			})
			held := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) clementineport.ShardID {
				return clementineport.ShardID(rapid.IntRange(0, shards-1).Draw(t, "shard"))
			}), 1, -1, rapid.ID).Draw(t, "held")
			if i == 0 { // the first target holds all shards, so that every shard has a target
				held = nil
				for s := range shards {
					held = append(held, clementineport.ShardID(s))
				}
			}
			e.Targets = append(e.Targets, clementineport.TargetSpec{
				ID: clementineport.TargetID(group), Group: group, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
				Domain: rapid.SampledFrom(append(e.Domains, "")).Draw(t, "target domain"),
				Holds:  []clementineport.HeldShards{{Layout: 3, Shards: held}},
			})
		}
		e.Services = []clementineport.Service{{
			Name: clementineport.ServiceID(name.Draw(t, "service")), DependsOn: []clementineport.GroupID{e.Groups[0].Name}, Index: x.Name,
			Deadline: time.Duration(rapid.IntRange(1, 1e9).Draw(t, "deadline")), Class: clementineport.Class(rapid.IntRange(0, 2).Draw(t, "class")),
			LeastCoverage: rapid.Float64Range(0, 1).Draw(t, "coverage"), BelowLeast: clementineport.BelowMark, Prefer: clementineport.PreferTail,
		}}
		return e
	})
}

func TestFormatAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := estates().Draw(t, "estate")
		formatted := cpestate.Format(e)
		parsed, err := cpestate.Parse(formatted)
		assert.NilError(t, err, "%s", formatted)
		assert.DeepEqual(t, parsed, e)
		broken := slices.Clone(formatted)
		for range rapid.IntRange(1, 5).Draw(t, "edits") {
			broken[rapid.IntRange(0, len(broken)-1).Draw(t, "at")] = rapid.SampledFrom([]byte(" \n:{}[],-&*!|>'\"%@`#09aZ~?\x00\xff")).Draw(t, "byte")
		}
		if edited, err := cpestate.Parse(broken); err == nil {
			parsed, err := cpestate.Parse(cpestate.Format(edited))
			assert.NilError(t, err, "%s", broken)
			assert.DeepEqual(t, parsed, edited)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(text(f, cpestategen.SizeSmall))
	f.Add([]byte("Region: a\nDomains: [a]\nTargets:\n  - {Holds: [{Shards: [0-65535, 1]}]}\n"))
	f.Add([]byte("- ? [a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := cpestate.Parse(data)
		if err != nil {
			return
		}
		parsed, err := cpestate.Parse(cpestate.Format(e))
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, e)
	})
}

func TestCompile(t *testing.T) {
	e, err := cpestategen.Generate(cpestategen.SizeAchubwr)
	assert.NilError(t, err)
	table := cpestate.Compile(7, e, clementineport.OutOfService{Domains: []clementineport.FailureDomain{"b"}})
	service := table.Services["booking-desk"]
	assert.Equal(t, len(service.Layouts), 2, "it has the old and the new layout")
	assert.Equal(t, len(service.Layout(1).Replicas), 3)
	assert.Equal(t, len(service.Layout(2).Replicas), 6)
	for id, i := range table.ByID {
		row := table.Targets[i]
		assert.Equal(t, row.ID, id)
		assert.Equal(t, row.OutOfService, row.Domain == "b")
		assert.Equal(t, row.Group.Name, row.TargetSpec.Group)
	}
}

func TestEncodedConfig(t *testing.T) {
	cfg := &clementineport.Config{
		Revision: 3, Text: text(t, cpestategen.SizeTwoYear), OutOfService: clementineport.OutOfService{VMs: []clementineport.VMID{"vm"}},
		Changes: []clementineport.Change{{Revision: 3, Submission: "id", Author: "ann", At: time.Unix(1, 0).UTC(), Summary: "s"}},
	}
	value, err := cpestate.EncodeConfig(cfg)
	assert.NilError(t, err)
	assert.Assert(t, len(value) < cpestate.MaxEncodedBytes/2, "%d bytes", len(value))
	t.Log("text", len(cfg.Text), "encoded", len(value))
	decoded, err := cpestate.DecodeConfig(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, cfg)
	for at := 0; at < len(value); at += len(value)/20 + 1 {
		_, err := cpestate.DecodeConfig(value[:at])
		assert.Assert(t, err != nil)
	}
	// The value is small because its text is highly compressible, but the decompressed size exceeds the limit.
	bomb, err := cpestate.EncodeConfig(&clementineport.Config{Text: bytes.Repeat([]byte(" "), cpestate.MaxDecodedBytes+1)})
	assert.NilError(t, err)
	_, err = cpestate.DecodeConfig(bomb)
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultMalformed)
}

func BenchmarkCheck(b *testing.B) {
	for _, size := range []cpestategen.Size{cpestategen.SizeAchubwr, cpestategen.SizeTwoYear} {
		data := text(b, size)
		e, err := cpestate.Parse(data)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("Targets=%d", len(e.Targets)), func(b *testing.B) {
			b.ReportAllocs()
			var table *clementineport.Table
			for b.Loop() {
				e, err := cpestate.Parse(data)
				assert.NilError(b, err)
				table = cpestate.Compile(1, e, clementineport.OutOfService{})
			}
			b.StopTimer()
			b.ReportMetric(float64(liveBytes(&table)), "live-B")
			b.ReportMetric(float64(len(data)), "text-B")
		})
	}
}

// liveBytes returns the size of the heap memory that the table keeps alive.
func liveBytes(table **clementineport.Table) uint64 {
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(*table)
	*table = nil
	runtime.GC()
	runtime.ReadMemStats(&without)
	return with.HeapAlloc - min(with.HeapAlloc, without.HeapAlloc)
}

func BenchmarkEncode(b *testing.B) {
	cfg := &clementineport.Config{Revision: 1, Text: text(b, cpestategen.SizeTwoYear)}
	value, err := cpestate.EncodeConfig(cfg)
	assert.NilError(b, err)
	for name, run := range map[string]func() error{
		"Encode/Targets=3900": func() error { _, err := cpestate.EncodeConfig(cfg); return err },
		"Decode/Targets=3900": func() error { _, err := cpestate.DecodeConfig(value); return err },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, run())
			}
			b.ReportMetric(float64(len(value)), "encoded-B")
		})
	}
}

func ExampleParse() {
	_, err := cpestate.Parse([]byte("Region: local\nDomains: [a, a]\nServices: []\nTarget: []\n"))
	fmt.Println(err)
	// Output:
	// line 2: Domains: "a" stands twice; allowed: each name once
	// line 3: Services: is empty; allowed: at least one service
	// line 4: Target: unknown key; allowed: Region, Domains, Services, Indexes, Groups, Targets
}
