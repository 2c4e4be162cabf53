package cpload

import (
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
)

// CheckAnswer reports an answer that contradicts itself: each shard must be covered or missing exactly once,
// the answer must say truly whether it is complete, and hits need a snapshot and must be in order.
func CheckAnswer(q *clementineport.Query, a *clementineport.Answer) error {
	seen := make(map[clementineport.ShardID]bool, a.Shards)
	for _, shard := range a.Covered {
		if seen[shard] {
			return errs.New("shard %d is stated twice", shard)
		}
		seen[shard] = true
	}
	for _, m := range a.Missing {
		if seen[m.Shard] {
			return errs.New("shard %d is stated twice", m.Shard)
		}
		if m.State.Covered() {
			return errs.New("shard %d is missing in state %s", m.Shard, m.State)
		}
		seen[m.Shard] = true
	}
	switch {
	case len(seen) != a.Shards:
		return errs.New("%d of %d shards are stated", len(seen), a.Shards)
	case a.Complete != (len(a.Missing) == 0):
		return errs.New("complete is %t with %d shards missing", a.Complete, len(a.Missing))
	case len(a.Hits) > 0 && a.Snapshot.IsZero():
		return errs.New("hits without a snapshot")
	case q.Limit > 0 && len(a.Hits) > q.Limit:
		return errs.New("%d hits above the limit of %d", len(a.Hits), q.Limit)
	}
	for i := 1; i < len(a.Hits); i++ {
		if a.Hits[i].Score > a.Hits[i-1].Score {
			return errs.New("hit %d scores above hit %d", i, i-1)
		}
	}
	return nil
}
