package cpmembership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpmembership"
)

const firstStart clementineport.StartID = "0123456789abcdef"

// faults are the ways in which a VM fails, and the times within which the others must detect each.
var faults = []struct {
	name          string
	cause         func(n *node)
	suspect, dead time.Duration
}{
	{"killed", func(n *node) { n.killed = true }, 2500 * time.Millisecond, 8 * time.Second},
	{"frozen", func(n *node) { n.paused = true }, 3 * time.Second, 8 * time.Second},
	{"half-cut in", func(n *node) { n.blockIn = true }, 3 * time.Second, 8 * time.Second},
	{"half-cut out", func(n *node) { n.blockOut = true }, 6 * time.Second, 16 * time.Second},
}

// falselyDead returns the VMs other than victim that any VM other than victim has considered dead.
func (f *fleet) falselyDead(victim *node) []clementineport.VMID {
	dead := map[clementineport.VMID]bool{}
	for _, n := range f.nodes {
		for id := range n.firstSeen[clementineport.MemberDead] {
			dead[id] = dead[id] || n != victim && id != victim.vm.ID
		}
	}
	maps.DeleteFunc(dead, func(_ clementineport.VMID, d bool) bool { return !d })
	return slices.Sorted(maps.Keys(dead))
}

// viewsWith returns how many VMs other than n have n in state s with the start id.
func (f *fleet) viewsWith(n *node, s clementineport.MemberState, start clementineport.StartID) int {
	count := 0
	for _, other := range f.nodes {
		for _, m := range other.Members() {
			if other != n && m.ID == n.vm.ID && m.State == s && m.Start == start {
				count++
			}
		}
	}
	return count
}

func TestNotice(t *testing.T) {
	for _, fault := range faults {
		for _, size := range []int{3, 8, 32} {
			t.Run(fmt.Sprintf("%s/VMs=%d", fault.name, size), func(t *testing.T) {
				f := newFleet(size, 3)
				victim := f.nodes[size/2]
				from := f.now
				fault.cause(victim)
				f.run(40 * time.Second)
				suspect, _, _ := f.detection(victim.vm.ID, from, clementineport.MemberSuspect)
				_, dead, count := f.detection(victim.vm.ID, from, clementineport.MemberDead)
				assert.Equal(t, count, size-1)
				assert.Assert(t, suspect <= fault.suspect, "suspect after %v", suspect)
				assert.Assert(t, dead <= fault.dead, "dead everywhere after %v", dead)
				assert.Equal(t, len(f.falselyDead(victim)), 0, "wrongly dead: %v", f.falselyDead(victim))
			})
		}
	}
}

func TestMechanisms(t *testing.T) {
	tests := []struct {
		name    string
		disable cpmembership.Option
		size    int
		// holds runs a case and reports whether the guarantee held.
		holds func(f *fleet) bool
	}{
		{
			"a VM that only one other can't reach is cleared within a second", cpmembership.WithSuspectProbers(0), 60,
			func(f *fleet) bool {
				victim := f.nodes[2]
				f.nodes[1].blockTo = victim.vm.ID
				suspect := time.Duration(0)
				for range 600 {
					f.run(100 * time.Millisecond)
					if f.viewsWith(victim, clementineport.MemberSuspect, firstStart) > 1 {
						suspect += 100 * time.Millisecond
					}
				}
				return suspect <= 2*time.Second && len(f.falselyDead(f.nodes[1])) == 0
			},
		},
		{
			"a VM that calls but can't be reached is dead", cpmembership.WithSkipCallerProbe(true), 12,
			func(f *fleet) bool {
				f.nodes[2].blockIn = true
				f.run(20 * time.Second)
				return f.viewsWith(f.nodes[2], clementineport.MemberDead, firstStart) == len(f.nodes)-1
			},
		},
		{
			"a VM that is starved suspects nobody", cpmembership.WithMaxHealthScore(0), 12,
			func(f *fleet) bool {
				stalled := f.nodes[3]
				for range 150 {
					stalled.paused = true
					f.run(1200 * time.Millisecond)
					f.resume(stalled)
					f.run(500 * time.Microsecond)
				}
				delete(stalled.firstSeen[clementineport.MemberSuspect], stalled.vm.ID)
				return len(stalled.firstSeen[clementineport.MemberSuspect]) == 0
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, tt.holds(newFleet(tt.size, 7)))
			assert.Assert(t, !tt.holds(newFleet(tt.size, 7, tt.disable)), "the guarantee holds without the mechanism too")
		})
	}
}

