// Package cpmerge merges the hits of many shards into the ordered hits of one answer.
//
// It does not check whether the hits of a shard may be merged; its caller does.
package cpmerge

import (
	"cmp"
	"slices"
	"sort"

	"github.com/clementineport/clementineport"
)

// Merger keeps the best hits, ordered by descending score and then by record. Without a limit it keeps all hits.
type Merger struct {
	limit int
	hits  []clementineport.Hit
}

func compareHits(a, b *clementineport.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Record, b.Record), cmp.Compare(a.Fields, b.Fields))
}

// SetLimit sets the number of hits to keep. It must be called before hits are added.
func (g *Merger) SetLimit(limit int) { g.limit = limit }

// Reset removes all hits and keeps the buffer.
func (g *Merger) Reset() {
	clear(g.hits)
	g.hits = g.hits[:0]
}

// Add merges the hits of one shard.
func (g *Merger) Add(hits []clementineport.Hit) {
	if g.limit <= 0 {
		g.hits = append(g.hits, hits...)
		return
	}
	for i := range hits {
		g.insert(&hits[i])
	}
}

func (g *Merger) insert(h *clementineport.Hit) {
	n := len(g.hits)
	if n == g.limit {
		if compareHits(h, &g.hits[n-1]) >= 0 {
			return
		}
		g.hits = g.hits[:n-1]
	}
	i := sort.Search(len(g.hits), func(k int) bool { return compareHits(h, &g.hits[k]) < 0 })
	g.hits = slices.Insert(g.hits, i, *h)
}

// Hits returns a copy of the merged hits in order.
func (g *Merger) Hits() []clementineport.Hit {
	if g.limit <= 0 {
		slices.SortFunc(g.hits, func(a, b clementineport.Hit) int { return compareHits(&a, &b) })
	}
	return slices.Clone(g.hits)
}
