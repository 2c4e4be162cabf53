package cpconfigsync_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
)

// membersOf returns eight members; alive and leaving report which are alive and which have announced that they are
// leaving.
func membersOf(alive, leaving func(n int) bool) []clementineport.Member {
	var members []clementineport.Member
	for n := range 8 {
		m := clementineport.Member{VM: clementineport.VM{ID: clementineport.VMID(fmt.Sprintf("vm%d", n)), Domain: "a"}}
		m.State, m.Leaving = clementineport.MemberDead, leaving(n)
		if alive(n) {
			m.State = clementineport.MemberAlive
		}
		members = append(members, m)
	}
	return members
}

func TestAVMThatReachesTooFewOfTheOthersIsInAMinority(t *testing.T) {
	all, none := func(int) bool { return true }, func(int) bool { return false }
	for name, row := range map[string]struct {
		alive, leaving func(int) bool
		minority       bool
	}{
		"all":                                 {all, none, false},
		"most":                                {func(n int) bool { return n < 5 }, none, false},
		"a pair":                              {func(n int) bool { return n < 2 }, none, true},
		"the half with the lowest id":         {func(n int) bool { return n < 4 }, none, false},
		"the other half":                      {func(n int) bool { return n >= 4 }, none, true},
		"a pair, and the others have left":    {func(n int) bool { return n < 2 }, func(n int) bool { return n >= 2 }, false},
		"a pair, and some others are leaving": {func(n int) bool { return n < 2 }, func(n int) bool { return n >= 6 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := cpconfigsync.New("vm0")
			s.SetMembers(membersOf(all, none), 8)
			s.HandleStored(now, cpconfigsync.Action{Kind: cpconfigsync.KindRead, Began: now}, 1, 1)
			s.SetMembers(membersOf(row.alive, row.leaving), 8)
			s.Tick(now.Add(time.Second))
			_, minority := s.Minority()
			assert.Equal(t, minority, row.minority)
		})
	}
}

func TestAVMThatTheStoreAnswersIsInNoMinority(t *testing.T) {
	now := time.Unix(1000, 0)
	s := cpconfigsync.New("vm0")
	s.SetMembers(membersOf(func(int) bool { return true }, func(int) bool { return false }), 8)
	s.HandleStored(now, cpconfigsync.Action{Kind: cpconfigsync.KindRead, Began: now}, 1, 1)
	s.SetMembers(membersOf(func(n int) bool { return n < 1 }, func(int) bool { return false }), 8)
	s.Tick(now.Add(time.Second))
	_, minority := s.Minority()
	assert.Assert(t, minority)
	now = now.Add(2 * time.Second)
	s.HandleStored(now, cpconfigsync.Action{Kind: cpconfigsync.KindRead, Began: now}, 1, 1)
	s.Tick(now)
	_, minority = s.Minority()
	assert.Assert(t, !minority)
}
