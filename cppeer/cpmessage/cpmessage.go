// Package cpmessage converts the values that VMs pass to each other into messages and back. Times are sent as the time left or
// elapsed, so that the clocks of two VMs may differ. A message of an earlier build, which lacks fields, decodes to their zero
// values.
package cpmessage

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

// EncodeRelay returns the message of a relay, which has at least one call. All of its calls belong to one query, so the query's
// fields are sent once, with the time left at now.
func EncodeRelay(r *clementineport.RelayRequest, now time.Time, traceparent string) *cpwire.RelayRequest {
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

// DecodeRelay returns the relay of a message that was received at now.
func DecodeRelay(m *cpwire.RelayRequest, now time.Time) *clementineport.RelayRequest {
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

func snapshotToWire(s clementineport.Snapshot) *cpwire.Snapshot {
	return &cpwire.Snapshot{Version: uint64(s.Version), Layout: uint32(s.Layout)}
}

func snapshotFromWire(s *cpwire.Snapshot) clementineport.Snapshot {
	return clementineport.Snapshot{
		Version: clementineport.IndexVersion(s.GetVersion()),
		Layout:  clementineport.LayoutID(s.GetLayout()),
	}
}
