// Package cpestategen generates estates of fixed sizes: those of the current users, a small one for one machine and
// a large one for the size expected in two years. It chooses the sizes and the addresses; it does not validate or
// write configuration texts.
package cpestategen

import (
	"fmt"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Size is the name of an estate that Generate returns.
type Size string

const (
	// SizeSmall is an estate for one machine.
	SizeSmall Size = "small"
	// SizeAchubwr is the estate of Achubwr Training.
	SizeAchubwr Size = "achubwr"
	// SizeRijkshavenbureau is the estate of Rijkshavenbureau Doorzetfacturering.
	SizeRijkshavenbureau Size = "rijkshavenbureau"
	// SizeTwoYear is an estate with 3,900 targets and 1,100 shards.
	SizeTwoYear Size = "two-year"
)

// Sizes returns all sizes.
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
	secondLayout = clementineport.LayoutID(2)
)

// Generate returns the estate of a size. Its targets have consecutive ports on loopback addresses.
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

// groupLimits are the settings that the targets of a group share.
type groupLimits struct {
	slots          int
	connections    int
	connectionCost time.Duration
}

// builder adds services, groups and targets to an estate.
type builder struct {
	clementineport.Estate
}

func newBuilder(region string, domains ...clementineport.FailureDomain) *builder {
	return &builder{Estate: clementineport.Estate{Region: region, Domains: domains}}
}

func (b *builder) addService(s clementineport.Service) {
	s.Index = clementineport.IndexID(s.Name)
	if s.DependsOn == nil {
		s.DependsOn = []clementineport.GroupID{clementineport.GroupID(s.Name)}
	}
	b.Services = append(b.Services, s)
}

func (b *builder) addIndex(name string, shards ...int) {
	x := clementineport.Index{Name: clementineport.IndexID(name)}
	for i, n := range shards {
		x.Layouts = append(x.Layouts, clementineport.Layout{Layout: firstLayout + clementineport.LayoutID(i), Shards: n})
	}
	b.Indexes = append(b.Indexes, x)
}

func (b *builder) addGroup(name, index string, l groupLimits) {
	b.Groups = append(b.Groups, clementineport.Group{
		Name: clementineport.GroupID(name), Index: clementineport.IndexID(index),
		Slots: l.slots, Queue: l.slots, Connections: l.connections, ConnectionCost: l.connectionCost,
	})
}

func (b *builder) addTarget(group string, domain clementineport.FailureDomain, layout clementineport.LayoutID, shards ...clementineport.ShardID) {
	slices.Sort(shards)
	n := 0
	for i := range b.Targets {
		if b.Targets[i].Group == clementineport.GroupID(group) {
			n++
		}
	}
	b.Targets = append(b.Targets, clementineport.TargetSpec{
		ID:    clementineport.TargetID(fmt.Sprintf("%s-%04d", group, n)),
		Group: clementineport.GroupID(group), Address: targetAddress(len(b.Targets)), Domain: domain,
		Holds: []clementineport.HeldShards{{Layout: layout, Shards: shards}},
	})
}

func targetAddress(n int) string {
	return fmt.Sprintf("127.0.0.%d:%d", 1+n/portsPerHost, firstPort+n%portsPerHost)
}

// addInstances adds instances of an index. Each instance is in one failure domain and has one target for each shard.
func (b *builder) addInstances(group string, layout clementineport.LayoutID, instances, shards int) {
	for i := range instances {
		domain := b.Domains[i%len(b.Domains)]
		for shard := range shards {
			b.addTarget(group, domain, layout, clementineport.ShardID(shard))
		}
	}
}

// addPaired adds as many targets as shards. Each target holds two shards, and each shard is in two failure domains.
func (b *builder) addPaired(group string, layout clementineport.LayoutID, shards int) {
	for i := range shards {
		domain := b.Domains[i%len(b.Domains)]
		if i == shards-1 && domain == b.Domains[0] {
			domain = b.Domains[1] // the last target shares a shard with the first target
		}
		b.addTarget(group, domain, layout, clementineport.ShardID(i), clementineport.ShardID((i+1)%shards))
	}
}
