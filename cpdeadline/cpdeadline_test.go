package cpdeadline_test

import (
	"fmt"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdeadline"
)

func ExamplePolicy_Schedule() {
	p := cpdeadline.New()
	t := p.Schedule(time.Second)
	fmt.Println(t.RetryUntil, t.CloseAt(clementineport.PreferTail, true), t.CloseAt(clementineport.PreferTail, false),
		t.CloseAt(clementineport.PreferCoverage, true))
	// Output: 250ms 500ms 980ms 980ms
}
