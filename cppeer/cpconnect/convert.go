package cpconnect

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

func snapshotToWire(s clementineport.Snapshot) *cpwire.Snapshot {
	return &cpwire.Snapshot{Version: uint64(s.Version), Layout: uint32(s.Layout)}
}

func snapshotFromWire(s *cpwire.Snapshot) clementineport.Snapshot {
	return clementineport.Snapshot{
		Version: clementineport.IndexVersion(s.GetVersion()),
		Layout:  clementineport.LayoutID(s.GetLayout()),
	}
}

// relayToWire encodes a RelayRequest. All of its calls belong to one query, so the query's fields are sent once.
func relayToWire(r *clementineport.RelayRequest, now time.Time, traceparent string) *cpwire.RelayRequest {
	first := &r.Calls[0]
	calls := make([]cpwire.RelayCall, len(r.Calls))
	m := &cpwire.RelayRequest{
		From:        string(r.From),
		Revision:    uint64(r.Revision),
		Request:     string(first.Request),
		Service:     string(first.Service),
		Class:       uint32(first.Class),
		Index:       string(first.Index),
		Snapshot:    snapshotToWire(first.Snapshot),
		Text:        first.Text,
		Limit:       int32(first.Limit),
		LeftNanos:   int64(first.Deadline.Sub(now)),
		Idempotent:  first.Idempotent,
		Traceparent: traceparent,
		Calls:       make([]*cpwire.RelayCall, len(r.Calls)),
	}
	for i := range r.Calls {
		c := &r.Calls[i]
		calls[i].Attempt, calls[i].Shard, calls[i].Target = int32(c.Attempt), int32(c.Shard), string(c.Target)
		m.Calls[i] = &calls[i]
	}
	return m
}

func relayFromWire(m *cpwire.RelayRequest, now time.Time) *clementineport.RelayRequest {
	r := &clementineport.RelayRequest{
		From:     clementineport.VMID(m.GetFrom()),
		Revision: clementineport.Revision(m.GetRevision()),
		Calls:    make([]clementineport.Call, len(m.GetCalls())),
	}
	shared := clementineport.Call{
		Request:    clementineport.RequestID(m.GetRequest()),
		Service:    clementineport.ServiceID(m.GetService()),
		Class:      clementineport.Class(m.GetClass()),
		Index:      clementineport.IndexID(m.GetIndex()),
		Snapshot:   snapshotFromWire(m.GetSnapshot()),
		Text:       m.GetText(),
		Limit:      int(m.GetLimit()),
		Deadline:   now.Add(time.Duration(m.GetLeftNanos())),
		Idempotent: m.GetIdempotent(),
	}
	for i, c := range m.GetCalls() {
		call := shared
		call.Attempt = clementineport.AttemptID(c.GetAttempt())
		call.Shard = clementineport.ShardID(c.GetShard())
		call.Target = clementineport.TargetID(c.GetTarget())
		r.Calls[i] = call
	}
	return r
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
		},
		Start:       clementineport.StartID(m.GetStart()),
		State:       clementineport.MemberState(m.GetState()),
		Incarnation: m.GetIncarnation(),
		Revision:    clementineport.Revision(m.GetRevision()),
		Ticket:      m.GetTicket(),
	}
}

// newsMessage is a message with news, in an exchange or its answer.
type newsMessage interface {
	GetLeaving() []*cpwire.TargetRun
	GetLimits() []*cpwire.TargetLimit
	GetRequests() []*cpwire.RequestReport
	GetReach() []*cpwire.VMReach
}

// newsFromWire decodes the news of a message.
func newsFromWire(m newsMessage) clementineport.TargetNews {
	return clementineport.TargetNews{
		Leaving: runsFromWire(m.GetLeaving()), Limits: limitsFromWire(m.GetLimits()),
		Requests: reportsFromWire(m.GetRequests()), Reach: reachFromWire(m.GetReach()),
	}
}

func reachToWire(reach []clementineport.VMReach) []*cpwire.VMReach {
	out := make([]*cpwire.VMReach, len(reach))
	for i, r := range reach {
		out[i] = &cpwire.VMReach{VM: string(r.VM), Lost: r.Lost, AgeNanos: int64(r.Age)}
	}
	return out
}

func reachFromWire(reach []*cpwire.VMReach) []clementineport.VMReach {
	var out []clementineport.VMReach
	for _, r := range reach {
		out = append(out, clementineport.VMReach{
			VM: clementineport.VMID(r.GetVM()), Lost: r.GetLost(), Age: time.Duration(r.GetAgeNanos()),
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
			Run: runToWire(l.Run), Limited: l.Limited, PerSecond: float64(l.Rate), AgeNanos: int64(l.Age),
		}
	}
	return out
}

func limitsFromWire(limits []*cpwire.TargetLimit) []clementineport.TargetLimit {
	var out []clementineport.TargetLimit
	for _, l := range limits {
		out = append(out, clementineport.TargetLimit{
			Run: runFromWire(l.GetRun()), Limited: l.GetLimited(), Rate: clementineport.RequestRate(l.GetPerSecond()),
			Age: time.Duration(l.GetAgeNanos()),
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
