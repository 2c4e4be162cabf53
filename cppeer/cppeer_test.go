package cppeer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cpwire"
	"github.com/clementineport/clementineport/cpwire/cpwireconnect"
)

const deadline = 400 * time.Millisecond

// fakeHandler is a Handler that counts the calls that ran and can simulate failures.
type fakeHandler struct {
	ran    atomic.Int64
	onCall func(ctx context.Context)
	hits   int
	// reply, if set, is the reply to every call.
	reply *clementineport.Reply
	// rerouted is the latest rerouted request, and result the result of each.
	rerouted *clementineport.ReroutedRequest
	result   *clementineport.ReroutedResult
}

func (h *fakeHandler) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	for _, c := range r.Calls {
		h.ran.Add(1)
		if h.onCall != nil {
			h.onCall(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if h.reply != nil {
			deliver(clementineport.CallResult{Attempt: c.Attempt, Shard: c.Shard, Target: c.Target, Reply: h.reply, Signals: h.reply.Signals})
			continue
		}
		deliver(clementineport.CallResult{
			Attempt: c.Attempt,
			Shard:   c.Shard,
			Target:  c.Target,
			Load:    2,
			Signals: clementineport.Signals{Start: "s1", Held: []clementineport.Snapshot{c.Snapshot}},
			Reply: &clementineport.Reply{
				Request:  c.Request,
				Shard:    c.Shard,
				Snapshot: c.Snapshot,
				Hits:     []clementineport.Hit{{Record: strings.Repeat("r", 1+h.hits), Score: 1.5}},
				Signals:  clementineport.Signals{Start: "s1", Held: []clementineport.Snapshot{c.Snapshot}},
			},
		})
	}
	return nil
}

func (h *fakeHandler) Exchange(_ context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	return d, nil
}

func (h *fakeHandler) Config(_ context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	if have.Revision >= 7 {
		return nil, nil
	}
	return &clementineport.Config{Revision: 7, Text: []byte("text")}, nil
}

// Quota grants what it is asked for.
func (h *fakeHandler) Quota(_ context.Context, r *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	answer := &clementineport.QuotaAnswer{Nonce: r.Nonce + 1, Bound: true}
	for _, d := range r.Demands {
		answer.Grants = append(answer.Grants, clementineport.QuotaGrant{Tokens: d.Tokens - d.Returned, Wait: time.Second})
	}
	return answer, nil
}

// Reroute returns what it has received, so that a test can compare it.
func (h *fakeHandler) Reroute(_ context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	h.ran.Add(1)
	h.rerouted = r
	return h.result, nil
}

func (h *fakeHandler) Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	h.ran.Add(1)
	if h.onCall != nil {
		h.onCall(ctx)
	}
	if q.Service == "full" {
		return nil, &clementineport.Error{Fault: clementineport.FaultShed, Reason: "full", RetryAfter: time.Second}
	}
	return &clementineport.Answer{Request: q.Request, Shards: 1, Verdict: clementineport.Ran}, nil
}

func encode(c *clementineport.Config) ([]byte, error) {
	return append([]byte{byte(c.Revision)}, c.Text...), nil
}

func decode(b []byte) (*clementineport.Config, error) {
	return &clementineport.Config{Revision: clementineport.Revision(b[0]), Text: b[1:]}, nil
}

func connectOptions(address, token string) []cpconnect.Option {
	return []cpconnect.Option{
		cpconnect.WithAddress(address),
		cpconnect.WithToken(cptoken.New(token)),
		cpconnect.WithClock(clockwork.NewRealClock()),
		cpconnect.WithCodec(encode, decode),
		cpconnect.WithMaxMessageSize(64 << 10),
	}
}

// listen serves h over HTTP/2 and returns its address.
func listen(t testing.TB, h http.Handler) string {
	return serve(t, h).Listener.Addr().String()
}

func serve(t testing.TB, h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// accept calls act with every connection to the returned address.
func accept(t *testing.T, act func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			act(c)
		}
	}()
	return l.Addr().String()
}

