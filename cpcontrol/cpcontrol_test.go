package cpcontrol_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
	"github.com/clementineport/clementineport/cpcontrol"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cpview"
)

// runFleet starts eight VMs with revision 1 in force and runs a test in virtual time.
func runFleet(t *testing.T, test func(t *testing.T, f *fleet), opts ...cpcontrol.Option) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, opts...)
		f.submit(1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(f.behind(1)), 0)
		test(t, f)
	})
}

// stale reports whether the VM refuses to send new work.
func (n *node) stale() bool {
	return clementineport.FaultOf(n.MaySend()) == clementineport.FaultStale && n.MaySend() != nil
}

func TestInForceEverywhere(t *testing.T) {
	tests := []struct {
		name   string
		during func(f *fleet)
		within time.Duration
	}{
		{"undisturbed", func(*fleet) {}, time.Second},
		{"store down right after acceptance", func(f *fleet) {
			time.Sleep(20 * time.Millisecond)
			f.update(func() { f.down = true })
		}, time.Second},
		{"one VM cut off from the store", func(f *fleet) {
			f.update(func() { f.nodes["vm03"].storeUnreachable = true })
		}, time.Second},
		{"all but one VM cut off from the store", func(f *fleet) {
			f.update(func() {
				for id, n := range f.nodes {
					n.storeUnreachable = id != "vm05"
				}
			})
			time.Sleep(45 * time.Second)
		}, time.Second},
		{"one VM killed", func(f *fleet) { f.kill("vm04") }, time.Second},
		{"one VM cut off and back", func(f *fleet) {
			f.update(func() { f.nodes["vm03"].isolated = true })
			time.Sleep(30 * time.Second)
			f.update(func() { f.nodes["vm03"].isolated = false })
		}, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *fleet) {
				f.submit(2)
				tt.during(f)
				time.Sleep(tt.within)
				assert.Equal(t, len(f.behind(2)), 0, "behind: %v", f.behind(2))
				for _, n := range f.nodes {
					assert.NilError(t, n.MaySend())
				}
			})
		})
	}
}

func TestStaleVMDoesNotSend(t *testing.T) {
	tests := []struct {
		name string
		// isolate makes vm03 miss updates; an isolated VM is reconnected after the check.
		isolate func(f *fleet, n *node)
		after   time.Duration
		opts    []cpcontrol.Option
		stale   bool
	}{
		{"cut off from everything", func(f *fleet, n *node) {
			f.update(func() { n.isolated = true })
		}, 3100 * time.Millisecond, nil, true},
		{"cut off, without the check", func(f *fleet, n *node) {
			f.update(func() { n.isolated = true })
		}, 3100 * time.Millisecond, []cpcontrol.Option{cpcontrol.WithConfigSync(cpconfigsync.WithStaleAfter(time.Hour))}, false},
		{"paused", func(_ *fleet, n *node) { n.clock.ahead.Add(int64(30 * time.Second)) }, 0, nil, true},
		{"cut off from the store", func(f *fleet, n *node) { f.update(func() { n.storeUnreachable = true }) }, time.Minute, nil, false},
		{"store down", func(f *fleet, _ *node) { f.update(func() { f.down = true }) }, 3 * time.Minute, nil, false},
		{"all others killed", func(f *fleet, _ *node) {
			for _, vm := range f.vms {
				if vm.ID != "vm03" {
					f.kill(vm.ID)
				}
			}
		}, time.Minute, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *fleet) {
				n := f.nodes["vm03"]
				tt.isolate(f, n)
				time.Sleep(tt.after)
				assert.Equal(t, n.stale(), tt.stale, "%v", n.MaySend())
				f.update(func() { n.isolated = false })
				time.Sleep(2500 * time.Millisecond)
				assert.NilError(t, n.MaySend())
			}, tt.opts...)
		})
	}
}

// TestIsolatedPairDoesNotSend checks that two VMs that reach each other, but neither the store nor the other VMs,
// stop sending once a change that they have not seen was accepted elsewhere.
func TestIsolatedPairDoesNotSend(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.update(func() {
			for _, id := range []clementineport.VMID{"vm03", "vm04"} {
				f.nodes[id].storeUnreachable, f.nodes[id].partitioned = true, true
			}
		})
		f.submit(2)
		time.Sleep(10 * time.Second)
		for id, n := range f.nodes {
			assert.Equal(t, n.stale(), n.partitioned, "%s has revision %d: %v", id, n.View().Revision, n.MaySend())
		}
	})
}

// TestReturnsWithTheNewRevision checks that a VM that missed a change while it was isolated sends no new work
// after it is reconnected until it has the new revision in force.
func TestReturnsWithTheNewRevision(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		n := f.nodes["vm03"]
		f.update(func() { n.isolated, n.storeUnreachable, n.inboundBlocked = true, true, true })
		f.submit(2)
		time.Sleep(10 * time.Second)
		f.update(func() { n.isolated = false })
		for n.stale() {
			assert.Equal(t, n.View().Revision, clementineport.Revision(1))
			time.Sleep(50 * time.Microsecond)
		}
		assert.Equal(t, n.View().Revision, clementineport.Revision(2))
	})
}

