// Package cpconfigsync decides how one VM gets configuration changes and distributes them to others.
//
// It is a deterministic state machine: its inputs are the members, the results of calls and the time; its output is the
// calls to make. It makes no calls itself. It ensures that the revision in force never decreases, whatever the store or a
// peer returns.
package cpconfigsync

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
)

// Kind is the kind of call that an Action requests.
type Kind uint8

const (
	// KindRead requests a read of the store.
	KindRead Kind = iota
	// KindWatch requests one watch of the store, which waits until the version differs from Seen.
	KindWatch
	// KindFetch requests the configuration of a peer.
	KindFetch
	// KindNotify requests an exchange with a peer, which carries the revision in force to it.
	KindNotify
	// KindRenew requests an exchange with a peer to confirm that this VM is still connected.
	KindRenew
)

var kindNames = [...]string{"read", "watch", "fetch", "tell", "renew"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Action is a call to make. Its result is passed to HandleStored, HandleFetched, RecordContact or HandleFailure.
type Action struct {
	Kind    Kind
	Peer    clementineport.VMID
	Seen    uint64
	Wait    time.Duration
	Timeout time.Duration
	Began   time.Time
	// Round is the number of the watch; the results of earlier watches are ignored.
	Round uint64
}

// Outcome is the result of offering a configuration.
type Outcome uint8

const (
	// OutcomeSame means that the revision is already in force.
	OutcomeSame Outcome = iota
	// OutcomeNewer means that the configuration is newer and now in force.
	OutcomeNewer
	// OutcomeLower means that the revision is lower than the one in force and was rejected.
	OutcomeLower
)

// Syncer is the state machine of one VM. It is not safe for concurrent use.
type Syncer struct {
	options Options
	self    clementineport.VMID
	rand    *rand.Rand
	members []clementineport.Member
	watcher bool

	revision      clementineport.Revision
	revisionSince time.Time // when revision came into force
	version       uint64    // of the item in the store
	fetching      clementineport.VMID
	announced     map[clementineport.VMID]clementineport.Revision
	pending       []Action
	pushesLeft    int // remaining push rounds
	nextPush      time.Time

	watching     bool
	watchRound   uint64
	nextWatch    time.Time
	watchBackoff time.Duration
	reading      bool
	nextRead     time.Time
	readBackoff  time.Duration
	nextRenew    time.Time
	// nextRenewRead is the earliest time of the next read that is made to renew contact.
	nextRenewRead time.Time

	lastContact time.Time
	freshAt     time.Time
	singleVM    bool
	restored    clementineport.Revision
	lowered     bool
	missed      int
	quorum      quorum
}

// New returns the state machine of a VM without a configuration.
func New(self clementineport.VMID, opts ...Option) *Syncer {
	options := NewOptions(opts...)
	return &Syncer{
		options:   options,
		self:      self,
		rand:      rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(self)))),
		announced: map[clementineport.VMID]clementineport.Revision{},
	}
}

// Revision returns the revision in force.
func (s *Syncer) Revision() clementineport.Revision { return s.revision }

// Watcher reports whether this VM watches the store.
func (s *Syncer) Watcher() bool { return s.watcher }

// LastContact returns the start time of the latest call that the store or a peer answered.
func (s *Syncer) LastContact() time.Time { return s.lastContact }

// FreshAt returns the latest time at which the revision in force is known to have been the newest accepted one.
func (s *Syncer) FreshAt() time.Time { return s.freshAt }

// Minority reports whether this VM reaches so few of the others that a change may have been accepted without it. since is
// the time from which it is in a minority, or the time of FreshAt if that is later.
func (s *Syncer) Minority() (since time.Time, minority bool) {
	return later(s.quorum.since, s.freshAt), s.quorum.minority()
}

// Restored returns the lower revision that the store returned to a call that started after the revision in force was
// known, or zero.
func (s *Syncer) Restored() clementineport.Revision { return s.restored }

// Lowered reports whether the store holds a lower revision than the one in force, or none.
func (s *Syncer) Lowered() bool { return s.lowered }

// Missed returns how many revisions were found by a periodic read and not reported by the watch that was running.
func (s *Syncer) Missed() int { return s.missed }

// SingleVM reports whether no VM but this one has ever been known.
func (s *Syncer) SingleVM() bool { return s.singleVM }

