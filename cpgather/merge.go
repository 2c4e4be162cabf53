package cpgather

import (
	"cmp"
	"slices"
	"sort"

	"github.com/clementineport/clementineport"
)

// merger keeps the best hits in order, by score and then by record; without a limit it keeps all.
type merger struct {
	limit int
	hits  []clementineport.Hit
}

func compareHits(a, b *clementineport.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Record, b.Record), cmp.Compare(a.Fields, b.Fields))
}

// reset drops all hits and keeps the buffer.
func (g *merger) reset() {
	clear(g.hits)
	g.hits = g.hits[:0]
}

func (g *merger) add(hits []clementineport.Hit) {
	if g.limit <= 0 {
		g.hits = append(g.hits, hits...)
		return
	}
	for i := range hits {
		g.insert(&hits[i])
	}
}

func (g *merger) insert(h *clementineport.Hit) {
	n := len(g.hits)
	if n == g.limit {
		if compareHits(h, &g.hits[n-1]) >= 0 {
			return
		}
		g.hits = g.hits[:n-1]
	}
	at := sort.Search(len(g.hits), func(k int) bool { return compareHits(h, &g.hits[k]) < 0 })
	g.hits = slices.Insert(g.hits, at, *h)
}

// result returns the hits in a slice of their own.
func (g *merger) result() []clementineport.Hit {
	if g.limit <= 0 {
		slices.SortFunc(g.hits, func(a, b clementineport.Hit) int { return compareHits(&a, &b) })
	}
	return slices.Clone(g.hits)
}