func TestLowerRevisionIsRefused(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.submit(5)
		time.Sleep(2 * time.Second)
		f.submit(3)
		time.Sleep(time.Minute)
		assert.Equal(t, len(f.behind(5)), 0)
		reported := 0
		for _, n := range f.nodes {
			s, err := n.Status(t.Context())
			assert.NilError(t, err)
			if s.Lowered && s.Restored == 3 {
				reported++
			}
		}
		assert.Equal(t, reported, len(f.nodes))
		f.submit(6)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(f.behind(6)), 0)
	})
}

func TestMembersJoinAndLeave(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.kill("vm04")
		f.nodes["vm06"].Leave()
		time.Sleep(3 * time.Second)
		for id, n := range f.nodes {
			assert.Equal(t, n.View().Member("vm06").State, clementineport.MemberLeaving, "at %s", id)
		}
		time.Sleep(5 * time.Second)
		for id, n := range f.nodes {
			v := n.View()
			assert.Equal(t, v.Member("vm04").State, clementineport.MemberDead, "at %s", id)
			for target := range clementineport.TargetIndex(30) {
				owner := v.Owner(target)
				assert.Assert(t, owner.ID != "vm04" && owner.ID != "vm06" && owner.Domain == v.Table.Targets[target].Domain)
				assert.Assert(t, v.StandbyOwner(target).ID != owner.ID)
			}
			for _, e := range v.EntryList.Select(cpentrylist.Caller{}, time.Now()).Entries {
				assert.Assert(t, e.VM != "vm04" && e.VM != "vm06")
			}
		}
		f.update(func() { f.down = true })
		fresh := f.start(f.vms[4], "s2")
		other := f.start(vm(8), "s1", cpcontrol.WithSeeds("vm08:2", "vm06:2", "vm01:2"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, fresh.View().Revision, clementineport.Revision(1))
		assert.Equal(t, other.View().Revision, clementineport.Revision(1))
		time.Sleep(5 * time.Second)
		for id, n := range f.nodes {
			m := n.View().Member("vm04")
			assert.Equal(t, m.State, clementineport.MemberAlive, "at %s", id)
			assert.Equal(t, m.Start, clementineport.StartID("s2"), "at %s", id)
		}
	})
}

// TestSubmissionIsConfirmed checks that the VM that accepted a change reports within 2 s which VMs have it in force.
func TestSubmissionIsConfirmed(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		f.update(func() { f.nodes["vm02"].isolated = true })
		time.Sleep(time.Second)
		cfg := &clementineport.Config{Revision: 2, Text: []byte("2"), OutOfService: clementineport.OutOfService{VMs: []clementineport.VMID{"vm01"}}}
		n := f.nodes["vm00"]
		assert.NilError(t, n.ApplyAccepted(t.Context(), cfg))
		time.Sleep(2 * time.Second)
		s, err := n.Status(t.Context())
		assert.NilError(t, err)
		for _, r := range s.Rows {
			assert.Equal(t, r.Confirmed, r.VM.ID != "vm02", "%s", r.VM.ID)
			assert.Equal(t, r.Out, r.VM.ID == "vm01")
		}
		assert.Assert(t, f.nodes["vm01"].View().SelfOutOfService())
		assert.Assert(t, !f.nodes["vm05"].View().SelfOutOfService())
	})
}

// BenchmarkPublish measures the publication of one view with 3,900 targets.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []int{8, 770} {
		b.Run(fmt.Sprintf("VMs=%d", size), func(b *testing.B) {
			f := newFleet(b, 0)
			published := make(chan struct{}, 1)
			n := f.start(vm(0), "s", cpcontrol.WithClock(clockwork.NewFakeClock()), cpcontrol.WithCompile(compile(3900)),
				cpcontrol.WithOnView(func(*cpview.View) {
					select {
					case published <- struct{}{}:
					default:
					}
				}))
			d := &clementineport.Digest{From: clementineport.Member{VM: vm(1), Start: "s", Incarnation: 1}}
			for i := 2; i < size; i++ {
				d.Members = append(d.Members, clementineport.Member{VM: vm(i), Start: "s", Incarnation: 1})
			}
			_, err := n.Exchange(b.Context(), d)
			assert.NilError(b, err)
			assert.NilError(b, n.ApplyAccepted(b.Context(), &clementineport.Config{Revision: 1}))
			for len(n.View().Owners) == 0 || len(n.View().Members) < size-1 {
				n.SetTicket("first")
				<-published
			}
			b.ReportAllocs()
			for i := range b.N {
				n.SetTicket(fmt.Sprint(i))
				<-published
			}
		})
	}
}
