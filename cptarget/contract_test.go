package cptarget_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget"
	"github.com/clementineport/clementineport/cptarget/cphttp"
)

var pinned = clementineport.Snapshot{Version: 1, Layout: 1}

func newCall(left time.Duration) *clementineport.Call {
	return &clementineport.Call{
		Request: "r1", Index: "invoices", Shard: 7, Snapshot: pinned, Text: "quay", Limit: 3,
		Deadline: time.Now().Add(left),
	}
}

// row is one case of the contract of clementineport.Target: how to provoke a fault in each implementation, and the
// fault that Search must return.
type row struct {
	name string
	want clementineport.Fault
	// also lists faults that a race may produce instead; http2 is the fault that net/http produces over HTTP/2, if it
	// differs.
	also  []clementineport.Fault
	http2 clementineport.Fault
	// serve answers one HTTP request; raw serves a whole connection instead.
	serve func(w http.ResponseWriter, call *cphttp.SearchRequest)
	raw   func(c net.Conn)
	// script is the step of the in-memory target; the default is a step with the wanted fault.
	script  *cptarget.Step
	cancel  bool
	left    time.Duration
	signals bool
}

const (
	long  = 5 * time.Second
	short = 60 * time.Millisecond
)

func rows() []row {
	hanging, slow, late := &cptarget.Step{Hang: true}, &cptarget.Step{Delay: short}, &cptarget.Step{Delay: 2 * short}
	large := strings.Repeat("x", 70<<10)
	all := []row{
		{name: "refused", want: clementineport.FaultRefused},
		{
			name: "reset before read", want: clementineport.FaultReset, raw: reset,
			also: []clementineport.Fault{clementineport.FaultUnsent, clementineport.FaultRefused},
		},
		{name: "reset after read", want: clementineport.FaultReset, raw: func(c net.Conn) { readRequest(c); reset(c) }},
		{name: "cut body", want: clementineport.FaultCut, raw: respond("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")},
		{name: "hang", want: clementineport.FaultTimeout, script: hanging, left: short, raw: hang},
		{name: "canceled", want: clementineport.FaultCanceled, script: hanging, cancel: true, raw: hang},
		{name: "late", want: clementineport.FaultTimeout, script: late, left: short, serve: after(2 * short)},
		{name: "slow", script: slow, serve: after(short)},
		{name: "no time left", want: clementineport.FaultDeadline, left: -time.Second, serve: answer},
		{name: "malformed header", want: clementineport.FaultMalformed, raw: respond("what?\r\n\r\n")},
	}
	for name, change := range map[string]func(*cphttp.SearchRequest){
		"snapshot": func(call *cphttp.SearchRequest) { call.Snapshot.Version++ },
		"request":  func(call *cphttp.SearchRequest) { call.Request = "r2" },
		"shard":    func(call *cphttp.SearchRequest) { call.Shard++ },
	} {
		all = append(all, row{name: "other " + name, want: clementineport.FaultMismatched, serve: changed(change, answer)})
	}
	refuseOther := changed(func(call *cphttp.SearchRequest) { call.Request = "r2" }, refuse(clementineport.FaultShed))
	all = append(all, row{name: "refusal of another", want: clementineport.FaultMismatched, serve: refuseOther})
	for _, f := range []clementineport.Fault{
		clementineport.FaultSnapshot, clementineport.FaultDraining, clementineport.FaultShed, clementineport.FaultCold,
	} {
		all = append(all, row{name: f.String(), want: f, serve: refuse(f), signals: true})
	}
	plain := func(name string, want, http2 clementineport.Fault, serve func(w http.ResponseWriter)) {
		write := func(w http.ResponseWriter, _ *cphttp.SearchRequest) { serve(w) }
		all = append(all, row{name: name, want: want, http2: http2, serve: write})
	}
	plain("malformed body", clementineport.FaultMalformed, 0, func(w http.ResponseWriter) { fmt.Fprint(w, "<html>") })
	plain("oversized", clementineport.FaultOversized, 0, func(w http.ResponseWriter) { fmt.Fprint(w, large) })
	plain("oversized header", clementineport.FaultOversized, clementineport.FaultReset,
		func(w http.ResponseWriter) { w.Header().Set("X", large) })
	plain("internal", clementineport.FaultInternal, 0, func(w http.ResponseWriter) { w.WriteHeader(500) })
	return append(all, row{
		name: "refusal that proves nothing", want: clementineport.FaultInternal, serve: refuse(clementineport.FaultRefused),
	})
}

// TestContract runs the table of faults against every implementation of clementineport.Target.
func TestContract(t *testing.T) {
	for _, r := range rows() {
		t.Run("memory/"+r.name, func(t *testing.T) {
			m := cptarget.New()
			if r.script == nil {
				r.script = &cptarget.Step{Fault: r.want, RetryAfter: time.Second}
			}
			m.Script(*r.script)
			check(t, &r, m)
		})
		t.Run("http/"+r.name, func(t *testing.T) {
			check(t, &r, cphttp.New(cphttp.Address(r.listen(t)), cphttp.MaxResponseBytes(64<<10)))
		})
		if r.serve == nil {
			continue
		}
		t.Run("http2/"+r.name, func(t *testing.T) {
			if r.http2 != clementineport.FaultUnknown {
				r.want = r.http2
			}
			check(t, &r, cphttp.New(cphttp.Address(r.listen(t)), cphttp.MaxResponseBytes(64<<10), cphttp.HTTP2(true)))
		})
	}
}

