package cphedge_test

import (
	"fmt"
	"time"

	"github.com/clementineport/clementineport/cphedge"
)

func ExamplePolicy() {
	p := cphedge.New(nil)
	fmt.Println(p.TailSize(1100), p.Delay(8*time.Millisecond, false), p.Delay(8*time.Millisecond, true))
	// Output: 34 16ms 10ms
}
