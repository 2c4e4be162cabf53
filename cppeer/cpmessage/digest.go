package cpmessage

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

// EncodeDigest returns the message of a digest.
func EncodeDigest(d *clementineport.Digest) *cpwire.Digest {
	return &cpwire.Digest{
		From:       memberToWire(&d.From),
		Revision:   uint64(d.Revision),
		FreshNanos: int64(d.Staleness),
		Members:    membersToWire(d.Members),
		Leaving:    runsToWire(d.Leaving),
		Limits:     limitsToWire(d.Limits),
		Requests:   reportsToWire(d.Requests),
		Reach:      reachToWire(d.Reach),
		Rollouts:   rolloutsToWire(d.Rollouts),
		Loads:      loadsToWire(d.Loads),
	}
}

// DecodeDigest returns the digest of a message.
func DecodeDigest(m *cpwire.Digest) *clementineport.Digest {
	return &clementineport.Digest{
		From:      memberFromWire(m.GetFrom()),
		Revision:  clementineport.Revision(m.GetRevision()),
		Staleness: time.Duration(m.GetFreshNanos()),
		Members:   membersFromWire(m.GetMembers()),
		TargetNews: clementineport.TargetNews{
			Leaving: runsFromWire(m.GetLeaving()), Limits: limitsFromWire(m.GetLimits()),
			Requests: reportsFromWire(m.GetRequests()), Reach: reachFromWire(m.GetReach()),
			Rollouts: rolloutsFromWire(m.GetRollouts()), Loads: loadsFromWire(m.GetLoads()),
		},
	}
}

func memberToWire(m *clementineport.Member) *cpwire.Member {
	return &cpwire.Member{
		VM: &cpwire.VM{
			ID:       string(m.ID),
			Domain:   string(m.Domain),
			Caller:   m.Caller,
			Peer:     m.Peer,
			Operator: m.Operator,
			Leaving:  m.Leaving,
			Cores:    m.Capacity.Cores,
			LinkMbps: m.Capacity.LinkMbps,
		},
		Start:       string(m.Start),
		State:       uint32(m.State),
		Incarnation: m.Incarnation,
		Revision:    uint64(m.Revision),
		Ticket:      m.Ticket,
	}
}

func memberFromWire(m *cpwire.Member) clementineport.Member {
	vm := m.GetVM()
	return clementineport.Member{
		VM: clementineport.VM{
			ID:       clementineport.VMID(vm.GetID()),
			Domain:   clementineport.FailureDomain(vm.GetDomain()),
			Caller:   vm.GetCaller(),
			Peer:     vm.GetPeer(),
			Operator: vm.GetOperator(),
			Leaving:  vm.GetLeaving(),
			Capacity: clementineport.VMCapacity{Cores: vm.GetCores(), LinkMbps: vm.GetLinkMbps()},
		},
		Start:       clementineport.StartID(m.GetStart()),
		State:       clementineport.MemberState(m.GetState()),
		Incarnation: m.GetIncarnation(),
		Revision:    clementineport.Revision(m.GetRevision()),
		Ticket:      m.GetTicket(),
	}
}

func reachToWire(reach []clementineport.VMReach) []*cpwire.VMReach {
	out := make([]*cpwire.VMReach, len(reach))
	for i, r := range reach {
		out[i] = &cpwire.VMReach{VM: string(r.VM), Lost: r.Lost, AgeNanos: int64(r.Age), Seq: uint64(r.Seq)}
	}
	return out
}

func reachFromWire(reach []*cpwire.VMReach) []clementineport.VMReach {
	var out []clementineport.VMReach
	for _, r := range reach {
		out = append(out, clementineport.VMReach{
			VM: clementineport.VMID(r.GetVM()), Lost: r.GetLost(), Age: time.Duration(r.GetAgeNanos()),
			Seq: clementineport.StatementSeq(r.GetSeq()),
		})
	}
	return out
}

func reportsToWire(reports []clementineport.RequestReport) []*cpwire.RequestReport {
	out := make([]*cpwire.RequestReport, len(reports))
	for i, r := range reports {
		out[i] = &cpwire.RequestReport{Key: uint64(r.Key), Served: r.Served, Run: runToWire(r.Run), AgeNanos: int64(r.Age)}
	}
	return out
}

func reportsFromWire(reports []*cpwire.RequestReport) []clementineport.RequestReport {
	var out []clementineport.RequestReport
	for _, r := range reports {
		out = append(out, clementineport.RequestReport{
			Key: clementineport.RequestKey(r.GetKey()), Served: r.GetServed(), Run: runFromWire(r.GetRun()),
			Age: time.Duration(r.GetAgeNanos()),
		})
	}
	return out
}

func limitsToWire(limits []clementineport.TargetLimit) []*cpwire.TargetLimit {
	out := make([]*cpwire.TargetLimit, len(limits))
	for i, l := range limits {
		out[i] = &cpwire.TargetLimit{
			Run: runToWire(l.Run), Limited: l.Limited, PerSecond: float64(l.Rate), AgeNanos: int64(l.Age), Seq: uint64(l.Seq),
		}
	}
	return out
}

func limitsFromWire(limits []*cpwire.TargetLimit) []clementineport.TargetLimit {
	var out []clementineport.TargetLimit
	for _, l := range limits {
		out = append(out, clementineport.TargetLimit{
			Run: runFromWire(l.GetRun()), Limited: l.GetLimited(), Rate: clementineport.RequestRate(l.GetPerSecond()),
			Age: time.Duration(l.GetAgeNanos()), Seq: clementineport.StatementSeq(l.GetSeq()),
		})
	}
	return out
}

func runToWire(r clementineport.TargetRun) *cpwire.TargetRun {
	return &cpwire.TargetRun{ID: string(r.ID), Born: r.Born}
}

func runFromWire(r *cpwire.TargetRun) clementineport.TargetRun {
	return clementineport.TargetRun{ID: clementineport.TargetID(r.GetID()), Born: r.GetBorn()}
}

func runsToWire(runs []clementineport.TargetRun) []*cpwire.TargetRun {
	out := make([]*cpwire.TargetRun, len(runs))
	for i, r := range runs {
		out[i] = runToWire(r)
	}
	return out
}

func runsFromWire(runs []*cpwire.TargetRun) []clementineport.TargetRun {
	var out []clementineport.TargetRun
	for _, r := range runs {
		out = append(out, runFromWire(r))
	}
	return out
}

func membersToWire(members []clementineport.Member) []*cpwire.Member {
	out := make([]*cpwire.Member, len(members))
	for i := range members {
		out[i] = memberToWire(&members[i])
	}
	return out
}

func membersFromWire(members []*cpwire.Member) []clementineport.Member {
	out := make([]clementineport.Member, len(members))
	for i, m := range members {
		out[i] = memberFromWire(m)
	}
	return out
}
