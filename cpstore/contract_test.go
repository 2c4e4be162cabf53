package cpstore_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpstore"
	"github.com/clementineport/clementineport/cpstore/cphttpstore"
	"github.com/clementineport/clementineport/cpstore/cpstoreserver"
)

// fixture is an implementation of Store and Directory, together with the in-memory ones behind it.
type fixture struct {
	store           clementineport.Store
	directory       clementineport.Directory
	memoryStore     *cpstore.Store
	memoryDirectory *cpstore.Directory
	// refuse makes all later calls fail with a refused connection.
	refuse func()
}

// implementations maps the name of each implementation to a function that returns a new fixture.
var implementations = map[string]func(*testing.T, ...cpstore.Option) *fixture{
	"memory": func(_ *testing.T, opts ...cpstore.Option) *fixture {
		f := &fixture{memoryStore: cpstore.New(opts...), memoryDirectory: cpstore.NewDirectory(opts...)}
		f.store, f.directory = f.memoryStore, f.memoryDirectory
		f.refuse = func() {
			f.memoryStore.Script.Add(cpstore.Failure{Mode: cpstore.ModeRefuse})
			f.memoryDirectory.Script.Add(cpstore.Failure{Mode: cpstore.ModeRefuse})
		}
		return f
	},
	"http": func(t *testing.T, opts ...cpstore.Option) *fixture {
		f := &fixture{memoryStore: cpstore.New(opts...), memoryDirectory: cpstore.NewDirectory(opts...)}
		server := httptest.NewServer(cpstoreserver.New(f.memoryStore, f.memoryDirectory))
		t.Cleanup(server.Close)
		client := cphttpstore.New(cphttpstore.WithAddresses(server.Listener.Addr().String()), cphttpstore.WithTimeout(time.Minute))
		t.Cleanup(func() { assert.Check(t, client.Close()) })
		f.store, f.directory = client, client
		f.refuse = server.Close
		return f
	},
}

const key = "a/b c?d"

func eachImplementation(t *testing.T, run func(t *testing.T, open func(*testing.T, ...cpstore.Option) *fixture)) {
	for name, open := range implementations {
		t.Run(name, func(t *testing.T) { run(t, open) })
	}
}

func TestContract(t *testing.T) {
	eachImplementation(t, func(t *testing.T, open func(*testing.T, ...cpstore.Option) *fixture) {
		ctx := context.Background()
		clock := clockwork.NewFakeClock()
		f := open(t, cpstore.WithClock(clock), cpstore.WithMaxValueBytes(100), cpstore.WithLag(2*time.Second))

		item, err := f.store.Get(ctx, key)
		assert.NilError(t, err)
		assert.Equal(t, item.Version, uint64(0))
		first, err := f.store.CompareAndSwap(ctx, key, 0, []byte("one"))
		assert.NilError(t, err)
		_, err = f.store.CompareAndSwap(ctx, key, 0, []byte("two"))
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultConflict)
		second, err := f.store.CompareAndSwap(ctx, key, first, []byte("two"))
		assert.NilError(t, err)
		assert.Assert(t, second != first)
		item, err = f.store.Get(ctx, key)
		assert.NilError(t, err)
		assert.DeepEqual(t, item, clementineport.Item{Value: []byte("two"), Version: second})
		_, err = f.store.CompareAndSwap(ctx, key, second, make([]byte, 101))
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultInvalid)

		item, err = f.store.Watch(ctx, key, first, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, item.Version, second, "a watch must return immediately if the version differs")
		watched := make(chan clementineport.Item, 1)
		watch := func() {
			item, err := f.store.Watch(ctx, key, second, time.Minute)
			assert.Check(t, err)
			watched <- item
		}
		go watch()
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(time.Minute)
		assert.Equal(t, (<-watched).Version, second, "a watch must return the unchanged item when its wait expires")
		go watch()
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		third, err := f.store.CompareAndSwap(ctx, key, second, []byte("three"))
		assert.NilError(t, err)
		assert.Equal(t, (<-watched).Version, third)
		image := f.memoryStore.Save()
		f.memoryStore.Restore(image)
		item, err = f.store.Get(ctx, key)
		assert.NilError(t, err)
		assert.Assert(t, item.Version > third, "a restore must not reuse a version")

		lease, err := f.store.Acquire(ctx, key, "ann", time.Second)
		assert.NilError(t, err)
		assert.Assert(t, lease.Expires.Equal(clock.Now().Add(time.Second)))
		_, err = f.store.Acquire(ctx, key, "bob", time.Second)
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultConflict)
		clock.Advance(time.Second)
		lease, err = f.store.Acquire(ctx, key, "bob", time.Second)
		assert.NilError(t, err)
		assert.Equal(t, lease.Holder, "bob")

		vm := clementineport.VM{ID: "vm", Domain: "a", Caller: "127.0.0.1:1", Leaving: true}
		f.memoryDirectory.Put(vm)
		vms, err := f.directory.List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(vms), 0, "a change must not be visible before the lag has passed")
		clock.Advance(2 * time.Second)
		f.memoryDirectory.Remove("vm")
		vms, err = f.directory.List(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, []clementineport.VM{vm})
	})
}

