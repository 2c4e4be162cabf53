package cpforward

import (
	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpmerge"
)

// gather merges the responses of several shards into one answer.
func gather(parts []*clementineport.OpaqueResponse, missing, top int) *clementineport.GatheredResponse {
	g := &clementineport.GatheredResponse{Missing: missing, Signatures: make([]string, len(parts))}
	bodies := make([][]byte, len(parts))
	for i, p := range parts {
		g.Signatures[i] = p.Signature
		bodies[i] = p.Body
	}
	g.Body = cpmerge.TopRecords(bodies, top)
	return g
}
