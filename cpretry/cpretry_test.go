package cpretry_test

import (
	"fmt"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpretry"
)

func ExamplePolicy() {
	p := cpretry.New(nil)
	for _, fault := range []clementineport.Fault{
		clementineport.FaultDraining, clementineport.FaultShed, clementineport.FaultReset, clementineport.FaultInvalid,
	} {
		fmt.Println(fault, p.Allows(fault, 0), p.Spend(fault), p.Delay(2, 0))
	}
	// Output:
	// draining true true 20ms
	// shed true false 20ms
	// reset true false 20ms
	// invalid false true 20ms
}