func TestRates(t *testing.T) {
	eachImplementation(t, func(t *testing.T, open func(*testing.T, ...cpstore.Option) *fixture) {
		ctx := context.Background()
		f := open(t, cpstore.WithClock(clockwork.NewFakeClock()), cpstore.WithRateLimits(1, 2))
		_, err := f.store.CompareAndSwap(ctx, key, 0, nil)
		assert.NilError(t, err)
		_, err = f.store.Acquire(ctx, key, "ann", time.Second)
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultShed, "a lease counts as a write")
		_, err = f.store.Watch(ctx, key, 0, time.Second)
		assert.NilError(t, err)
		_, err = f.store.Get(ctx, key)
		assert.NilError(t, err)
		_, err = f.store.Get(ctx, key)
		var e *clementineport.Error
		assert.Assert(t, clementineport.FaultOf(err) == clementineport.FaultShed, "a watch counts as a read")
		assert.Assert(t, asError(err, &e) && e.RetryAfter > 0)
		assert.Equal(t, f.memoryStore.Counts()["get"], int64(2))
	})
}

func asError(err error, e **clementineport.Error) bool {
	found, ok := err.(*clementineport.Error)
	*e = found
	return ok
}

// faults lists the fault that each mode must cause and whether a write must take effect nonetheless.
var faults = []struct {
	mode    cpstore.Mode
	fault   clementineport.Fault
	applied bool
	hangs   bool
}{
	{cpstore.ModeNone, 0, true, false},
	{cpstore.ModeSlow, 0, true, false},
	{cpstore.ModeDown, clementineport.FaultUnavailable, false, false},
	{cpstore.ModeRefuse, clementineport.FaultRefused, false, false},
	{cpstore.ModeResetBefore, clementineport.FaultReset, false, false},
	{cpstore.ModeLoseReply, clementineport.FaultReset, true, false},
	{cpstore.ModeCut, clementineport.FaultCut, true, false},
	{cpstore.ModeMalformed, clementineport.FaultMalformed, true, false},
	{cpstore.ModeOversized, clementineport.FaultOversized, true, false},
	{cpstore.ModeHang, clementineport.FaultTimeout, false, true},
	{cpstore.ModeHangAfter, clementineport.FaultTimeout, true, true},
}