// SetMembers sets the members, including this VM, and chooses the watchers of its failure domain. everListed is the
// highest number of VMs that the platform has listed at once.
func (s *Syncer) SetMembers(members []clementineport.Member, everListed int) {
	s.members, s.quorum.changed = members, true
	s.singleVM = everListed == 1 && len(members) <= 1
	var own clementineport.FailureDomain
	for i := range members {
		if members[i].ID == s.self {
			own = members[i].Domain
		}
	}
	s.watcher = false
	for _, i := range cpowner.Rank("watch", members, s.options.Watchers, func(m *clementineport.Member) bool {
		return m.Domain == own && m.State == clementineport.MemberAlive
	}) {
		s.watcher = s.watcher || members[i].ID == s.self
	}
}

// Tick returns the calls to make now.
func (s *Syncer) Tick(now time.Time) []Action {
	s.push(now)
	s.quorum.evaluate(now, s.members)
	actions := s.pending
	s.pending = nil
	if s.nextRead.IsZero() {
		s.nextRead = now
	}
	if s.options.ReadPeriod > 0 && !s.reading && !now.Before(s.nextRead) {
		s.reading = true
		actions = append(actions, s.readAction(now))
	}
	if s.watcher && !s.watching && !now.Before(s.nextWatch) {
		s.watching = true
		s.watchRound++
		actions = append(actions, s.watchAction(now))
	}
	return append(actions, s.renew(now)...)
}

func (s *Syncer) watchAction(now time.Time) Action {
	return Action{
		Kind:    KindWatch,
		Seen:    s.version,
		Wait:    s.options.WatchWait,
		Timeout: s.options.WatchWait + s.options.WatchGrace,
		Began:   now,
		Round:   s.watchRound,
	}
}

// renew returns additional calls to renew contact when the regular exchanges have had no answer for RenewAfter: exchanges
// with two peers, and a read of the store when there are no peers or they don't answer either.
func (s *Syncer) renew(now time.Time) []Action {
	age := now.Sub(s.lastContact)
	if s.quorum.minority() {
		age = now.Sub(s.freshAt)
	}
	if s.singleVM || age < s.options.RenewAfter || now.Before(s.nextRenew) {
		return nil
	}
	s.nextRenew = now.Add(s.options.RenewPeriod)
	actions := s.peerActions(KindRenew, 2, now)
	noAnswer := len(actions) == 0 || age >= s.options.RenewAfter+2*s.options.RenewPeriod
	if noAnswer && !s.reading && s.options.ReadPeriod > 0 && !now.Before(s.nextRenewRead) {
		s.reading = true
		actions = append(actions, s.readAction(now))
	}
	return actions
}

func (s *Syncer) readAction(now time.Time) Action {
	return Action{Kind: KindRead, Timeout: s.options.ReadTimeout, Began: now}
}

// peerActions returns exchanges with up to n random live peers. For KindNotify it skips peers that are known to have the
// revision in force.
func (s *Syncer) peerActions(kind Kind, n int, now time.Time) []Action {
	var actions []Action
	for _, i := range s.rand.Perm(len(s.members)) {
		m := &s.members[i]
		if len(actions) == n {
			break
		}
		if m.ID == s.self || m.State != clementineport.MemberAlive {
			continue
		}
		if kind == KindNotify && m.Revision >= s.revision {
			continue
		}
		actions = append(actions, Action{Kind: kind, Peer: m.ID, Timeout: s.options.ReadTimeout, Began: now})
	}
	return actions
}

// NotifyUnconfirmed queues exchanges with up to n peers that have not confirmed the revision in force.
func (s *Syncer) NotifyUnconfirmed(now time.Time, n int) {
	s.pending = append(s.pending, s.peerActions(KindNotify, n, now)...)
}

// Accept offers the revision of a configuration from any source. If it is newer, it comes into force and peers are
// notified at once.
func (s *Syncer) Accept(now time.Time, r clementineport.Revision) Outcome {
	switch {
	case r == s.revision:
		return OutcomeSame
	case r < s.revision:
		return OutcomeLower
	}
	s.revision, s.revisionSince = r, now
	s.quorum.since = time.Time{} // the possibly missed change has arrived; the minority is evaluated anew
	for id, revision := range s.announced {
		if revision <= r {
			delete(s.announced, id)
		}
	}
	s.pushesLeft, s.nextPush = s.options.PushRounds, now
	s.push(now)
	return OutcomeNewer
}

