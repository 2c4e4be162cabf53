package cpreach

import (
	"context"

	"github.com/clementineport/clementineport"
)

// ConnectAny attempts to connect to targets in order, atOnce of them at a time, until one accepts a connection or as many as
// attempts have failed to. It passes over targets to which this VM may open no more connections. known is false if none could
// be attempted.
func ConnectAny(ctx context.Context, targets []clementineport.OpaqueTarget, attempts, atOnce int) (reached, known bool) {
	results := make(chan error, atOnce)
	running, failed := 0, 0
	for {
		for ; running < atOnce && running+failed < attempts && len(targets) > 0; running++ {
			target := targets[0]
			targets = targets[1:]
			go func() { results <- target.Connect(ctx) }()
		}
		if running == 0 {
			return false, failed > 0
		}
		err := <-results
		running--
		if err == nil {
			return true, true
		}
		if clementineport.FaultOf(err) != clementineport.FaultUnsent {
			failed++
		}
	}
}