func TestFaults(t *testing.T) {
	calls := map[cpstore.Op]func(context.Context, *fixture) error{
		cpstore.OpGet: func(ctx context.Context, f *fixture) error {
			_, err := f.store.Get(ctx, key)
			return err
		},
		cpstore.OpWatch: func(ctx context.Context, f *fixture) error {
			_, err := f.store.Watch(ctx, key, 1, time.Second)
			return err
		},
		cpstore.OpCompareAndSwap: func(ctx context.Context, f *fixture) error {
			_, err := f.store.CompareAndSwap(ctx, key, 0, []byte("value"))
			return err
		},
		cpstore.OpLease: func(ctx context.Context, f *fixture) error {
			_, err := f.store.Acquire(ctx, key, "ann", time.Second)
			return err
		},
		cpstore.OpList: func(ctx context.Context, f *fixture) error {
			_, err := f.directory.List(ctx)
			return err
		},
	}
	eachImplementation(t, func(t *testing.T, open func(*testing.T, ...cpstore.Option) *fixture) {
		for _, row := range faults {
			for op, call := range calls {
				t.Run(row.mode.String()+"/"+op.String(), func(t *testing.T) {
					f := open(t)
					ctx := context.Background()
					if row.hangs {
						var cancel context.CancelFunc
						ctx, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
						defer cancel()
					}
					if row.mode == cpstore.ModeRefuse {
						f.refuse()
					} else {
						failure := cpstore.Failure{Mode: row.mode, Delay: time.Millisecond}
						f.memoryStore.Script.Add(failure)
						f.memoryDirectory.Script.Add(failure)
					}
					err := call(ctx, f)
					assert.Equal(t, clementineport.FaultOf(err), row.fault, "%v", err)
					assert.Equal(t, err == nil, row.fault == 0)
					item, getErr := f.memoryStore.Unscripted().Get(context.Background(), key)
					assert.NilError(t, getErr)
					applied := item.Version > 0
					if op == cpstore.OpCompareAndSwap {
						assert.Equal(t, applied, row.applied)
						assert.Assert(t, !applied || clementineport.VerdictOf(err) != clementineport.NotRun)
						assert.Assert(t, f.memoryStore.Counts()["compare-and-swap"] <= 1, "a write must not be retried")
					}
				})
			}
		}
	})
}

func TestSeveralAddresses(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	memory := cpstore.New()
	server := httptest.NewServer(cpstoreserver.New(memory, cpstore.NewDirectory()))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := cphttpstore.New(cphttpstore.WithAddresses(closed.Listener.Addr().String(), address, address))
	defer func() { assert.Check(t, client.Close()) }()
	ctx := context.Background()
	memory.Script.Add(cpstore.Failure{Mode: cpstore.ModeLoseReply, Calls: 1, WritesOnly: true})
	_, err := client.CompareAndSwap(ctx, key, 0, []byte("value"))
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultReset, "a write that may have run must not be retried at another address")
	memory.Script.Add(cpstore.Failure{Mode: cpstore.ModeMalformed, Calls: 1})
	_, err = client.Get(ctx, key)
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultMalformed)
	memory.Script.Add(cpstore.Failure{Mode: cpstore.ModeResetBefore, Calls: 1})
	item, err := client.Get(ctx, key)
	assert.NilError(t, err, "a read must be retried at another address")
	assert.Equal(t, string(item.Value), "value")
}

func TestAdministration(t *testing.T) {
	memory := cpstore.New()
	server := httptest.NewServer(cpstoreserver.New(memory, cpstore.NewDirectory()))
	defer server.Close()
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/admin/faults", `{"Mode":"down","Calls":1}`, 204},
		{"GET", "/v1/keys/x", "", 503},
		{"GET", "/v1/keys/x", "", 200},
		{"POST", "/admin/faults", `{"Mode":"odd"}`, 400},
		{"POST", "/admin/faults", `{"Mode":"slow","Delay":"1"}`, 400},
		{"PUT", "/v1/keys/x?expected=no", "value", 400},
		{"GET", "/v1/keys/x?wait=1h&seen=0", "", 400},
		{"POST", "/admin/save", "", 204},
		{"PUT", "/v1/keys/x?expected=0", "value", 200},
		{"POST", "/admin/restore", "", 204},
		{"PUT", "/v1/keys/x?expected=0", "value", 200},
		{"PUT", "/admin/vms", `[{"ID":"vm"}]`, 204},
		{"DELETE", "/admin/vms/vm", "", 204},
		{"DELETE", "/admin/faults", "", 204},
		{"GET", "/admin/counters", "", 200},
	} {
		w := httptest.NewRecorder()
		server.Config.Handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		assert.Equal(t, w.Code, c.status, "%s %s: %s", c.method, c.path, w.Body)
	}
	assert.Equal(t, memory.Counts()["compare-and-swap"], int64(2))
}
