// Package cpestate parses and validates the operators' estate text and compiles it to the table that queries read.
// It reports all faults of a text at once. It uses no network and no files.
package cpestate

import (
	"strconv"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpyaml"
)

// MaxTextBytes is the maximum size of an estate text.
const MaxTextBytes = 8 << 20

// Fault is one fault of a text.
type Fault = cpyaml.Fault

// Faults is the error that Parse returns; it lists all faults of a text.
type Faults = cpyaml.Faults

// The document types mirror the types of the estate. They add the location of each mapping in the text
// and hold enumerations as strings, so that invalid values can be reported.
type document struct {
	Region   string
	Domains  []clementineport.FailureDomain
	Services []serviceText
	Indexes  []indexText
	Groups   []groupText
	Targets  []targetText
	At       cpyaml.Location
}

type serviceText struct {
	Name          clementineport.ServiceID
	DependsOn     []clementineport.GroupID
	Index         clementineport.IndexID
	Deadline      time.Duration
	Class         string
	LeastCoverage float64
	BelowLeast    clementineport.BelowLeast
	Prefer        clementineport.Preference
	At            cpyaml.Location
}

type indexText struct {
	Name    clementineport.IndexID
	Layouts []layoutText
	At      cpyaml.Location
}

type layoutText struct {
	Layout clementineport.LayoutID
	Shards int
	At     cpyaml.Location
}

type groupText struct {
	Name           clementineport.GroupID
	Index          clementineport.IndexID
	Slots          int
	Queue          int
	Connections    int
	ConnectionCost time.Duration
	At             cpyaml.Location
}

type targetText struct {
	ID      clementineport.TargetID
	Group   clementineport.GroupID
	Address string
	Domain  clementineport.FailureDomain
	Holds   []holdingText
	At      cpyaml.Location
}

type holdingText struct {
	Layout clementineport.LayoutID
	Shards []shardRange
	At     cpyaml.Location
}

// shardRange is a single shard or an inclusive range of shards.
type shardRange struct {
	First, Last clementineport.ShardID
}

// rangeError describes the allowed form of a shard range. cpyaml reports the text of an UnmarshalText error as what is
// allowed.
type rangeError struct{}

func (rangeError) Error() string { return "a shard number such as 7, or a range such as 4-9" }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *shardRange) UnmarshalText(text []byte) error {
	first, last, isRange := strings.Cut(string(text), "-")
	if !isRange {
		last = first
	}
	a, err := strconv.ParseUint(first, 10, 31)
	if err != nil {
		return rangeError{}
	}
	b, err := strconv.ParseUint(last, 10, 31)
	if err != nil || b < a || b >= MaxShards {
		return rangeError{}
	}
	r.First, r.Last = clementineport.ShardID(a), clementineport.ShardID(b)
	return nil
}

// Parse decodes and validates an estate text. The error is of type Faults and lists all faults of the text.
func Parse(text []byte) (*clementineport.Estate, error) {
	var doc document
	var faults Faults
	cpyaml.Decode(text, MaxTextBytes, &doc, &faults)
	if doc.At == (cpyaml.Location{}) {
		return nil, faults.Err()
	}
	c := newChecker(&doc, &faults)
	c.check()
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return doc.estate(), nil
}

func (d *document) estate() *clementineport.Estate {
	e := &clementineport.Estate{Region: d.Region, Domains: d.Domains}
	for i := range d.Services {
		e.Services = append(e.Services, d.Services[i].service())
	}
	for _, x := range d.Indexes {
		index := clementineport.Index{Name: x.Name}
		for _, l := range x.Layouts {
			index.Layouts = append(index.Layouts, clementineport.Layout{Layout: l.Layout, Shards: l.Shards})
		}
		e.Indexes = append(e.Indexes, index)
	}
	for _, g := range d.Groups {
		e.Groups = append(e.Groups, clementineport.Group{
			Name: g.Name, Index: g.Index, Slots: g.Slots, Queue: g.Queue,
			Connections: g.Connections, ConnectionCost: g.ConnectionCost,
		})
	}
	e.Targets = make([]clementineport.TargetSpec, len(d.Targets))
	for i := range d.Targets {
		e.Targets[i] = d.Targets[i].spec()
	}
	return e
}

func (s *serviceText) service() clementineport.Service {
	class, _ := clementineport.ParseClass(s.Class)
	return clementineport.Service{
		Name: s.Name, DependsOn: s.DependsOn, Index: s.Index, Deadline: s.Deadline, Class: class,
		LeastCoverage: s.LeastCoverage, BelowLeast: s.BelowLeast, Prefer: s.Prefer,
	}
}

func (t *targetText) spec() clementineport.TargetSpec {
	spec := clementineport.TargetSpec{ID: t.ID, Group: t.Group, Address: t.Address, Domain: t.Domain}
	for _, h := range t.Holds {
		holding := clementineport.HeldShards{Layout: h.Layout}
		for _, r := range h.Shards {
			for s := r.First; s <= r.Last; s++ {
				holding.Shards = append(holding.Shards, s)
			}
		}
		spec.Holds = append(spec.Holds, holding)
	}
	return spec
}
