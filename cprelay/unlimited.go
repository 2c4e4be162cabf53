package cprelay

import (
	"context"

	"github.com/clementineport/clementineport"
)

// Unlimited is a Limiter without limits: every call starts immediately.
type Unlimited struct{}

// Acquire implements clementineport.Limiter.
func (Unlimited) Acquire(context.Context, *clementineport.Call) (func(*clementineport.CallResult), error) {
	return func(*clementineport.CallResult) {}, nil
}

// Load implements clementineport.Limiter.
func (Unlimited) Load(clementineport.TargetID) int { return 0 }
