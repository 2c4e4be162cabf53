package cpopaque_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
)

// TestAStatusThatNoResponseHas guards against a call that waits for another response after one whose status is no status, and
// against one that takes what follows on the connection as its answer.
func TestAStatusThatNoResponseHas(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		for _, follows := range []bool{false, true} {
			address, _ := target(t, func(c *connection) {
				r, _, err := c.read()
				if err != nil {
					return
				}
				id := r.Header.Get(names.Request)
				c.raw("HTTP/1.1 " + status + " Status\r\nX-Request: " + id + "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n")
				if follows {
					c.answer(id, "of another request")
				}
			})
			r := request("r")
			r.Deadline = time.Now().Add(10 * time.Second)
			_, err := do(t, client(address), r)
			assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultMalformed, "%s: %v", status, err)
			assert.Equal(t, clementineport.VerdictOf(err), clementineport.MayHaveRun)
		}
	}
}
