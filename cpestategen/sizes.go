package cpestategen

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Sizes that the estates of both users share.
const (
	smallInstances  = 10
	largeInstances  = 15
	instanceShards  = 3
	newLayoutShards = 6
	manySearchers   = 35
	fewSearchers    = 17
	wholeCoverage   = 1.0
)

func interactive(name string, prefer clementineport.Preference, deadline time.Duration, groups ...clementineport.GroupID) clementineport.Service {
	return clementineport.Service{
		Name: clementineport.ServiceID(name), DependsOn: groups, Deadline: deadline, Class: clementineport.ClassInteractive,
		LeastCoverage: wholeCoverage, BelowLeast: clementineport.BelowMark, Prefer: prefer,
	}
}

func background(name string, class clementineport.Class, deadline time.Duration) clementineport.Service {
	return clementineport.Service{
		Name: clementineport.ServiceID(name), Deadline: deadline, Class: class,
		LeastCoverage: wholeCoverage, BelowLeast: clementineport.BelowRefuse, Prefer: clementineport.PreferCoverage,
	}
}

// achubwr has half of the booking desk's instances in the new layout.
func achubwr() *clementineport.Estate {
	b := newBuilder("cymru-south", "a", "b", "c")
	front := limits{slots: 6, connections: 45, cost: 6 * time.Millisecond}
	back := limits{slots: 3, connections: 100, cost: time.Millisecond}
	b.service(interactive("booking-desk", clementineport.PreferTail, 2*time.Second, "booking-desk-old", "booking-desk-new"))
	b.service(interactive("trainer-portal", clementineport.PreferTail, 2*time.Second))
	b.service(background("certificate-sync", clementineport.ClassBatch, 30*time.Second))
	b.service(background("centre-billing", clementineport.ClassStandard, 10*time.Second))
	b.migrated("booking-desk", smallInstances, front)
	b.replicated("trainer-portal", largeInstances, front)
	b.sharded("certificate-sync", manySearchers, back)
	b.sharded("centre-billing", fewSearchers, back)
	return &b.Estate
}

// rijkshavenbureau has half of the invoice desk's instances in the new layout.
func rijkshavenbureau() *clementineport.Estate {
	b := newBuilder("rijnmond", "a", "b", "c", "d")
	front := limits{slots: 4, connections: 36, cost: 6 * time.Millisecond}
	back := limits{slots: 2, connections: 36, cost: time.Millisecond}
	b.service(interactive("invoice-desk", clementineport.PreferCoverage, 5*time.Second, "invoice-desk-old", "invoice-desk-new"))
	b.service(interactive("customs-feed", clementineport.PreferCoverage, 5*time.Second))
	b.service(background("quay-portal", clementineport.ClassInteractive, 5*time.Second))
	b.service(background("dispute-handling", clementineport.ClassStandard, 10*time.Second))
	b.migrated("invoice-desk", smallInstances, front)
	b.replicated("customs-feed", largeInstances, front)
	b.sharded("quay-portal", manySearchers, back)
	b.sharded("dispute-handling", fewSearchers, back)
	return &b.Estate
}

// migrated adds instances of an old and a new group that hold the same records in two layouts side by side.
func (b *builder) migrated(name string, instances int, l limits) {
	b.index(name, instanceShards, newLayoutShards)
	b.group(name+"-old", name, l)
	b.group(name+"-new", name, l)
	newInstances := instances / 2
	b.instances(name+"-old", firstLayout, instances-newInstances, instanceShards)
	for i := range newInstances {
		domain := b.Domains[(instances-newInstances+i)%len(b.Domains)]
		for k := range instanceShards {
			first := clementineport.ShardID(k * newLayoutShards / instanceShards)
			b.target(name+"-new", domain, nextLayout, first, first+1)
		}
	}
}

func (b *builder) replicated(name string, instances int, l limits) {
	b.index(name, instanceShards)
	b.group(name, name, l)
	b.instances(name, firstLayout, instances, instanceShards)
}

func (b *builder) sharded(name string, searchers int, l limits) {
	b.index(name, searchers)
	b.group(name, name, l)
	b.paired(name, firstLayout, searchers)
}

func small() *clementineport.Estate {
	b := newBuilder("local", "a", "b", "c")
	b.service(interactive("lookup", clementineport.PreferTail, 2*time.Second))
	b.service(background("reconcile", clementineport.ClassBatch, 10*time.Second))
	b.index("lookup", instanceShards)
	b.group("lookup", "lookup", limits{slots: 6, connections: 45, cost: 6 * time.Millisecond})
	b.instances("lookup", firstLayout, 4, instanceShards)
	b.sharded("reconcile", newLayoutShards, limits{slots: 3, connections: 100, cost: time.Millisecond})
	return &b.Estate
}

// twoYear spreads 3,900 targets over 1,100 shards of an old and a new group in the domains of two regions.
func twoYear() *clementineport.Estate {
	var domains []clementineport.FailureDomain
	for _, region := range []string{"cymru", "rijnmond"} {
		for _, domain := range []string{"a", "b", "c", "d"} {
			domains = append(domains, clementineport.FailureDomain(region+"-"+domain))
		}
	}
	b := newBuilder("two-regions", domains...)
	const oldTargets = TwoYearShards * 2
	front := interactive("records", clementineport.PreferTail, 2*time.Second, "records-old", "records-new")
	b.service(front)
	batch := background("reconcile", clementineport.ClassBatch, 30*time.Second)
	batch.DependsOn = front.DependsOn
	b.service(batch)
	b.Services[1].Index = b.Services[0].Index
	b.index("records", TwoYearShards)
	l := limits{slots: 6, connections: 100, cost: time.Millisecond}
	b.group("records-old", "records", l)
	b.group("records-new", "records", l)
	for i := range TwoYearTargets {
		group := "records-old"
		if i >= oldTargets {
			group = "records-new"
		}
		// Replicas of a shard are TwoYearShards targets apart; the added turn puts them in different domains.
		domain := domains[(i+i/TwoYearShards)%len(domains)]
		b.target(group, domain, firstLayout, clementineport.ShardID(i%TwoYearShards))
	}
	return &b.Estate
}
