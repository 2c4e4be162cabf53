// Package cpestategen generates estates of known sizes: those of the users today, a small one and a two-year one.
// It decides the sizes and addresses; it does not check or write texts.
package cpestategen

import (
	"fmt"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Size names an estate that Generate can make.
type Size string

const (
	// SizeSmall is an estate for one machine.
	SizeSmall Size = "small"
	// SizeAchubwr is the estate of Achubwr Training.
	SizeAchubwr Size = "achubwr"
	// SizeRijkshavenbureau is the estate of Rijkshavenbureau Doorzetfacturering.
	SizeRijkshavenbureau Size = "rijkshavenbureau"
	// SizeTwoYear is a fleet of 3,900 targets over 1,100 shards.
	SizeTwoYear Size = "two-year"
)

// Sizes lists what Generate can make.
func Sizes() []Size { return []Size{SizeSmall, SizeAchubwr, SizeRijkshavenbureau, SizeTwoYear} }

// Sizes of the two-year estate.
const (
	TwoYearTargets = 3900
	TwoYearShards  = 1100
)

const (
	firstPort    = 19000
	portsPerHost = 40000
	firstLayout  = clementineport.LayoutID(1)
	nextLayout   = clementineport.LayoutID(2)
)

// Generate returns an estate of a size, with targets at consecutive ports of the loopback addresses.
func Generate(size Size) (*clementineport.Estate, error) {
	switch size {
	case SizeSmall:
		return small(), nil
	case SizeAchubwr:
		return achubwr(), nil
	case SizeRijkshavenbureau:
		return rijkshavenbureau(), nil
	case SizeTwoYear:
		return twoYear(), nil
	default:
		return nil, clementineport.Fail(clementineport.FaultInvalid, "unknown size %q; allowed: %v", size, Sizes())
	}
}

// limits are the settings that the targets of a group share.
type limits struct {
	slots       int
	connections int
	cost        time.Duration
}

// builder adds services, groups and targets to an estate.
type builder struct {
	clementineport.Estate
}

func newBuilder(region string, domains ...clementineport.FailureDomain) *builder {
	return &builder{Estate: clementineport.Estate{Region: region, Domains: domains}}
}

func (b *builder) service(s clementineport.Service) {
	s.Index = clementineport.IndexID(s.Name)
	if s.DependsOn == nil {
		s.DependsOn = []clementineport.GroupID{clementineport.GroupID(s.Name)}
	}
	b.Services = append(b.Services, s)
}

func (b *builder) index(name string, shards ...int) {
	x := clementineport.Index{Name: clementineport.IndexID(name)}
	for i, n := range shards {
		x.Layouts = append(x.Layouts, clementineport.Layout{Layout: firstLayout + clementineport.LayoutID(i), Shards: n})
	}
	b.Indexes = append(b.Indexes, x)
}

func (b *builder) group(name, index string, l limits) {
	b.Groups = append(b.Groups, clementineport.Group{
		Name: clementineport.GroupID(name), Index: clementineport.IndexID(index),
		Slots: l.slots, Queue: l.slots, Connections: l.connections, ConnectionCost: l.cost,
	})
}

func (b *builder) target(group string, domain clementineport.FailureDomain, layout clementineport.LayoutID, shards ...clementineport.ShardID) {
	slices.Sort(shards)
	n := 0
	for i := range b.Targets {
		if b.Targets[i].Group == clementineport.GroupID(group) {
			n++
		}
	}
	b.Targets = append(b.Targets, clementineport.TargetSpec{
		ID:    clementineport.TargetID(fmt.Sprintf("%s-%04d", group, n)),
		Group: clementineport.GroupID(group), Address: address(len(b.Targets)), Domain: domain,
		Holds: []clementineport.HeldShards{{Layout: layout, Shards: shards}},
	})
}

func address(n int) string {
	return fmt.Sprintf("127.0.0.%d:%d", 1+n/portsPerHost, firstPort+n%portsPerHost)
}

// instances adds targets in instances that hold one replica of each shard; an instance is in one failure domain.
func (b *builder) instances(group string, layout clementineport.LayoutID, instances, shards int) {
	for i := range instances {
		domain := b.Domains[i%len(b.Domains)]
		for shard := range shards {
			b.target(group, domain, layout, clementineport.ShardID(shard))
		}
	}
}

// paired adds as many targets as shards; each target holds two shards and each shard is in two failure domains.
func (b *builder) paired(group string, layout clementineport.LayoutID, shards int) {
	for i := range shards {
		domain := b.Domains[i%len(b.Domains)]
		if i == shards-1 && domain == b.Domains[0] {
			domain = b.Domains[1] // the last target shares a shard with the first one
		}
		b.target(group, domain, layout, clementineport.ShardID(i), clementineport.ShardID((i+1)%shards))
	}
}
