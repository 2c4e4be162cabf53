package cptarget

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// maxHits is the number of records of a shard that match one text.
const maxHits = 20

// Hits returns the hits of a fake target for a text. They depend only on the arguments, and each record names its
// shard and snapshot.
func Hits(
	index clementineport.IndexID, shard clementineport.ShardID, s clementineport.Snapshot, text string, limit int,
) []clementineport.Hit {
	n := min(limit, maxHits)
	if n <= 0 {
		return nil
	}
	hits := make([]clementineport.Hit, n)
	seed := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d/%s", index, shard, s.Version, s.Layout, text))
	for i := range hits {
		hits[i] = clementineport.Hit{
			Record: fmt.Sprintf("%s/v%d/l%d/s%d/%016x-%d", index, s.Version, s.Layout, shard, seed, i),
			Score:  float64(seed>>40)/float64(1<<24) + float64(n-i),
		}
	}
	return hits
}
