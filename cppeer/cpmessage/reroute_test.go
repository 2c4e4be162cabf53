package cpmessage_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cpwire"
)

// TestAReroutedStatusMustBeThatOfAResponse guards against a status of a target that another VM has let through.
func TestAReroutedStatusMustBeThatOfAResponse(t *testing.T) {
	for status, valid := range map[int32]bool{0: false, 99: false, 100: false, 199: false, 200: true, 404: true, 599: true, 600: false, 999: false, -1: false} {
		_, err := cpmessage.DecodeRerouted(&cpwire.RerouteResponse{Response: &cpwire.OpaqueResponse{Status: status}})
		if valid {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultMalformed, "%d", status)
	}
}
