package cpgather

import (
	"cmp"
	"slices"

	"github.com/clementineport/clementineport"
)

// pruneSlack is the number of hits kept beyond twice the limit before the worst are dropped.
const pruneSlack = 64

// merger keeps the best hits, by score and then by record.
type merger struct {
	limit int
	hits  []clementineport.Hit
	// worst is the worst hit that can still be among the best, once full is true.
	worst clementineport.Hit
	full  bool
}

func compareHits(a, b clementineport.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Record, b.Record), cmp.Compare(a.Fields, b.Fields))
}

func (g *merger) reset() {
	g.hits = g.hits[:0]
	g.full = false
}

func (g *merger) add(hits []clementineport.Hit) {
	for i := range hits {
		if g.full && compareHits(hits[i], g.worst) >= 0 {
			continue
		}
		g.hits = append(g.hits, hits[i])
	}
	if g.limit > 0 && len(g.hits) > 2*g.limit+pruneSlack {
		g.prune()
	}
}

func (g *merger) prune() {
	slices.SortFunc(g.hits, compareHits)
	if g.limit > 0 && len(g.hits) >= g.limit {
		g.hits = g.hits[:g.limit]
		g.worst, g.full = g.hits[g.limit-1], true
	}
}

func (g *merger) result() []clementineport.Hit {
	g.prune()
	return slices.Clone(g.hits)
}
