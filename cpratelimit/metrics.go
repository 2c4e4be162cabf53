package cpratelimit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// maxRank bounds the number of time series: workspaces with lower rates are counted together.
const maxRank = 16

// ranksOf returns the place of each workspace in the order of the rates, from one for the highest. Metrics name no workspace.
func ranksOf(quotas cpquotas.Quotas) map[clementineport.WorkspaceID]int {
	names := slices.SortedFunc(maps.Keys(quotas), func(a, b clementineport.WorkspaceID) int {
		return cmp.Or(cmp.Compare(quotas[b].Rate, quotas[a].Rate), cmp.Compare(a, b))
	})
	ranks := make(map[clementineport.WorkspaceID]int, len(names))
	for i, name := range names {
		ranks[name] = min(i+1, maxRank)
	}
	return ranks
}

// WriteMetrics writes the totals in the Prometheus text format. Write errors are ignored, because they mean that the client has
// gone.
func (l *Limiter) WriteMetrics(w io.Writer) {
	if !l.enabled() {
		return
	}
	l.mu.Lock()
	tokens, requests, refused := l.node.client.Counts(), l.node.counts, maps.Clone(l.refused)
	l.mu.Unlock()
	for _, m := range []struct {
		name  string
		value uint64
	}{
		{"clementineport_quota_tokens_granted_total", tokens.Granted},
		{"clementineport_quota_tokens_used_total", tokens.Used},
		{"clementineport_quota_tokens_returned_total", tokens.Returned},
		{"clementineport_quota_tokens_expired_total", tokens.Expired},
		{"clementineport_quota_tokens_own_total", tokens.Own},
		{"clementineport_quota_reserve_used_total", tokens.Reserve},
		{"clementineport_quota_calls_total", tokens.Calls},
		{"clementineport_quota_calls_failed_total", tokens.Failed},
		{"clementineport_quota_collections_total", requests.Collections},
	} {
		fmt.Fprintf(w, "%s %d\n", m.name, m.value)
	}
	for _, rank := range slices.Sorted(maps.Keys(refused)) {
		fmt.Fprintf(w, "clementineport_quota_refused_total{rank=\"%d\"} %d\n", rank, refused[rank])
	}
}
