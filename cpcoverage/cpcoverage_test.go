package cpcoverage_test

import (
	"fmt"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcoverage"
)

func ExampleTally() {
	var t cpcoverage.Tally
	t.Reset(&clementineport.Service{LeastCoverage: 1, BelowLeast: clementineport.BelowRefuse}, 3)
	t.MarkCovered(0, 2)
	t.MarkCovered(1, 0)
	t.SetFault(2, clementineport.FaultCut)
	t.Abandon(2, true)
	var a clementineport.Answer
	t.Fill(&a)
	fmt.Println(a.Covered, a.Missing[0].State, t.Refused(), t.Reason())
	// Output: [0 1] cut true 2 of 3 shards are covered and 3 are needed
}
