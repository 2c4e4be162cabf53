package cppeer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cpwire/cpwireconnect"
)

// anyBytes is no valid UTF-8. Callers and targets may send such bytes.
const anyBytes = "\xff\xfe"

func reroutedRequest() *clementineport.ReroutedRequest {
	now := time.Now()
	return &clementineport.ReroutedRequest{
		OpaqueRequest: clementineport.OpaqueRequest{
			ID: "q1" + anyBytes, Method: http.MethodPost, Host: "h", URI: "/a?b=" + anyBytes, Body: []byte(anyBytes),
			Header:  http.Header{"X-A": {"1", anyBytes}},
			Arrived: now.Add(-time.Second), Deadline: now.Add(time.Minute), MaxWait: 2 * time.Minute, EarlierAttempts: 1,
			Workspace: "w\ufffd",
		},
		From: "vm-1", Version: 7, Route: 1 << 63,
	}
}

func TestAReroutedRequestArrivesUnchanged(t *testing.T) {
	for name := range implementations(t, &fakeHandler{}) {
		t.Run(name, func(t *testing.T) {
			h := &fakeHandler{result: &clementineport.ReroutedResult{}}
			h.result.Err = clementineport.Fail(clementineport.FaultShed, "full")
			h.result.Err.RetryAfter = time.Second
			sent := reroutedRequest()
			got, err := implementations(t, h)[name].Reroute(t.Context(), sent)
			assert.NilError(t, err)
			assert.DeepEqual(t, got.Err, h.result.Err)
			near := cmpopts.EquateApproxTime(time.Second) // the times are sent as durations
			assert.DeepEqual(t, h.rerouted, sent, near)
		})
	}
}

func TestTheResultOfAReroutedRequestArrivesUnchanged(t *testing.T) {
	for _, result := range []clementineport.OpaqueResult{
		{Part: &clementineport.OpaqueResponse{
			Target: "t", Status: 207, Header: http.Header{"X-B": {anyBytes, ""}}, Body: []byte(anyBytes), Signature: anyBytes,
		}},
		{Gathered: &clementineport.GatheredResponse{Signatures: []string{"a", anyBytes}, Missing: 3, Body: []byte(anyBytes)}},
	} {
		for name := range implementations(t, &fakeHandler{}) {
			h := &fakeHandler{result: &clementineport.ReroutedResult{OpaqueResult: result, Version: 9}}
			got, err := implementations(t, h)[name].Reroute(t.Context(), reroutedRequest())
			assert.NilError(t, err)
			assert.DeepEqual(t, got, h.result)
		}
	}
}

func TestAReroutedResponseWithoutAValidStatusIsAnError(t *testing.T) {
	h := &fakeHandler{result: &clementineport.ReroutedResult{}}
	h.result.Part = &clementineport.OpaqueResponse{Status: 99}
	_, err := implementations(t, h)["connect"].Reroute(t.Context(), reroutedRequest())
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultMalformed)
}

// TestAVMOfAnEarlierBuildHasNotRunAReroutedRequest guards against requests that are given up because one VM is older.
func TestAVMOfAnEarlierBuildHasNotRunAReroutedRequest(t *testing.T) {
	_, service := cpwireconnect.NewPeerServiceHandler(cpwireconnect.UnimplementedPeerServiceHandler{})
	address := listen(t, service)
	_, err := cpconnect.New(connectOptions(address, "secret")...).Reroute(t.Context(), reroutedRequest())
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultNotOwner)
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
}