func check(t *testing.T, r *row, target clementineport.Target) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if r.cancel {
		time.AfterFunc(short, cancel)
	}
	call := newCall(cmp.Or(r.left, long))
	reply, err := target.Search(ctx, call)
	if r.want == clementineport.FaultUnknown {
		assert.NilError(t, err)
		assert.DeepEqual(t, reply.Hits, cptarget.Hits(call.Index, call.Shard, call.Snapshot, call.Text, call.Limit))
		assert.Assert(t, reply.Signals.Start != "")
		return
	}
	e, ok := errors.AsType[*clementineport.Error](err)
	assert.Assert(t, ok, "got %v", err)
	assert.Assert(t, e.Fault == r.want || slices.Contains(r.also, e.Fault), "got %v", err)
	assert.Equal(t, e.Verdict(), e.Fault.Verdict())
	if r.signals {
		assert.Assert(t, reply != nil && reply.Signals.Start != "")
	}
	if e.Fault == clementineport.FaultShed {
		assert.Equal(t, e.RetryAfter, time.Second)
	}
	assert.NilError(t, target.Close())
}

// listen starts the server of a row and returns its address.
func (r *row) listen(t *testing.T) string {
	if r.serve != nil {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			var call cphttp.SearchRequest
			assert.Check(t, json.NewDecoder(req.Body).Decode(&call))
			assert.Check(t, call.TimeLeftMilliseconds > 0)
			r.serve(w, &call)
		}))
		srv.Config.Protocols = &http.Protocols{}
		srv.Config.Protocols.SetHTTP1(true)
		srv.Config.Protocols.SetUnencryptedHTTP2(true)
		srv.Start()
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	if r.raw == nil {
		l.Close()
		return l.Addr().String()
	}
	go serveRaw(l, r.raw)
	return l.Addr().String()
}

func serveRaw(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func hang(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func readRequest(c net.Conn) {
	if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

func answer(w http.ResponseWriter, call *cphttp.SearchRequest) {
	_ = json.NewEncoder(w).Encode(cphttp.SearchResponse{
		Request: call.Request, Shard: call.Shard, Snapshot: call.Snapshot,
		Hits:    cptarget.Hits(call.Index, call.Shard, call.Snapshot, call.Text, call.Limit),
		Signals: clementineport.Signals{Start: "a"},
	})
}

func after(d time.Duration) func(http.ResponseWriter, *cphttp.SearchRequest) {
	return func(w http.ResponseWriter, call *cphttp.SearchRequest) { time.Sleep(d); answer(w, call) }
}

func changed(
	change func(*cphttp.SearchRequest), serve func(http.ResponseWriter, *cphttp.SearchRequest),
) func(http.ResponseWriter, *cphttp.SearchRequest) {
	return func(w http.ResponseWriter, call *cphttp.SearchRequest) { change(call); serve(w, call) }
}

func respond(text string) func(net.Conn) {
	return func(c net.Conn) { readRequest(c); fmt.Fprint(c, text); c.Close() }
}

func refuse(f clementineport.Fault) func(http.ResponseWriter, *cphttp.SearchRequest) {
	return func(w http.ResponseWriter, call *cphttp.SearchRequest) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(cphttp.Refusal{
			Request: call.Request, Shard: call.Shard, Fault: f, RetryAfterMilliseconds: 1000,
			Signals: clementineport.Signals{Start: "a"},
		})
	}
}

// TestNoReplay closes a reused connection after a request was read from it. net/http resends such a request if it
// considers it idempotent; a target client must not.
func TestNoReplay(t *testing.T) {
	var requests atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go serveRaw(l, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for n := 0; n < 2; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			requests.Add(1)
			if n == 1 {
				return
			}
			var call cphttp.SearchRequest
			_ = json.Unmarshal(body, &call)
			rec := httptest.NewRecorder()
			answer(rec, &call)
			resp := rec.Result()
			resp.ContentLength = int64(rec.Body.Len())
			_ = resp.Write(c)
		}
	})
	client := cphttp.New(cphttp.Address(l.Addr().String()))
	_, err = client.Search(t.Context(), newCall(long))
	assert.NilError(t, err)
	_, err = client.Search(t.Context(), newCall(long))
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultReset)
	assert.Equal(t, requests.Load(), int32(2))

	requests.Store(0)
	plain := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+cphttp.PathSearch, strings.NewReader("{}"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "r1")
		resp, err := plain.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	assert.Equal(t, requests.Load(), int32(3), "net/http must resend, or the test would not detect a resend")
}
