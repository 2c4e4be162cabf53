package cpdeadline_test

import (
	"fmt"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdeadline"
)

func ExamplePolicy_Times() {
	p := cpdeadline.New()
	t := p.Times(time.Second)
	fmt.Println(t.Wait, t.Closing(clementineport.PreferTail, true), t.Closing(clementineport.PreferTail, false),
		t.Closing(clementineport.PreferCoverage, true))
	// Output: 250ms 500ms 980ms 980ms
}
