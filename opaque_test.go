package clementineport_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
)

func TestRequestsWithTheSameContentsHaveTheSameKey(t *testing.T) {
	first := clementineport.OpaqueRequest{ID: "1", Method: "POST", Host: "a.example", URI: "/x?y=1", Body: []byte("text")}
	same := first
	same.ID, same.Host = "2", "A.example"
	assert.Equal(t, first.Key(), same.Key())
	for name, change := range map[string]func(*clementineport.OpaqueRequest){
		"method": func(r *clementineport.OpaqueRequest) { r.Method = "PUT" },
		"host":   func(r *clementineport.OpaqueRequest) { r.Host = "b.example" },
		"query":  func(r *clementineport.OpaqueRequest) { r.URI = "/x?y=2" },
		"body":   func(r *clementineport.OpaqueRequest) { r.Body = nil },
		"parts":  func(r *clementineport.OpaqueRequest) { r.URI, r.Body = "/x?y=1\ntext", nil },
	} {
		other := first
		change(&other)
		assert.Assert(t, first.Key() != other.Key(), name)
	}
	assert.Equal(t, len(first.Key().String()), 16)
}
