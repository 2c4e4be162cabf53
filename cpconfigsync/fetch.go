package cpconfigsync

import (
	"time"

	"github.com/clementineport/clementineport"
)

// ObserveRevision handles the revision that a call from or to a peer carried.
func (s *Syncer) ObserveRevision(now time.Time, from clementineport.VMID, r clementineport.Revision) {
	if r <= s.revision || from == s.self {
		return
	}
	s.announced[from] = max(s.announced[from], r)
	s.fetch(now)
}

// fetch queues a fetch from the peer that announced the highest revision. Only one fetch runs at a time.
func (s *Syncer) fetch(now time.Time) {
	if s.fetching != "" {
		return
	}
	var best clementineport.VMID
	for id, r := range s.announced {
		if best == "" || r > s.announced[best] || r == s.announced[best] && id < best {
			best = id
		}
	}
	if best == "" {
		return
	}
	s.fetching = best
	s.pending = append(s.pending, Action{Kind: KindFetch, Peer: best, Timeout: s.options.ReadTimeout, Began: now})
}

// endFetch ends a fetch and starts the next one if another peer has announced a higher revision.
func (s *Syncer) endFetch(now time.Time, peer clementineport.VMID) {
	s.fetching = ""
	delete(s.announced, peer)
	s.fetch(now)
}

// HandleFetched handles a peer's configuration; revision zero means that the peer had no newer one.
func (s *Syncer) HandleFetched(now time.Time, a Action, r clementineport.Revision) Outcome {
	s.RecordContact(a.Began)
	outcome := OutcomeSame
	if r > 0 {
		outcome = s.Accept(now, r)
	}
	s.endFetch(now, a.Peer)
	return outcome
}
