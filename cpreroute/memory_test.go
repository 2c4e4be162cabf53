package cpreroute_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpclientlimit"
	"github.com/clementineport/clementineport/cpreroute"
)

// bodyBytes is the size of the bodies of these tests, and room that of the memory for requests.
const (
	bodyBytes = 100 << 10
	room      = 1 << 20
)

// newLimiter returns a limiter whose requests may hold a number of bytes.
func newLimiter(bytes int64) *cpclientlimit.Limiter {
	return cpclientlimit.New(cpclientlimit.WithMaxBytes(bytes), cpclientlimit.WithMaxWait(0))
}

// TestAReceiverTakesRoomForARequestAndItsCopies guards against requests of other VMs that no limit counts.
func TestAReceiverTakesRoomForARequestAndItsCopies(t *testing.T) {
	for _, bytes := range []int64{room, 2 * bodyBytes} {
		limiter := newLimiter(bytes)
		var held int64
		r := rerouted(4)
		r.Body = make([]byte, bodyBytes)
		result, forwarded := receive(t, r, cpreroute.WithNewAccount(func() (clementineport.MemoryAccount, func()) {
			account := limiter.NewAccount()
			return account, func() {
				held = limiter.Stats().Bytes
				account.Close()
			}
		}))
		if bytes == room {
			assert.Assert(t, result.Part != nil && forwarded != nil)
			assert.Assert(t, held >= 3*bodyBytes, "%d bytes", held)
		} else {
			assert.Equal(t, result.Err.Verdict(), clementineport.NotRun)
			assert.Assert(t, forwarded == nil)
		}
		assert.Equal(t, limiter.Stats().Bytes, int64(0))
	}
}

// TestASenderTakesRoomForTheCopiesOfARequest guards against copies for another VM that no limit counts.
func TestASenderTakesRoomForTheCopiesOfARequest(t *testing.T) {
	for _, bytes := range []int64{room, bodyBytes} {
		f, limiter := newFleet("a"), newLimiter(bytes)
		r := request()
		r.Body, r.Memory = make([]byte, bodyBytes), limiter.NewAccount()
		result := f.sender().Forward(t.Context(), route(true), r)
		if bytes == room {
			assert.Assert(t, result.Part != nil)
			assert.Assert(t, limiter.Stats().Bytes >= 2*bodyBytes)
		} else {
			assert.Equal(t, result.Err.Verdict(), clementineport.NotRun)
			assert.Equal(t, len(f.called), 0)
		}
	}
}
