package clementineport_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

func ExampleSleep() {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	slept := make(chan bool)
	sleep := func(d time.Duration) { slept <- clementineport.Sleep(ctx, clock, d) }

	go sleep(time.Minute)
	_ = clock.BlockUntilContext(ctx, 1) // fails only if ctx ends
	clock.Advance(time.Minute)
	fmt.Println("the time has passed:", <-slept)

	go sleep(time.Minute)
	cancel()
	fmt.Println("the time has passed:", <-slept)

	go sleep(0)
	fmt.Println("the time has passed:", <-slept)
	// Output:
	// the time has passed: true
	// the time has passed: false
	// the time has passed: false
}
