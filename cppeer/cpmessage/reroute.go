package cpmessage

import (
	"net/http"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

// EncodeReroute returns the message of a rerouted request at now.
func EncodeReroute(r *clementineport.ReroutedRequest, now time.Time, traceparent string) *cpwire.RerouteRequest {
	return &cpwire.RerouteRequest{
		From:            string(r.From),
		Version:         uint64(r.Version),
		Request:         []byte(r.ID),
		Method:          []byte(r.Method),
		Host:            []byte(r.Host),
		URI:             []byte(r.URI),
		Headers:         headersToWire(r.Header),
		Body:            r.Body,
		LeftNanos:       int64(r.Deadline.Sub(now)),
		ElapsedNanos:    int64(now.Sub(r.Arrived)),
		MaxWaitNanos:    int64(r.MaxWait),
		EarlierAttempts: int32(r.EarlierAttempts),
		Traceparent:     traceparent,
		Workspace:       string(r.Workspace),
		Route:           uint64(r.Route),
	}
}

// DecodeReroute returns the request of a message that was received at now.
func DecodeReroute(m *cpwire.RerouteRequest, now time.Time) *clementineport.ReroutedRequest {
	return &clementineport.ReroutedRequest{
		OpaqueRequest: clementineport.OpaqueRequest{
			ID:              clementineport.RequestID(m.GetRequest()),
			Method:          string(m.GetMethod()),
			Host:            string(m.GetHost()),
			URI:             string(m.GetURI()),
			Header:          headersFromWire(m.GetHeaders()),
			Body:            m.GetBody(),
			Arrived:         now.Add(-time.Duration(m.GetElapsedNanos())),
			Deadline:        now.Add(time.Duration(m.GetLeftNanos())),
			MaxWait:         time.Duration(m.GetMaxWaitNanos()),
			Workspace:       clementineport.WorkspaceID(m.GetWorkspace()),
			EarlierAttempts: int(m.GetEarlierAttempts()),
		},
		From:    clementineport.VMID(m.GetFrom()),
		Version: clementineport.Revision(m.GetVersion()),
		Route:   clementineport.RouteFingerprint(m.GetRoute()),
	}
}

// EncodeRerouted returns the message of the result of a rerouted request.
func EncodeRerouted(r *clementineport.ReroutedResult) *cpwire.RerouteResponse {
	m := &cpwire.RerouteResponse{Version: uint64(r.Version)}
	switch {
	case r.Part != nil:
		m.Response = &cpwire.OpaqueResponse{
			Target: string(r.Part.Target), Status: int32(r.Part.Status), Headers: headersToWire(r.Part.Header), Body: r.Part.Body,
			Signature: []byte(r.Part.Signature),
		}
	case r.Gathered != nil:
		m.Gathered = &cpwire.GatheredResponse{Missing: int32(r.Gathered.Missing), Body: r.Gathered.Body}
		for _, s := range r.Gathered.Signatures {
			m.Gathered.Signatures = append(m.Gathered.Signatures, []byte(s))
		}
	default:
		m.Fault, m.Reason, m.RetryAfterNanos = EncodeError(r.Err)
	}
	return m
}

// DecodeRerouted returns the result of a message, or an error with FaultMalformed.
func DecodeRerouted(m *cpwire.RerouteResponse) (*clementineport.ReroutedResult, error) {
	r := &clementineport.ReroutedResult{Version: clementineport.Revision(m.GetVersion())}
	switch {
	case m.GetResponse() != nil:
		p := m.GetResponse()
		r.Part = &clementineport.OpaqueResponse{
			Target: clementineport.TargetID(p.GetTarget()), Status: int(p.GetStatus()), Header: headersFromWire(p.GetHeaders()),
			Body: p.GetBody(), Signature: string(p.GetSignature()),
		}
		if !clementineport.ValidStatus(r.Part.Status) {
			return nil, clementineport.Fail(clementineport.FaultMalformed, "rerouted response with status %d", r.Part.Status)
		}
	case m.GetGathered() != nil:
		g := m.GetGathered()
		r.Gathered = &clementineport.GatheredResponse{Missing: int(g.GetMissing()), Body: g.GetBody()}
		for _, s := range g.GetSignatures() {
			r.Gathered.Signatures = append(r.Gathered.Signatures, string(s))
		}
	default:
		r.Err = DecodeError(m.GetFault(), m.GetReason(), m.GetRetryAfterNanos())
	}
	return r, nil
}

func headersToWire(h http.Header) []*cpwire.Header {
	out := make([]*cpwire.Header, 0, len(h))
	for name, values := range h {
		m := &cpwire.Header{Name: []byte(name)}
		for _, v := range values {
			m.Values = append(m.Values, []byte(v))
		}
		out = append(out, m)
	}
	return out
}

func headersFromWire(headers []*cpwire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, m := range headers {
		for _, v := range m.GetValues() {
			h[string(m.GetName())] = append(h[string(m.GetName())], string(v))
		}
	}
	return h
}