func TestReturn(t *testing.T) {
	tests := []struct {
		name  string
		event func(f *fleet, n *node) *node
		state clementineport.MemberState
		start clementineport.StartID
		after time.Duration
	}{
		{"killed and restarted at once", func(f *fleet, n *node) *node {
			n.killed = true
			return f.join(5, "second-start")
		}, clementineport.MemberAlive, "second-start", 10 * time.Second},
		{"killed and restarted after a minute", func(f *fleet, n *node) *node {
			n.killed = true
			f.run(time.Minute)
			return f.join(5, "second-start")
		}, clementineport.MemberAlive, "second-start", 10 * time.Second},
		{"frozen for 30 s", func(f *fleet, n *node) *node {
			n.paused = true
			f.run(30 * time.Second)
			f.resume(n)
			return n
		}, clementineport.MemberAlive, firstStart, 10 * time.Second},
		{"cut off for a minute", func(f *fleet, n *node) *node {
			n.blockIn, n.blockOut = true, true
			f.run(time.Minute)
			n.blockIn, n.blockOut = false, false
			return n
		}, clementineport.MemberAlive, firstStart, 20 * time.Second},
		{"leaving", func(_ *fleet, n *node) *node {
			n.Leave()
			return n
		}, clementineport.MemberLeaving, firstStart, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(24, 5)
			n := tt.event(f, f.nodes[5])
			f.run(tt.after)
			assert.Equal(t, f.viewsWith(n, tt.state, tt.start), 23)
			assert.Equal(t, len(f.falselyDead(n)), 0, "wrongly dead: %v", f.falselyDead(n))
			alive := 0
			for _, m := range n.Members() {
				if m.State == clementineport.MemberAlive && m.ID != n.vm.ID {
					alive++
				}
			}
			assert.Equal(t, alive, 23)
		})
	}
}

func TestTicketsSpread(t *testing.T) {
	f := newFleet(8, 17)
	for _, ticket := range []string{string(firstStart) + ".99", string(firstStart) + ".100"} {
		f.nodes[2].SetTicket(ticket)
		f.run(20 * time.Second)
		for _, n := range f.nodes {
			assert.Equal(t, n.Members()[2].Ticket, ticket, "at %s", n.vm.ID)
		}
	}
}

func TestQuiet(t *testing.T) {
	f := newFleet(8, 11)
	assert.Equal(t, falseAlarms(f, 10*time.Minute), 0)
}

func TestJoinTellsAll(t *testing.T) {
	f := newFleet(50, 13)
	n := f.join(50, firstStart)
	f.run(3 * time.Second)
	assert.Equal(t, len(n.Members()), 51)
	f.run(20 * time.Second)
	for _, other := range f.nodes {
		assert.Equal(t, len(other.Members()), 51)
	}
	assert.Assert(t, f.longestDigest <= 500, "a digest took %d bytes", f.longestDigest)
}