// push queues notifications of a new revision to some peers, in several rounds at short intervals.
func (s *Syncer) push(now time.Time) {
	if s.pushesLeft == 0 || now.Before(s.nextPush) {
		return
	}
	s.pushesLeft--
	s.nextPush = now.Add(s.options.PushPeriod)
	s.pending = append(s.pending, s.peerActions(KindNotify, s.options.FanOut, now)...)
}

// HandleStored handles the store's answer to a read or watch that this VM started.
func (s *Syncer) HandleStored(now time.Time, a Action, version uint64, r clementineport.Revision) Outcome {
	s.RecordContact(a.Began)
	before := s.revision
	unchanged := s.version == version
	s.version = version
	outcome := s.Accept(now, r)
	switch {
	case outcome != OutcomeLower:
		s.restored, s.lowered = 0, false
		s.confirm(now, a.Began)
	case a.Began.After(s.revisionSince):
		s.restored, s.lowered = r, true
	}
	s.scheduleNext(now, a, unchanged)
	if a.Kind == KindRead && outcome == OutcomeNewer && s.watching && before > 0 {
		s.missed++
		s.watching, s.nextWatch = false, now
	}
	return outcome
}

// scheduleNext schedules the next call of the same kind after an answer. A watch that returns early without a change
// counts as failed, so that a broken watch doesn't flood the store with calls.
func (s *Syncer) scheduleNext(now time.Time, a Action, unchanged bool) {
	switch {
	case a.Kind == KindRead:
		s.reading, s.readBackoff = false, 0
		s.nextRead = now.Add(s.readPeriod())
	case a.Round == s.watchRound && unchanged && now.Sub(a.Began) < a.Wait/2:
		s.HandleFailure(now, a)
	case a.Round == s.watchRound:
		s.watching, s.watchBackoff = false, 0
		s.nextWatch = now.Add(s.jitter(s.options.MinBackoff / 10))
	}
}

// readPeriod returns the time until the next periodic read. It grows with the fleet, so that the read rate of the fleet
// stays bounded.
func (s *Syncer) readPeriod() time.Duration {
	scale := max(1, float64(len(s.members))/float64(s.options.ReadScaleVMs))
	return s.jitter(time.Duration(float64(s.options.ReadPeriod) * scale))
}

func (s *Syncer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + s.rand.Float64()))
}

// HandleFailure handles a call that was not answered.
func (s *Syncer) HandleFailure(now time.Time, a Action) {
	switch a.Kind {
	case KindRead:
		s.reading = false
		s.readBackoff = s.backoff(s.readBackoff)
		s.nextRead = now.Add(s.readBackoff)
		s.nextRenewRead = s.nextRead
		if s.revision > 0 {
			s.nextRead = now.Add(max(s.readBackoff, s.readPeriod()))
		}
	case KindWatch:
		if a.Round == s.watchRound {
			s.watching = false
			s.watchBackoff = s.backoff(s.watchBackoff)
			s.nextWatch = now.Add(s.watchBackoff)
		}
	case KindFetch:
		s.endFetch(now, a.Peer)
	}
}

// backoff returns a random delay that grows up to MaxBackoff, so that the calls of the VMs after an outage are spread
// out.
func (s *Syncer) backoff(last time.Duration) time.Duration {
	minimum := s.options.MinBackoff
	maximum := min(s.options.MaxBackoff, 3*max(last, minimum))
	return minimum + time.Duration(s.rand.Int64N(int64(maximum-minimum)+1))
}

// RecordContact records that the store or a peer answered a call that started at began. Calls from others don't count:
// after a pause of this VM they may be old calls from a buffer.
func (s *Syncer) RecordContact(began time.Time) {
	s.lastContact = later(s.lastContact, began)
}

// RecordFreshness records that a peer with revision r knew at the time age before began that r was the newest one.
func (s *Syncer) RecordFreshness(began time.Time, r clementineport.Revision, age time.Duration) {
	if r == s.revision && r > 0 && age >= 0 {
		s.freshAt = later(s.freshAt, began.Add(-age))
	}
}

// maxCurrentAge is the age up to which an answer of the store counts as current. It is shorter than the time after which
// a VM that was cut off becomes suspect.
const maxCurrentAge = 500 * time.Millisecond

// confirm records that the revision in force was the newest one at a time.
func (s *Syncer) confirm(now, at time.Time) {
	s.freshAt = later(s.freshAt, at)
	if now.Sub(at) <= maxCurrentAge {
		s.quorum.reset(s.members)
	}
}

func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}
