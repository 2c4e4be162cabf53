package cptarget_test

import (
	"bufio"
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

// row is one fault of the target port: how each implementation is made to show it, and what it proves.
type row struct {
	name   string
	script cptarget.Step
	// serve answers one request over HTTP; reading the body counts as running it.
	serve func(w http.ResponseWriter, call *cphttp.SearchRequest)
	// raw serves a whole connection instead.
	raw     func(c net.Conn)
	cancel  bool
	left    time.Duration
	want    []clementineport.Fault
	signals bool
}

const (
	long  = 5 * time.Second
	short = 60 * time.Millisecond
)

func rows() []row {
	return []row{
		{
			name: "refused", script: cptarget.Step{Fault: clementineport.FaultRefused}, raw: nil,
			want: []clementineport.Fault{clementineport.FaultRefused},
		},
		{
			name: "reset before read", script: cptarget.Step{Fault: clementineport.FaultReset}, raw: reset,
			want: []clementineport.Fault{clementineport.FaultReset, clementineport.FaultUnsent},
		},
		{
			name: "reset after read", script: cptarget.Step{Fault: clementineport.FaultReset},
			raw:  func(c net.Conn) { readRequest(c); reset(c) },
			want: []clementineport.Fault{clementineport.FaultReset},
		},
		{
			name: "cut body", script: cptarget.Step{Fault: clementineport.FaultCut},
			raw: func(c net.Conn) {
				readRequest(c)
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"Request\":")
				c.Close()
			},
			want: []clementineport.Fault{clementineport.FaultCut},
		},
		{
			name: "hang", script: cptarget.Step{Hang: true}, left: short, raw: hang,
			want: []clementineport.Fault{clementineport.FaultTimeout},
		},
		{
			name: "canceled", script: cptarget.Step{Hang: true}, cancel: true, raw: hang,
			want: []clementineport.Fault{clementineport.FaultCanceled},
		},
		{
			name: "late", script: cptarget.Step{Delay: 2 * short}, left: short,
			serve: func(w http.ResponseWriter, call *cphttp.SearchRequest) { time.Sleep(2 * short); answer(w, call) },
			want:  []clementineport.Fault{clementineport.FaultTimeout},
		},
		{
			name: "slow", script: cptarget.Step{Delay: short},
			serve: func(w http.ResponseWriter, call *cphttp.SearchRequest) { time.Sleep(short); answer(w, call) },
		},
		{
			name: "no time left", left: -time.Second, serve: answer,
			want: []clementineport.Fault{clementineport.FaultDeadline},
		},
		{
			name: "snapshot not held", script: cptarget.Step{Fault: clementineport.FaultSnapshot},
			serve: refuse(clementineport.FaultSnapshot, http.StatusConflict), signals: true,
			want: []clementineport.Fault{clementineport.FaultSnapshot},
		},
		{
			name: "other snapshot", script: cptarget.Step{Fault: clementineport.FaultMismatched},
			serve: func(w http.ResponseWriter, call *cphttp.SearchRequest) { call.Snapshot.Version++; answer(w, call) },
			want:  []clementineport.Fault{clementineport.FaultMismatched},
		},
		{
			name: "other request", script: cptarget.Step{Fault: clementineport.FaultMismatched},
			serve: func(w http.ResponseWriter, call *cphttp.SearchRequest) { call.Request = "r2"; answer(w, call) },
			want:  []clementineport.Fault{clementineport.FaultMismatched},
		},
		{
			name: "other shard", script: cptarget.Step{Fault: clementineport.FaultMismatched},
			serve: func(w http.ResponseWriter, call *cphttp.SearchRequest) { call.Shard++; answer(w, call) },
			want:  []clementineport.Fault{clementineport.FaultMismatched},
		},
		{
			name: "refusal of another request", script: cptarget.Step{Fault: clementineport.FaultMismatched},
			serve: func(w http.ResponseWriter, call *cphttp.SearchRequest) {
				call.Request = "r2"
				refuse(clementineport.FaultShed, http.StatusServiceUnavailable)(w, call)
			},
			want: []clementineport.Fault{clementineport.FaultMismatched},
		},
		{
			name: "malformed body", script: cptarget.Step{Fault: clementineport.FaultMalformed},
			serve: func(w http.ResponseWriter, _ *cphttp.SearchRequest) { fmt.Fprint(w, "<html>") },
			want:  []clementineport.Fault{clementineport.FaultMalformed},
		},
		{
			name: "malformed header", script: cptarget.Step{Fault: clementineport.FaultMalformed},
			raw:  func(c net.Conn) { readRequest(c); fmt.Fprint(c, "what?\r\n\r\n"); c.Close() },
			want: []clementineport.Fault{clementineport.FaultMalformed},
		},
		{
			name: "oversized", script: cptarget.Step{Fault: clementineport.FaultOversized},
			serve: func(w http.ResponseWriter, _ *cphttp.SearchRequest) { fmt.Fprint(w, strings.Repeat("x", 70<<10)) },
			want:  []clementineport.Fault{clementineport.FaultOversized},
		},
		{
			name: "oversized header", script: cptarget.Step{Fault: clementineport.FaultOversized},
			serve: func(w http.ResponseWriter, _ *cphttp.SearchRequest) { w.Header().Set("X", strings.Repeat("x", 70<<10)) },
			want:  []clementineport.Fault{clementineport.FaultOversized},
		},
		{
			name: "internal", script: cptarget.Step{Fault: clementineport.FaultInternal},
			serve: func(w http.ResponseWriter, _ *cphttp.SearchRequest) { w.WriteHeader(http.StatusInternalServerError) },
			want:  []clementineport.Fault{clementineport.FaultInternal},
		},
		{
			name: "refusal that proves nothing", script: cptarget.Step{Fault: clementineport.FaultInternal},
			serve: refuse(clementineport.FaultRefused, http.StatusServiceUnavailable),
			want:  []clementineport.Fault{clementineport.FaultInternal},
		},
		{
			name: "draining", script: cptarget.Step{Fault: clementineport.FaultDraining}, signals: true,
			serve: refuse(clementineport.FaultDraining, http.StatusServiceUnavailable),
			want:  []clementineport.Fault{clementineport.FaultDraining},
		},
		{
			name: "shed", script: cptarget.Step{Fault: clementineport.FaultShed, RetryAfter: time.Second}, signals: true,
			serve: refuse(clementineport.FaultShed, http.StatusServiceUnavailable),
			want:  []clementineport.Fault{clementineport.FaultShed},
		},
		{
			name: "cold", script: cptarget.Step{Fault: clementineport.FaultCold}, signals: true,
			serve: refuse(clementineport.FaultCold, http.StatusServiceUnavailable),
			want:  []clementineport.Fault{clementineport.FaultCold},
		},
	}
}

