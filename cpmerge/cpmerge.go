// Package cpmerge decides which hits of many shards an answer holds and in which order.
//
// It takes hits as they come; whether a shard's hits may be merged is for its caller to decide.
package cpmerge

import (
	"cmp"
	"slices"
	"sort"

	"github.com/clementineport/clementineport"
)

// Merger keeps the best hits in order, by score and then by record; without a limit it keeps all.
type Merger struct {
	limit int
	hits  []clementineport.Hit
}

func compareHits(a, b *clementineport.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Record, b.Record), cmp.Compare(a.Fields, b.Fields))
}

// SetLimit sets the number of hits to keep; it is called before hits are added.
func (g *Merger) SetLimit(limit int) { g.limit = limit }

// Reset drops all hits and keeps the buffer.
func (g *Merger) Reset() {
	clear(g.hits)
	g.hits = g.hits[:0]
}

// Add takes the hits of one shard.
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
	at := sort.Search(len(g.hits), func(k int) bool { return compareHits(h, &g.hits[k]) < 0 })
	g.hits = slices.Insert(g.hits, at, *h)
}

// Hits returns the hits in a slice of their own.
func (g *Merger) Hits() []clementineport.Hit {
	if g.limit <= 0 {
		slices.SortFunc(g.hits, func(a, b clementineport.Hit) int { return compareHits(&a, &b) })
	}
	return slices.Clone(g.hits)
}
