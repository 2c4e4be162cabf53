package cpclient

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// store holds the tokens of a workspace at a VM.
type store struct {
	lots []lot
	// level and at are the tokens of the own weight, which grow while no coordinator counts it. They belong to the binding with
	// the number bindings.
	level    float64
	at       time.Time
	bindings uint64
	// reserveFrom is when the reserve token may be used next.
	reserveFrom time.Time
	// waiting is the number of requests that wait for a token.
	waiting int
	// askAt is when the coordinator is asked next, and tokenAt when it expects to have a token.
	askAt, tokenAt time.Time
	// refused is when the coordinator last had too few tokens.
	refused time.Time
	// rate is that of the requests of the workspace at this VM.
	rate rate
}

// lot is a number of tokens that expire together.
type lot struct {
	tokens  int
	expires time.Time
}

// Token allows one request.
type Token struct {
	Workspace clementineport.WorkspaceID
	Expires   time.Time
}

func (c *Client) store(name clementineport.WorkspaceID) *store {
	s := c.stores[name]
	if s == nil {
		s = &store{reserveFrom: c.began.Add(c.options.Bounds.Window)}
		c.stores[name] = s
	}
	return s
}

// drop removes all tokens.
func (s *store) drop() { s.lots, s.level = nil, 0 }

func (s *store) add(tokens int, expires time.Time) {
	if tokens > 0 {
		s.lots = append(s.lots, lot{tokens, expires})
	}
}

// refuse records that the coordinator has no token before the end of wait. It is asked again no later than after maxAskWait,
// since other VMs may bind their weight meanwhile.
func (s *store) refuse(now time.Time, wait time.Duration) {
	s.askAt, s.tokenAt, s.refused = now.Add(min(wait, maxAskWait)), now.Add(wait), now
}

// Bounds of the time between a refusal and the next call for the workspace. minAskWait limits the calls to 200 a second.
const (
	minAskWait = 5 * time.Millisecond
	maxAskWait = 250 * time.Millisecond
)

// demand returns the number of tokens to ask for: one for each waiting request and, if the requests of the workspace are frequent
// here and the coordinator had enough lately, some for those expected.
func (s *store) demand(now time.Time, lifetime time.Duration) float64 {
	wanted := float64(s.waiting)
	if s.refused.IsZero() || now.Sub(s.refused) > prefetchPause {
		wanted += cpquotas.Whole(s.rate.perSecond(now) * lifetime.Seconds() * prefetchShare)
	}
	return wanted
}

const (
	// prefetchShare is the share of the requests that are expected within the lifetime of a token for which tokens are requested in
	// advance. Most of them are used, because requests rarely come at less than half of their rate.
	prefetchShare = 0.5
	// prefetchPause is how long no tokens are requested in advance after a demand was not met, so that VMs with waiting
	// requests get the tokens.
	prefetchPause = time.Second
)

// rate estimates the requests a second.
type rate struct {
	since          time.Time
	count, earlier float64
}

// ratePeriod is the time over which the requests for a rate are counted.
const ratePeriod = time.Second

func (r *rate) observe(now time.Time) {
	r.advance(now)
	r.count++
}

func (r *rate) advance(now time.Time) {
	switch age := now.Sub(r.since); {
	case age >= 2*ratePeriod:
		r.since, r.count, r.earlier = now, 0, 0
	case age >= ratePeriod:
		r.since, r.count, r.earlier = r.since.Add(ratePeriod), 0, r.count
	}
}

// perSecond returns the rate of the last whole period.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	return r.earlier / ratePeriod.Seconds()
}

// ownLevel returns the tokens of the own weight. There are none while a coordinator may count the weight.
func (c *Client) ownLevel(now time.Time, g *clientGroup, s *store, q cpquotas.Quota) float64 {
	if now.Before(g.free) {
		return 0
	}
	if s.bindings != g.bindings {
		s.level, s.at, s.bindings = 0, g.free, g.bindings
	}
	from := cpquotas.Later(s.at, g.free)
	s.level = min(s.level+c.options.Fill(q)*c.weight*now.Sub(from).Seconds(), c.options.Depth(q)*c.weight)
	s.at = now
	return s.level
}

// OwnWeight returns the weight that this VM may use by itself for a workspace.
func (c *Client) OwnWeight(now time.Time, name clementineport.WorkspaceID) float64 {
	if now.Before(c.group(c.Group(name)).free) {
		return 0
	}
	return c.weight
}

// Request records that a request of a workspace has arrived.
func (c *Client) Request(now time.Time, name clementineport.WorkspaceID) {
	c.group(c.Group(name)).used = now
	c.store(name).rate.observe(now)
}

// Take takes a token that this VM holds: one that was granted, or one of its own weight.
func (c *Client) Take(now time.Time, name clementineport.WorkspaceID) (Token, bool) {
	s := c.store(name)
	token := Token{Workspace: name}
	for len(s.lots) > 0 {
		l := &s.lots[0]
		if !now.Before(l.expires) {
			c.counts.Expired += uint64(l.tokens)
			s.lots = s.lots[1:]
			continue
		}
		if token.Expires = l.expires; l.tokens == 1 {
			s.lots = s.lots[1:]
		} else {
			l.tokens--
		}
		c.counts.Used++
		return token, true
	}
	s.lots = nil
	if cpquotas.Whole(c.ownLevel(now, c.group(c.Group(name)), s, c.quotas[name])) < 1 {
		return Token{}, false
	}
	s.level--
	c.counts.Used++
	c.counts.Own++
	token.Expires = now.Add(c.options.Lifetime())
	return token, true
}

// TakeReserve takes the reserve token of a workspace. Only the first ReserveVMs may use it, and only if no coordinator has answered
// since the request arrived. It comes back after a window.
func (c *Client) TakeReserve(now, arrived time.Time, name clementineport.WorkspaceID) (Token, bool) {
	s := c.store(name)
	if c.group(c.Group(name)).answered.After(arrived) || now.Before(s.reserveFrom) {
		return Token{}, false
	}
	s.reserveFrom = now.Add(c.options.Bounds.Window)
	c.counts.Used++
	c.counts.Reserve++
	return Token{Workspace: name, Expires: now.Add(c.options.Lifetime())}, true
}

// Return puts back a token whose request was not sent.
func (c *Client) Return(now time.Time, t Token) {
	if !now.Before(t.Expires) || !c.Limited(t.Workspace) {
		return
	}
	c.counts.Returned++
	c.counts.Used--
	s := c.store(t.Workspace)
	s.lots = append([]lot{{1, t.Expires}}, s.lots...)
}

// Wait adds n to the number of requests that wait for tokens of a workspace.
func (c *Client) Wait(name clementineport.WorkspaceID, n int) {
	s, g := c.store(name), c.group(c.Group(name))
	if s.waiting += n; s.waiting > 0 {
		g.waiting[name] = s
	} else {
		delete(g.waiting, name)
	}
}

// latencyFactor is the factor by which an answer may take longer than that to the latest call.
const latencyFactor = 2

// Refusal reports whether a request that waits until a time gets no token by then, and when the coordinator expects to have one.
func (c *Client) Refusal(now, until time.Time, name clementineport.WorkspaceID) (retryAfter time.Duration, refused bool) {
	s := c.store(name)
	// A call whose answer would come too late would get a token that nobody uses.
	answered := s.askAt.Add(latencyFactor * c.group(c.Group(name)).latency)
	if s.askAt.After(now) && answered.After(until) {
		return s.tokenAt.Sub(now), true
	}
	return 0, false
}
