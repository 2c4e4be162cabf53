package cpcoverage_test

import (
	"fmt"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcoverage"
)

func ExampleTally() {
	var t cpcoverage.Tally
	t.Reset(&clementineport.Service{LeastCoverage: 1, BelowLeast: clementineport.BelowRefuse}, 3)
	t.Cover(0, 2)
	t.Cover(1, 0)
	t.Fail(2, clementineport.FaultCut)
	t.GiveUp(2, true)
	var a clementineport.Answer
	t.State(&a)
	fmt.Println(a.Covered, a.Missing[0].State, t.Refused(), t.Reason())
	// Output: [0 1] cut true 2 of 3 shards are covered and 3 are needed
}