func relayRequest() *clementineport.RelayRequest {
	call := clementineport.Call{
		Request: "q1", Attempt: 1, Service: "desk", Index: "people", Shard: 2, Target: "t1",
		Snapshot: clementineport.Snapshot{Version: 3, Layout: 1}, Text: "name", Limit: 10,
		Deadline: time.Now().Add(deadline), Idempotent: true,
	}
	second := call
	second.Attempt, second.Shard = 2, 3
	return &clementineport.RelayRequest{From: "vm-1", Revision: 4, Calls: []clementineport.Call{call, second}}
}

func implementations(t *testing.T, h *fakeHandler) map[string]clementineport.Peer {
	address := listen(t, cpconnect.NewHandler(h, connectOptions("", "secret")...))
	return map[string]clementineport.Peer{
		"memory":  cppeer.New(cppeer.WithHandler(h)),
		"connect": cpconnect.New(connectOptions(address, "secret")...),
	}
}

func TestPeerContract(t *testing.T) {
	for name := range implementations(t, &fakeHandler{}) {
		t.Run(name, func(t *testing.T) {
			h := &fakeHandler{}
			peer := implementations(t, h)[name]
			defer peer.Close()
			var results []clementineport.CallResult
			err := peer.Relay(t.Context(), relayRequest(), func(r clementineport.CallResult) { results = append(results, r) })
			assert.NilError(t, err)
			assert.Equal(t, len(results), 2)
			assert.Equal(t, results[1].Reply.Shard, clementineport.ShardID(3))
			assert.DeepEqual(t, results[0].Reply.Snapshot, clementineport.Snapshot{Version: 3, Layout: 1})
			assert.DeepEqual(t, results[0].Signals.Held, []clementineport.Snapshot{{Version: 3, Layout: 1}})

			digest := &clementineport.Digest{
				From: clementineport.Member{VM: clementineport.VM{
					ID: "vm-1", Leaving: true, Capacity: clementineport.VMCapacity{Cores: 0.5, LinkMbps: 20},
				}, Start: "s", Ticket: "s.1"},
				Revision: 9, Staleness: time.Second, Members: []clementineport.Member{}, TargetNews: clementineport.TargetNews{
					Leaving: []clementineport.TargetRun{{ID: "t-1", Born: 7}},
					Limits: []clementineport.TargetLimit{
						{Run: clementineport.TargetRun{ID: "t-2", Born: 8}, Limited: true, Rate: 2.5, Age: time.Second, Seq: 6},
						{Run: clementineport.TargetRun{ID: "t-3", Born: 9}},
					},
					Requests: []clementineport.RequestReport{
						{Key: 1 << 63, Run: clementineport.TargetRun{ID: "t-4", Born: 10}, Age: time.Second}, {Key: 5, Served: true},
					},
					Rollouts: []clementineport.RolloutReport{{
						VM: "vm-1", Start: "s", Service: "desk", Order: 4, Stopped: true, OldEnded: true, Age: time.Second,
						Routes: []clementineport.RolloutCounts{{
							Route: "r", Old: clementineport.VersionCounts{Sent: 9, Answered: 8, Failed: 1, Slow: 2, Elapsed: time.Second},
							New: clementineport.VersionCounts{Sent: 1},
						}},
					}},
					Reach: []clementineport.VMReach{{VM: "vm-2", Lost: true, Age: time.Second, Seq: 3}},
					Loads: []clementineport.VMLoad{{VM: "vm-1", Rate: 3, Refused: 1, Busy: 0.5, Age: time.Second}},
				},
			}
			echo, err := peer.Exchange(t.Context(), digest)
			assert.NilError(t, err)
			assert.DeepEqual(t, echo, digest)

			cfg, err := peer.Config(t.Context(), clementineport.StorePosition{Revision: 6})
			assert.NilError(t, err)
			assert.Equal(t, cfg.Revision, clementineport.Revision(7))
			cfg, err = peer.Config(t.Context(), clementineport.StorePosition{Revision: 7})
			assert.NilError(t, err)
			assert.Assert(t, cfg == nil)

			quota, err := peer.Quota(t.Context(), &clementineport.QuotaRequest{
				From: "vm-1", Nonce: 1 << 63, Demands: []clementineport.QuotaDemand{{Workspace: "w", Tokens: 2.5, Returned: 1}},
			})
			assert.NilError(t, err)
			assert.DeepEqual(t, quota, &clementineport.QuotaAnswer{
				Nonce: 1<<63 + 1, Bound: true, Grants: []clementineport.QuotaGrant{{Tokens: 1.5, Wait: time.Second}},
			})

			answer, err := peer.Forward(t.Context(), &clementineport.Query{Request: "q9", Deadline: time.Now().Add(deadline)})
			assert.NilError(t, err)
			assert.Equal(t, answer.Request, clementineport.RequestID("q9"))
			_, err = peer.Forward(t.Context(), &clementineport.Query{Service: "full", Deadline: time.Now().Add(deadline)})
			assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultShed)
		})
	}
}

