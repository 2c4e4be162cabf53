package cpratelimit_test

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// TestScale measures the calls, memory and processor time of 770 VMs with 2,000 workspaces. It asserts nothing: its figures are in
// docs/CAPACITY.md. QUOTA_SCALE is the number of requests a second of all VMs.
func TestScale(t *testing.T) {
	var perSecond float64
	if _, err := fmt.Sscan(os.Getenv("QUOTA_SCALE"), &perSecond); err != nil {
		t.Skip("QUOTA_SCALE is not set")
	}
	const workspaces, duration = 2000, 5 * time.Second
	quotas := cpquotas.Quotas{}
	for i := range workspaces {
		quotas[clementineport.WorkspaceID(fmt.Sprint("w", i))] = cpquotas.Quota{Rate: clementineport.RequestRate(1.6 * perSecond / workspaces), Burst: 1}
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	f := newFleet(770, 1, quotas)
	members := f.members(0)
	f.members = func(int) []clementineport.Member { return members }
	f.setViews()
	before := heap()
	f.run(30 * time.Second)
	for name, q := range quotas {
		f.load(name, float64(q.Rate)/1.6, 2*duration)
	}
	f.run(duration)
	calls, began := f.calls, time.Now()
	f.run(duration)
	calls, took := f.calls-calls, time.Since(began)
	most := 0
	for _, v := range f.vms {
		most = max(most, v.asked)
	}
	refused := 0
	for _, n := range f.refused {
		refused += n
	}
	n, s := float64(len(f.vms)), duration.Seconds()
	f.events, f.served = nil, nil
	t.Logf("%.0f requests a second: %.1f calls a second and VM, %.0f at the busiest coordinator, %.0f us a second and VM without the network, %.0f KB a VM, %d refused",
		perSecond, float64(calls)/n/s, float64(most)/(2*s), float64(took.Microseconds())/n/s, (heap()-before)/n/1024, refused)
	runtime.KeepAlive(f)
}