// TestContract runs the table of faults against every implementation of the target port.
func TestContract(t *testing.T) {
	for _, r := range rows() {
		t.Run("memory/"+r.name, func(t *testing.T) {
			m := cptarget.New()
			m.Script(r.script)
			check(t, &r, m)
		})
		t.Run("http/"+r.name, func(t *testing.T) {
			client := cphttp.New(cphttp.Address(r.listen(t)), cphttp.MaxResponseBytes(64<<10))
			check(t, &r, client)
		})
	}
}

func check(t *testing.T, r *row, target clementineport.Target) {
	t.Helper()
	left := r.left
	if left == 0 {
		left = long
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if r.cancel {
		time.AfterFunc(short, cancel)
	}
	call := newCall(left)
	reply, err := target.Search(ctx, call)
	if len(r.want) == 0 {
		assert.NilError(t, err)
		assert.DeepEqual(t, reply.Hits, cptarget.Hits(call.Index, call.Shard, call.Snapshot, call.Text, call.Limit))
		assert.Assert(t, reply.Signals.Start != "")
		return
	}
	e, ok := errors.AsType[*clementineport.Error](err)
	assert.Assert(t, ok, "got %v", err)
	assert.Assert(t, slices.Contains(r.want, e.Fault), "got %v", err)
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
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			var call cphttp.SearchRequest
			assert.Check(t, json.NewDecoder(req.Body).Decode(&call))
			assert.Check(t, call.TimeLeftMilliseconds > 0)
			r.serve(w, &call)
		}))
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

func refuse(f clementineport.Fault, status int) func(http.ResponseWriter, *cphttp.SearchRequest) {
	return func(w http.ResponseWriter, call *cphttp.SearchRequest) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(cphttp.Refusal{
			Request: call.Request, Shard: call.Shard, Fault: f, RetryAfterMilliseconds: 1000,
			Signals: clementineport.Signals{Start: "a"},
		})
	}
}

// TestNoReplay closes a reused connection after a request was read on it. The plain client of net/http
// sends such a request again when it may; the target port must not.
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
	assert.Equal(t, requests.Load(), int32(3), "net/http replays, so the server of this test would show it")
}
