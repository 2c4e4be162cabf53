// Package cpcaller is the client of the query tier. It keeps the entry list, distributes queries over the entry VMs,
// and resends a failed query if that can't run a non-idempotent query twice. It never gives a request a new id after a
// send that may have run, and it makes no decisions about targets.
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
	// Query runs one query. Its error is an *Error whose verdict states whether the query may have run.
	Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error)
	// Close closes idle connections.
	Close() error
}

// The entry gets less than the time left, so that its answer arrives before the deadline.
const (
	answerMarginDivisor = 10 // the margin is the time left divided by this, but at most maxAnswerMargin
	maxAnswerMargin     = 10 * time.Millisecond
)

type caller struct {
	opts    Options
	sender  *sender
	list    *cpfailover.EntryList
	latency *cpfailover.LatencyEstimator
	fetches singleflight.Group
}

// New returns a Caller.
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

// result is the outcome of one send.
type result struct {
	entry   cpfailover.Entry
	answer  *clementineport.Answer
	err     *clementineport.Error
	elapsed time.Duration
}

// run executes the actions of a request until it is answered or fails.
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
				c.latency.Observe(q.Service, res.elapsed)
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

// recordFailure marks an entry that failed or is leaving as suspect, so that later requests use it last.
func (c *caller) recordFailure(now time.Time, res result) {
	if cpfailover.IsConnectionLoss(res.err) {
		c.list.Suspect(now, res.entry.Address)
	}
}

// entries returns the entries in the order in which a request uses them. It waits for a list if none is usable.
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

// entriesForRetry returns the entries for a resend. They come from a newer list if there is one.
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

// fetchList fetches a new list from the first listed entry or seed that returns one.
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
