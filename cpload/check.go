package cpload

import (
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
)

// CheckAnswer returns an error if an answer is inconsistent. Each shard must be listed exactly once, as covered or as
// missing, Complete must be set if and only if no shard is missing, and hits must have a snapshot, keep to the limit
// and be sorted by descending score.
func CheckAnswer(q *clementineport.Query, a *clementineport.Answer) error {
	listed := make(map[clementineport.ShardID]bool, a.Shards)
	for _, shard := range a.Covered {
		if listed[shard] {
			return errs.New("shard %d is listed twice", shard)
		}
		listed[shard] = true
	}
	for _, m := range a.Missing {
		if listed[m.Shard] {
			return errs.New("shard %d is listed twice", m.Shard)
		}
		if m.State.Covered() {
			return errs.New("shard %d is listed as missing in state %s", m.Shard, m.State)
		}
		listed[m.Shard] = true
	}
	switch {
	case len(listed) != a.Shards:
		return errs.New("%d of %d shards are listed", len(listed), a.Shards)
	case a.Complete != (len(a.Missing) == 0):
		return errs.New("Complete is %t with %d missing shards", a.Complete, len(a.Missing))
	case len(a.Hits) > 0 && a.Snapshot.IsZero():
		return errs.New("answer has hits without a snapshot")
	case q.Limit > 0 && len(a.Hits) > q.Limit:
		return errs.New("%d hits exceed the limit of %d", len(a.Hits), q.Limit)
	}
	for i := 1; i < len(a.Hits); i++ {
		if a.Hits[i].Score > a.Hits[i-1].Score {
			return errs.New("hit %d has a higher score than hit %d", i, i-1)
		}
	}
	return nil
}