// positionHandler is a Handler that records the positions of the requests for the configuration.
type positionHandler struct {
	fakeHandler
	positions []clementineport.StorePosition
}

func (h *positionHandler) Config(_ context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	h.positions = append(h.positions, have)
	return nil, nil
}

// TestConfigOfAVMThatStatesNoEra checks that a VM of an earlier build, which knows no eras, is taken to be in the era of
// the VM that it calls, and that the position of a VM of this build arrives as it was sent.
func TestConfigOfAVMThatStatesNoEra(t *testing.T) {
	h := &positionHandler{}
	token := cptoken.New("t")
	server := httptest.NewUnstartedServer(cpconnect.NewHandler(h, cpconnect.WithToken(token),
		cpconnect.WithStoreEra(func() clementineport.StoreEra { return 4 })))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols.SetHTTP1(true)
	server.Start()
	defer server.Close()

	earlier := cpwireconnect.NewPeerServiceClient(http.DefaultClient, server.URL)
	request := connect.NewRequest(&cpwire.ConfigRequest{Have: 9})
	token.Set(request.Header())
	_, err := earlier.Config(t.Context(), request)
	assert.NilError(t, err)

	peer := cpconnect.New(cpconnect.WithToken(token), cpconnect.WithAddress(server.Listener.Addr().String()))
	defer func() { _ = peer.Close() }()
	_, err = peer.Config(t.Context(), clementineport.StorePosition{Era: 0, Revision: 9})
	assert.NilError(t, err)
	assert.DeepEqual(t, h.positions, []clementineport.StorePosition{{Era: 4, Revision: 9}, {Era: 0, Revision: 9}})
}

// TestPeerPassesRepliesOn checks that a relay returns the reply of a target unchanged, even a reply to a different call.
// The VM that runs the query validates it.
func TestPeerPassesRepliesOn(t *testing.T) {
	for _, reply := range []*clementineport.Reply{
		{Request: "q1", Shard: 2, Snapshot: clementineport.Snapshot{Version: 3, Layout: 1}},
		{Request: "other", Shard: 9, Snapshot: clementineport.Snapshot{Version: 8, Layout: 7}},
		{Request: "", Hits: []clementineport.Hit{{Record: "r\xff1", Score: 2, Fields: "f"}, {Record: "", Score: -1}, {Record: "é", Fields: "ü"}}},
		{Request: "q1", Shard: 2, Signals: clementineport.Signals{
			Start: "s", InFlight: 3, Draining: true, Cold: true, Held: []clementineport.Snapshot{{Version: 1}, {Layout: 2}},
		}},
	} {
		for name, peer := range implementations(t, &fakeHandler{reply: reply}) {
			var results []clementineport.CallResult
			err := peer.Relay(t.Context(), relayRequest(), func(r clementineport.CallResult) { results = append(results, r) })
			assert.NilError(t, err, name)
			assert.Equal(t, len(results), 2)
			assert.DeepEqual(t, results[0].Reply, reply, cmpopts.EquateEmpty())
			assert.NilError(t, peer.Close())
		}
	}
}

