// Package cpcaller is the caller's side of the query tier: it keeps the list of entry VMs, spreads queries
// over them, and resends a query when that cannot run it twice. It decides nothing about targets, and it
// never gives a request a new id after a send that may have run.
package cpcaller

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
	"github.com/clementineport/clementineport/cpfailover"
)

// Caller sends queries to the query tier.
type Caller interface {
	// Query runs one query; the error is an *Error whose verdict says whether the query may have run.
	Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error)
	// Close ends idle connections.
	Close() error
}

// The entry is given less than the time left, so that its answer arrives before the deadline.
const (
	answerMarginDivisor = 10 // of the time left
	maxAnswerMargin     = 10 * time.Millisecond
)

type caller struct {
	opts    Options
	sender  *sender
	list    *cpfailover.EntryList
	latency *cpfailover.LatencyEstimator
	fetches singleflight.Group
}

// New returns a caller.
func New(opts ...Option) Caller {
	c := &caller{opts: newOptions(opts)}
	if c.opts.RetryBudget == nil {
		c.opts.RetryBudget = cpbudget.New(
			cpbudget.WithShare(DefaultRetryBudgetShare), cpbudget.WithBurst(DefaultRetryBudgetBurst), cpbudget.WithStart(DefaultRetryBudgetBurst),
		)
	}
	c.sender = newSender(&c.opts)
	c.list = cpfailover.NewEntryList(c.opts.SuspectFor)
	c.latency = cpfailover.NewLatencyEstimator()
	return c
}

// Close implements Caller.
func (c *caller) Close() error {
	c.sender.client.CloseIdleConnections()
	return nil
}

// Query implements Caller.
func (c *caller) Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	now := c.opts.Clock.Now()
	query := *q
	if query.Deadline.IsZero() {
		query.Deadline = now.Add(c.opts.Deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, query.Deadline.Sub(now))
	defer cancel()
	c.opts.RetryBudget.Earn(1)
	policy := c.opts.RetryPolicy
	policy.HedgeAfter = c.latency.UnresponsiveAfter(q.Service)
	request := cpfailover.NewRequest(policy, &query, now, c.newRequestID, c.opts.Rand)
	return c.run(ctx, request, &query)
}

// result is what became of one send.
type result struct {
	entry  cpfailover.Entry
	answer *clementineport.Answer
	err    *clementineport.Error
	took   time.Duration
}

// run carries out the actions of a request until it has an answer or is given up.
func (c *caller) run(
	ctx context.Context, request *cpfailover.Request, q *clementineport.Query,
) (*clementineport.Answer, error) {
	results := make(chan result, c.opts.RetryPolicy.MaxSends)
	entries, err := c.entries(ctx)
	if err != nil {
		return nil, err
	}
	var lastEntry cpfailover.Entry
	for {
		now := c.opts.Clock.Now()
		if request.NeedsBudget(now) && !c.opts.RetryBudget.Spend() {
			request.DenyBudget()
		}
		action := request.Next(now, entries)
		switch action.Kind {
		case cpfailover.ActionFinish:
			return nil, action.Err
		case cpfailover.ActionSend:
			if action.Hedge {
				c.list.Suspect(now, lastEntry.Address)
			}
			lastEntry = action.Entry
			c.send(ctx, q, action, results)
			continue
		}
		select {
		case res := <-results:
			if res.answer != nil {
				c.list.ClearSuspect(res.entry.Address)
				c.latency.Observe(q.Service, res.took)
				return res.answer, nil
			}
			now = c.opts.Clock.Now()
			c.recordFailure(now, res)
			request.Failed(now, res.err)
			entries = c.entriesForRetry(ctx, entries)
		case <-c.opts.Clock.After(action.Until.Sub(now)):
		case <-ctx.Done():
			return nil, request.Finish()
		}
	}
}

func (c *caller) send(ctx context.Context, q *clementineport.Query, action cpfailover.Action, results chan<- result) {
	sent := *q
	sent.Request = action.Request
	go func() {
		start := c.opts.Clock.Now()
		left := q.Deadline.Sub(start)
		left -= min(left/answerMarginDivisor, maxAnswerMargin)
		answer, err := c.sender.query(ctx, action.Entry.Address, &sent, left)
		results <- result{action.Entry, answer, err, c.opts.Clock.Now().Sub(start)}
	}()
}

// recordFailure makes later requests use an entry last that failed or is leaving.
func (c *caller) recordFailure(now time.Time, res result) {
	if cpfailover.IsConnectionLoss(res.err) {
		c.list.Suspect(now, res.entry.Address)
	}
}

// entries returns the entries in order for one request; it waits for a list if there is none.
func (c *caller) entries(ctx context.Context) ([]cpfailover.Entry, error) {
	now := c.opts.Clock.Now()
	usable, refresh := c.list.State(now)
	if refresh {
		fetched := c.fetch(ctx)
		if !usable {
			select {
			case res := <-fetched:
				if res.Err != nil {
					return nil, res.Err
				}
			case <-ctx.Done():
				return nil, clementineport.Fail(clementineport.FaultDeadline, "no list of entries in time")
			}
		}
	}
	return c.list.Order(now, c.opts.Domain), nil
}

// entriesForRetry returns the entries for a resend, which may come from a newer list.
func (c *caller) entriesForRetry(ctx context.Context, previous []cpfailover.Entry) []cpfailover.Entry {
	entries, err := c.entries(ctx)
	if err != nil {
		return previous
	}
	return entries
}

func (c *caller) fetch(ctx context.Context) <-chan singleflight.Result {
	ctx = context.WithoutCancel(ctx)
	return c.fetches.DoChan("entries", func() (any, error) { return nil, c.fetchList(ctx) })
}

// fetchList asks the listed entries in turn for a new list, then the seeds.
func (c *caller) fetchList(ctx context.Context) error {
	var firstErr error
	listed := c.list.Addresses()
	for _, address := range slices.Concat(listed, c.opts.Seeds) {
		entries, ttl, err := c.fetchFrom(ctx, address)
		if err == nil {
			c.list.Set(c.opts.Clock.Now(), entries, ttl, c.opts.Rand())
			return nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return &clementineport.Error{
		Fault:  clementineport.FaultUnavailable,
		Reason: "no entry or seed address gave a list of entries",
		Err:    firstErr,
	}
}

func (c *caller) fetchFrom(ctx context.Context, address string) ([]cpfailover.Entry, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultListTimeout)
	defer cancel()
	return c.sender.entries(ctx, address)
}

// newRequestID returns a request id that begins with a ticket.
func (c *caller) newRequestID(ticket string) clementineport.RequestID {
	if ticket == "" {
		return clementineport.RequestID(c.opts.UniqueID())
	}
	return clementineport.RequestID(ticket + "." + c.opts.UniqueID())
}