func BenchmarkNotice(b *testing.B) {
	for _, fault := range faults {
		for _, size := range []int{8, 770} {
			b.Run(fmt.Sprintf("%s/VMs=%d", fault.name, size), func(b *testing.B) {
				var suspect, dead []float64
				last := 0.0
				for i := range b.N {
					f := newFleet(size, uint64(i+1))
					victim := f.nodes[5]
					from := f.now
					fault.cause(victim)
					f.run(40 * time.Second)
					s, _, _ := f.detection(victim.vm.ID, from, clementineport.MemberSuspect)
					d, l, count := f.detection(victim.vm.ID, from, clementineport.MemberDead)
					assert.Equal(b, count, size-1)
					suspect, dead, last = append(suspect, s.Seconds()), append(dead, d.Seconds()), max(last, l.Seconds())
				}
				slices.Sort(suspect)
				slices.Sort(dead)
				b.ReportMetric(suspect[len(suspect)/2], "s-suspect-median")
				b.ReportMetric(dead[len(dead)/2], "s-dead-median")
				b.ReportMetric(last, "s-dead-last")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkTraffic measures the control traffic in a minute in which one VM is replaced.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []int{8, 32, 128, 770} {
		b.Run(fmt.Sprintf("VMs=%d", size), func(b *testing.B) {
			for i := range b.N {
				f := newFleet(size, uint64(i+1))
				f.run(2 * time.Minute)
				f.bytes, f.total = 0, 0
				f.nodes[3].killed = true
				f.join(3, "second-start-id.")
				f.run(time.Minute)
				perNode := 1 / (time.Minute.Seconds() * float64(size))
				// Each byte counts twice: it is sent by one node and received by another.
				b.ReportMetric(2*float64(f.bytes)*perNode, "B/s/node")
				b.ReportMetric(float64(f.total)*perNode, "exchanges/s/node")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func BenchmarkQuiet(b *testing.B) {
	for _, size := range []int{8, 770} {
		b.Run(fmt.Sprintf("VMs=%d", size), func(b *testing.B) {
			count := 0
			for i := range b.N {
				count += falseAlarms(newFleet(size, uint64(i+1)), 10*time.Minute)
			}
			b.ReportMetric(float64(count)/float64(b.N), "false-alarms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// falseAlarms runs a fleet of healthy VMs under CPU load and returns how many of its VM pairs had one VM consider the
// other suspect or dead.
func falseAlarms(f *fleet, d time.Duration) int {
	f.slowShare, f.maxDelay = 0.02, 400*time.Millisecond
	f.stallShare, f.maxStall = 0.01, 600*time.Millisecond
	f.run(d)
	count := 0
	for _, n := range f.nodes {
		count += len(n.firstSeen[clementineport.MemberSuspect])
	}
	return count
}

// TestAVMPresumesThatTheListedVMsAreAliveUntilItHasHadTimeToReachThem guards against a VM that starts and takes itself for the only one, and
// against one that counts VMs that are gone for good.
func TestAVMPresumesThatTheListedVMsAreAliveUntilItHasHadTimeToReachThem(t *testing.T) {
	vm := func(id clementineport.VMID) clementineport.VM { return clementineport.VM{ID: id, Peer: string(id)} }
	ids := func(members []clementineport.Member) (ids []clementineport.VMID) {
		for _, m := range members {
			if m.State == clementineport.MemberAlive {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	now := time.Unix(1000, 0)
	leaving := vm("d")
	leaving.Leaving = true
	m := cpmembership.New(clementineport.Member{VM: vm("b"), Start: firstStart})
	m.Tick(now)
	m.SetListed(now, []clementineport.VM{vm("a"), vm("b"), vm("c"), leaving})
	assert.DeepEqual(t, ids(m.Presumed()), []clementineport.VMID{"a", "b", "c"})
	assert.DeepEqual(t, ids(m.Members()), []clementineport.VMID{"b"})
	m.HandleResponse(now, "c", now, &clementineport.Digest{From: clementineport.Member{VM: vm("c"), Start: firstStart, Incarnation: 1}})
	version := m.Version()
	end := now.Add(cpmembership.NewOptions().PresumeTime)
	m.Tick(end.Add(-1))
	assert.DeepEqual(t, ids(m.Presumed()), []clementineport.VMID{"a", "b", "c"})
	m.Tick(end)
	assert.DeepEqual(t, ids(m.Presumed()), []clementineport.VMID{"b", "c"})
	assert.Assert(t, m.Version() > version, "who asks only when something has changed learns of the end")
	m.SetListed(end, []clementineport.VM{vm("a"), vm("b"), vm("c"), vm("e")})
	assert.DeepEqual(t, ids(m.Presumed()), []clementineport.VMID{"b", "c"})
}
