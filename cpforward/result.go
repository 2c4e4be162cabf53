package cpforward

import (
	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// Gathered is an answer merged from the responses of several shards.
type Gathered struct {
	Signatures []string
	Missing    int
	Body       []byte
}

// Result is the result of a forwarded request. Exactly one of Part, Gathered and Err is set.
type Result struct {
	// Part is the unchanged response of one target.
	Part     *clementineport.OpaqueResponse
	Gathered *Gathered
	// Err is the error of a failed request; its verdict states whether the request may have run.
	Err   *clementineport.Error
	Stats cpfanout.Stats
}
