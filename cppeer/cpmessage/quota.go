package cpmessage

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

// EncodeQuota returns the message of a request for tokens.
func EncodeQuota(r *clementineport.QuotaRequest) *cpwire.QuotaRequest {
	m := &cpwire.QuotaRequest{
		From: string(r.From), Start: string(r.Start), Group: int32(r.Group), Nonce: uint64(r.Nonce), Weight: r.Weight,
		Version: uint64(r.Version),
	}
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, &cpwire.QuotaDemand{Workspace: string(d.Workspace), Tokens: d.Tokens, Returned: d.Returned})
	}
	return m
}

// DecodeQuota returns the request of a message.
func DecodeQuota(m *cpwire.QuotaRequest) *clementineport.QuotaRequest {
	r := &clementineport.QuotaRequest{
		From: clementineport.VMID(m.GetFrom()), Start: clementineport.StartID(m.GetStart()), Group: int(m.GetGroup()),
		Nonce: clementineport.QuotaNonce(m.GetNonce()), Weight: m.GetWeight(), Version: clementineport.Revision(m.GetVersion()),
	}
	for _, d := range m.GetDemands() {
		r.Demands = append(r.Demands, clementineport.QuotaDemand{
			Workspace: clementineport.WorkspaceID(d.GetWorkspace()), Tokens: d.GetTokens(), Returned: d.GetReturned(),
		})
	}
	return r
}

// EncodeQuotaAnswer returns the message of an answer of a coordinator.
func EncodeQuotaAnswer(a *clementineport.QuotaAnswer) *cpwire.QuotaResponse {
	m := &cpwire.QuotaResponse{Nonce: uint64(a.Nonce), Bound: a.Bound}
	for _, g := range a.Grants {
		m.Grants = append(m.Grants, &cpwire.QuotaGrant{Tokens: g.Tokens, WaitNanos: int64(g.Wait)})
	}
	return m
}

// DecodeQuotaAnswer returns the answer of a message.
func DecodeQuotaAnswer(m *cpwire.QuotaResponse) *clementineport.QuotaAnswer {
	a := &clementineport.QuotaAnswer{Nonce: clementineport.QuotaNonce(m.GetNonce()), Bound: m.GetBound()}
	for _, g := range m.GetGrants() {
		a.Grants = append(a.Grants, clementineport.QuotaGrant{Tokens: g.GetTokens(), Wait: time.Duration(g.GetWaitNanos())})
	}
	return a
}
