package cpmessage

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

var errHitLengths = clementineport.Fail(clementineport.FaultMalformed, "the hits of a relayed reply do not fit their lengths")

// EncodeResult returns the message of the result of a call for a query. What the reply has in common with the call is not sent.
func EncodeResult(r *clementineport.CallResult, requestID clementineport.RequestID) *cpwire.RelayResult {
	m := &cpwire.RelayResult{
		Attempt:      int32(r.Attempt),
		Shard:        int32(r.Shard),
		Target:       string(r.Target),
		Signals:      signalsToWire(&r.Signals),
		Load:         int32(r.Load),
		ElapsedNanos: int64(r.Elapsed),
	}
	if r.Err != nil {
		m.Fault, m.Reason, m.RetryAfterNanos = EncodeError(r.Err)
		return m
	}
	m.Reply = replyToWire(r, requestID)
	return m
}

// DecodeResult returns the result of a message.
func DecodeResult(m *cpwire.RelayResult, requestID clementineport.RequestID) clementineport.CallResult {
	r := clementineport.CallResult{
		Attempt: clementineport.AttemptID(m.GetAttempt()),
		Shard:   clementineport.ShardID(m.GetShard()),
		Target:  clementineport.TargetID(m.GetTarget()),
		Signals: signalsFromWire(m.GetSignals()),
		Load:    int(m.GetLoad()),
		Elapsed: time.Duration(m.GetElapsedNanos()),
	}
	if m.GetReply() == nil {
		r.Err = DecodeError(m.GetFault(), m.GetReason(), m.GetRetryAfterNanos())
		return r
	}
	hits, err := hitsFromWire(m.GetReply())
	if err != nil {
		r.Err = err
		return r
	}
	r.Reply = replyFromWire(m, requestID)
	r.Reply.Hits, r.Reply.Signals = hits, r.Signals
	return r
}

func replyToWire(r *clementineport.CallResult, requestID clementineport.RequestID) *cpwire.Reply {
	reply := r.Reply
	m := &cpwire.Reply{Version: uint64(reply.Snapshot.Version), Layout: uint32(reply.Snapshot.Layout)}
	if reply.Request != requestID {
		m.Request = proto.String(toValidUTF8(string(reply.Request)))
	}
	if reply.Shard != r.Shard {
		m.Shard = proto.Int32(int32(reply.Shard))
	}
	hitsToWire(m, reply.Hits)
	return m
}

func replyFromWire(result *cpwire.RelayResult, requestID clementineport.RequestID) *clementineport.Reply {
	m := result.GetReply()
	r := &clementineport.Reply{
		Request: requestID,
		Shard:   clementineport.ShardID(result.GetShard()),
		Snapshot: clementineport.Snapshot{
			Version: clementineport.IndexVersion(m.GetVersion()),
			Layout:  clementineport.LayoutID(m.GetLayout()),
		},
	}
	if m.Request != nil {
		r.Request = clementineport.RequestID(m.GetRequest())
	}
	if m.Shard != nil {
		r.Shard = clementineport.ShardID(m.GetShard())
	}
	return r
}

// toValidUTF8 replaces invalid UTF-8 in text from a target, since a protobuf string can't contain it.
func toValidUTF8(text string) string { return strings.ToValidUTF8(text, "\uFFFD") }

func hitsToWire(m *cpwire.Reply, hits []clementineport.Hit) {
	if len(hits) == 0 {
		return
	}
	lengths := make([]uint32, 2*len(hits))
	m.RecordLengths, m.FieldLengths = lengths[:len(hits):len(hits)], lengths[len(hits):]
	m.Scores = make([]float64, len(hits))
	size := 0
	for i := range hits {
		m.RecordLengths[i], m.FieldLengths[i] = uint32(len(hits[i].Record)), uint32(len(hits[i].Fields))
		m.Scores[i] = hits[i].Score
		size += len(hits[i].Record) + len(hits[i].Fields)
	}
	m.Text = make([]byte, 0, size)
	for i := range hits {
		m.Text = append(m.Text, hits[i].Record...)
		m.Text = append(m.Text, hits[i].Fields...)
	}
}

// hitsFromWire returns the hits of a reply. Their strings are substrings of one copy of the reply's text.
func hitsFromWire(m *cpwire.Reply) ([]clementineport.Hit, error) {
	text := string(m.GetText())
	if len(m.GetRecordLengths()) != len(m.GetScores()) || len(m.GetFieldLengths()) != len(m.GetScores()) {
		return nil, errHitLengths
	}
	hits := make([]clementineport.Hit, len(m.GetScores()))
	for i, score := range m.GetScores() {
		record, fields := uint64(m.GetRecordLengths()[i]), uint64(m.GetFieldLengths()[i])
		if record+fields > uint64(len(text)) {
			return nil, errHitLengths
		}
		hits[i] = clementineport.Hit{Record: text[:record], Score: score, Fields: text[record : record+fields]}
		text = text[record+fields:]
	}
	if text != "" {
		return nil, errHitLengths
	}
	return hits, nil
}

func signalsToWire(s *clementineport.Signals) *cpwire.Signals {
	m := &cpwire.Signals{
		Start:        toValidUTF8(string(s.Start)),
		InFlight:     int32(s.InFlight),
		HeldVersions: make([]uint64, len(s.Held)),
		HeldLayouts:  make([]uint32, len(s.Held)),
		Draining:     s.Draining,
		Cold:         s.Cold,
	}
	for i, held := range s.Held {
		m.HeldVersions[i], m.HeldLayouts[i] = uint64(held.Version), uint32(held.Layout)
	}
	return m
}

func signalsFromWire(m *cpwire.Signals) clementineport.Signals {
	n := min(len(m.GetHeldVersions()), len(m.GetHeldLayouts()))
	s := clementineport.Signals{
		Start:    clementineport.StartID(m.GetStart()),
		InFlight: int(m.GetInFlight()),
		Draining: m.GetDraining(),
		Cold:     m.GetCold(),
	}
	if n > 0 {
		s.Held = make([]clementineport.Snapshot, n)
	}
	for i := range s.Held {
		s.Held[i] = clementineport.Snapshot{
			Version: clementineport.IndexVersion(m.GetHeldVersions()[i]),
			Layout:  clementineport.LayoutID(m.GetHeldLayouts()[i]),
		}
	}
	return s
}
