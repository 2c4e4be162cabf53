package cpforward

import (
	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// Gathered is an answer made of the parts of many shards.
type Gathered struct {
	Signatures []string
	Missing    int
	Body       []byte
}

// Result is the final answer to a request. Exactly one of Part, Gathered and Err is set.
type Result struct {
	// Part is the response of a target, returned unchanged.
	Part     *clementineport.OpaqueResponse
	Gathered *Gathered
	// Err is an *Error; its verdict says whether the request may have run.
	Err   *clementineport.Error
	Stats cpfanout.Stats
}