func TestPeerFaults(t *testing.T) {
	hang := func(ctx context.Context) { <-ctx.Done() }
	tests := []struct {
		name    string
		handler *fakeHandler
		// resets makes the handler close the caller's connection.
		resets bool
		token  string
		raw    func(net.Conn)
		want   []clementineport.Fault
	}{
		{name: "wrong token", handler: &fakeHandler{}, token: "other", want: []clementineport.Fault{clementineport.FaultUnauthorized}},
		{name: "reset before read", raw: func(c net.Conn) { c.Close() }, want: []clementineport.Fault{clementineport.FaultReset, clementineport.FaultUnsent}},
		{name: "reset after read", handler: &fakeHandler{}, resets: true, want: []clementineport.Fault{clementineport.FaultReset}},
		{name: "hang with heartbeats", handler: &fakeHandler{onCall: hang}, want: []clementineport.Fault{clementineport.FaultTimeout}},
		{name: "silent", raw: func(net.Conn) {}, want: []clementineport.Fault{clementineport.FaultTimeout}},
		{name: "malformed", raw: func(c net.Conn) { _, _ = c.Write([]byte("nonsense\r\n\r\n")); c.Close() }, want: []clementineport.Fault{clementineport.FaultReset, clementineport.FaultUnsent}},
		{name: "oversized", handler: &fakeHandler{hits: 100 << 10}, want: []clementineport.Fault{clementineport.FaultOversized}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var address string
			if tt.raw != nil {
				address = accept(t, tt.raw)
			} else {
				server := serve(t, cpconnect.NewHandler(tt.handler, connectOptions("", "secret")...))
				address = server.Listener.Addr().String()
				if tt.resets {
					tt.handler.onCall = func(context.Context) { server.CloseClientConnections() }
				}
			}
			token := "secret"
			if tt.token != "" {
				token = tt.token
			}
			peer := cpconnect.New(connectOptions(address, token)...)
			defer peer.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			err := peer.Relay(ctx, relayRequest(), func(clementineport.CallResult) {})
			assert.Assert(t, slices.Contains(tt.want, clementineport.FaultOf(err)), "%v", err)
			if clementineport.VerdictOf(err) == clementineport.NotRun && tt.handler != nil {
				assert.Equal(t, tt.handler.ran.Load(), int64(0))
			}
		})
	}
}

// TestGivenUpWithConnection checks that a call that is canceled as soon as it has a connection is not reported as not
// run: its writer may still send it.
func TestGivenUpWithConnection(t *testing.T) {
	peer := cpconnect.New(connectOptions(accept(t, func(net.Conn) {}), "secret")...)
	defer peer.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
	err := peer.Relay(ctx, relayRequest(), func(clementineport.CallResult) {})
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.MayHaveRun, "%v", err)
}

func TestPeerRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	peer := cpconnect.New(connectOptions(address, "secret")...)
	defer peer.Close()
	err = peer.Relay(t.Context(), relayRequest(), func(clementineport.CallResult) {})
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultRefused)
	_, err = peer.Forward(t.Context(), &clementineport.Query{Request: "q", Deadline: time.Now().Add(deadline)})
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
}

func TestMemoryPeerLosesReplyAfterEffect(t *testing.T) {
	h := &fakeHandler{}
	lost := clementineport.Fail(clementineport.FaultReset, "reply lost")
	peer := cppeer.New(cppeer.WithHandler(h), cppeer.WithAfter(func() error { return lost }))
	_, err := peer.Forward(t.Context(), &clementineport.Query{})
	assert.Equal(t, clementineport.VerdictOf(err), clementineport.MayHaveRun)
	assert.Equal(t, h.ran.Load(), int64(1))
}
