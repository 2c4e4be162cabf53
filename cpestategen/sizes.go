package cpestategen

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Sizes that both users' estates have in common.
const (
	smallInstanceCount = 10
	largeInstanceCount = 15
	shardsPerInstance  = 3
	newLayoutShards    = 6
	largeShardCount    = 35
	smallShardCount    = 17
	fullCoverage       = 1.0
)

func interactiveService(name string, prefer clementineport.Preference, deadline time.Duration, groups ...clementineport.GroupID) clementineport.Service {
	return clementineport.Service{
		Name: clementineport.ServiceID(name), DependsOn: groups, Deadline: deadline, Class: clementineport.ClassInteractive,
		LeastCoverage: fullCoverage, BelowLeast: clementineport.BelowMark, Prefer: prefer,
	}
}

func backgroundService(name string, class clementineport.Class, deadline time.Duration) clementineport.Service {
	return clementineport.Service{
		Name: clementineport.ServiceID(name), Deadline: deadline, Class: class,
		LeastCoverage: fullCoverage, BelowLeast: clementineport.BelowRefuse, Prefer: clementineport.PreferCoverage,
	}
}

// achubwr returns an estate in which half of the instances of booking-desk have the new layout.
func achubwr() *clementineport.Estate {
	b := newBuilder("cymru-south", "a", "b", "c")
	interactiveLimits := groupLimits{slots: 6, connections: 45, connectionCost: 6 * time.Millisecond}
	backgroundLimits := groupLimits{slots: 3, connections: 100, connectionCost: time.Millisecond}
	b.addService(interactiveService("booking-desk", clementineport.PreferTail, 2*time.Second, "booking-desk-old", "booking-desk-new"))
	b.addService(interactiveService("trainer-portal", clementineport.PreferTail, 2*time.Second))
	b.addService(backgroundService("certificate-sync", clementineport.ClassBatch, 30*time.Second))
	b.addService(backgroundService("centre-billing", clementineport.ClassStandard, 10*time.Second))
	b.addMigratedIndex("booking-desk", smallInstanceCount, interactiveLimits)
	b.addReplicatedIndex("trainer-portal", largeInstanceCount, interactiveLimits)
	b.addShardedIndex("certificate-sync", largeShardCount, backgroundLimits)
	b.addShardedIndex("centre-billing", smallShardCount, backgroundLimits)
	return &b.Estate
}

// rijkshavenbureau returns an estate in which half of the instances of invoice-desk have the new layout.
func rijkshavenbureau() *clementineport.Estate {
	b := newBuilder("rijnmond", "a", "b", "c", "d")
	interactiveLimits := groupLimits{slots: 4, connections: 36, connectionCost: 6 * time.Millisecond}
	backgroundLimits := groupLimits{slots: 2, connections: 36, connectionCost: time.Millisecond}
	b.addService(interactiveService("invoice-desk", clementineport.PreferCoverage, 5*time.Second, "invoice-desk-old", "invoice-desk-new"))
	b.addService(interactiveService("customs-feed", clementineport.PreferCoverage, 5*time.Second))
	b.addService(backgroundService("quay-portal", clementineport.ClassInteractive, 5*time.Second))
	b.addService(backgroundService("dispute-handling", clementineport.ClassStandard, 10*time.Second))
	b.addMigratedIndex("invoice-desk", smallInstanceCount, interactiveLimits)
	b.addReplicatedIndex("customs-feed", largeInstanceCount, interactiveLimits)
	b.addShardedIndex("quay-portal", largeShardCount, backgroundLimits)
	b.addShardedIndex("dispute-handling", smallShardCount, backgroundLimits)
	return &b.Estate
}

// addMigratedIndex adds an index during a migration: an old and a new group hold the same records in two layouts.
func (b *builder) addMigratedIndex(name string, instances int, l groupLimits) {
	b.addIndex(name, shardsPerInstance, newLayoutShards)
	b.addGroup(name+"-old", name, l)
	b.addGroup(name+"-new", name, l)
	newInstances := instances / 2
	b.addInstances(name+"-old", firstLayout, instances-newInstances, shardsPerInstance)
	for i := range newInstances {
		domain := b.Domains[(instances-newInstances+i)%len(b.Domains)]
		for k := range shardsPerInstance {
			first := clementineport.ShardID(k * newLayoutShards / shardsPerInstance)
			b.addTarget(name+"-new", domain, secondLayout, first, first+1)
		}
	}
}

func (b *builder) addReplicatedIndex(name string, instances int, l groupLimits) {
	b.addIndex(name, shardsPerInstance)
	b.addGroup(name, name, l)
	b.addInstances(name, firstLayout, instances, shardsPerInstance)
}

func (b *builder) addShardedIndex(name string, shards int, l groupLimits) {
	b.addIndex(name, shards)
	b.addGroup(name, name, l)
	b.addPaired(name, firstLayout, shards)
}

func small() *clementineport.Estate {
	b := newBuilder("local", "a", "b", "c")
	b.addService(interactiveService("lookup", clementineport.PreferTail, 2*time.Second))
	b.addService(backgroundService("reconcile", clementineport.ClassBatch, 10*time.Second))
	b.addIndex("lookup", shardsPerInstance)
	b.addGroup("lookup", "lookup", groupLimits{slots: 6, connections: 45, connectionCost: 6 * time.Millisecond})
	b.addInstances("lookup", firstLayout, 4, shardsPerInstance)
	b.addShardedIndex("reconcile", newLayoutShards, groupLimits{slots: 3, connections: 100, connectionCost: time.Millisecond})
	return &b.Estate
}

// twoYear returns an estate with 3,900 targets for 1,100 shards, in an old and a new group and in the failure domains
// of two regions.
func twoYear() *clementineport.Estate {
	var domains []clementineport.FailureDomain
	for _, region := range []string{"cymru", "rijnmond"} {
		for _, domain := range []string{"a", "b", "c", "d"} {
			domains = append(domains, clementineport.FailureDomain(region+"-"+domain))
		}
	}
	b := newBuilder("two-regions", domains...)
	const oldTargets = TwoYearShards * 2
	records := interactiveService("records", clementineport.PreferTail, 2*time.Second, "records-old", "records-new")
	b.addService(records)
	batch := backgroundService("reconcile", clementineport.ClassBatch, 30*time.Second)
	batch.DependsOn = records.DependsOn
	b.addService(batch)
	b.Services[1].Index = b.Services[0].Index
	b.addIndex("records", TwoYearShards)
	limits := groupLimits{slots: 6, connections: 100, connectionCost: time.Millisecond}
	b.addGroup("records-old", "records", limits)
	b.addGroup("records-new", "records", limits)
	for i := range TwoYearTargets {
		group := "records-old"
		if i >= oldTargets {
			group = "records-new"
		}
		// Replicas of a shard are TwoYearShards targets apart; adding i/TwoYearShards puts them in different domains.
		domain := domains[(i+i/TwoYearShards)%len(domains)]
		b.addTarget(group, domain, firstLayout, clementineport.ShardID(i%TwoYearShards))
	}
	return &b.Estate
}
