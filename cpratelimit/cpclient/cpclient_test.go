package cpclient_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit/cpclient"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

var bounds = cpquotas.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// granted returns a client that was granted tokens for a call that took a time, and the time of the answer.
func granted(tokens float64, took time.Duration) (*cpclient.Client, time.Time) {
	now := time.Unix(1e9, 0)
	c := cpclient.New(now, "a", "1", cpquotas.WithBounds(bounds))
	c.SetQuotas(1, cpquotas.Quotas{"w": {Rate: 10, Burst: 10}})
	c.SetVMs(10)
	c.Request(now, "w")
	c.Wait("w", 1)
	r := c.Next(now, c.Group("w"), "b")
	now = now.Add(took)
	c.Answered(now, r.Group, &clementineport.QuotaAnswer{Nonce: 1, Grants: []clementineport.QuotaGrant{{Tokens: tokens}}})
	return c, now
}

// TestTokensExpire guards against tokens that a process uses in a later window, since it was paused or the answer was late.
func TestTokensExpire(t *testing.T) {
	c, now := granted(2, 100*time.Millisecond)
	_, ok := c.Take(now.Add(399*time.Millisecond), "w")
	assert.Assert(t, ok)
	_, ok = c.Take(now.Add(400*time.Millisecond), "w")
	assert.Assert(t, !ok)
}

// TestAReturnedTokenKeepsItsExpiry guards against tokens that live longer because their requests were refused later.
func TestAReturnedTokenKeepsItsExpiry(t *testing.T) {
	c, now := granted(1, 0)
	token, ok := c.Take(now, "w")
	assert.Assert(t, ok)
	c.Return(now, token)
	token, ok = c.Take(now.Add(499*time.Millisecond), "w")
	assert.Assert(t, ok)
	c.Return(now.Add(500*time.Millisecond), token)
	_, ok = c.Take(now.Add(499*time.Millisecond), "w")
	assert.Assert(t, !ok)
}

// TestALoweredLimitDropsTokens guards against tokens of an earlier limit.
func TestALoweredLimitDropsTokens(t *testing.T) {
	c, now := granted(5, 0)
	c.SetQuotas(2, cpquotas.Quotas{"w": {Rate: 9, Burst: 10}})
	_, ok := c.Take(now, "w")
	assert.Assert(t, !ok)
}

// TestTheReserveComesBackAfterAWindow guards against a reserve that is used more often than the slack allows, also by a process
// that has started again.
func TestTheReserveComesBackAfterAWindow(t *testing.T) {
	c, began := granted(0, 0)
	for _, at := range []time.Duration{4999, 5000, 9999, 10000} {
		now := began.Add(at * time.Millisecond)
		_, ok := c.TakeReserve(now, now, "w")
		assert.Equal(t, ok, at%5000 == 0, at)
	}
}

// TestALoanOutlastsACallThatWasSentBeforeIt guards against a weight that counts twice: at the coordinator that it was lent to while a
// call was under way, and at this VM once that call has failed or was answered.
func TestALoanOutlastsACallThatWasSentBeforeIt(t *testing.T) {
	results := map[string]func(c *cpclient.Client, now time.Time, group int){
		"not bound": func(c *cpclient.Client, now time.Time, group int) {
			c.Answered(now, group, &clementineport.QuotaAnswer{Nonce: 2})
		},
		"bound": func(c *cpclient.Client, now time.Time, group int) {
			c.Answered(now, group, &clementineport.QuotaAnswer{Nonce: 2, Bound: true})
		},
		"not sent": func(c *cpclient.Client, now time.Time, group int) {
			c.Failed(now, group, clementineport.Fail(clementineport.FaultRefused, "nothing answers the call"))
		},
	}
	for name, finish := range results {
		t.Run(name, func(t *testing.T) {
			c := cpclient.New(time.Unix(1e9, 0), "a", "1", cpquotas.WithBounds(bounds))
			c.SetQuotas(1, cpquotas.Quotas{"w": {Rate: 10, Burst: 10}})
			group := c.Group("w")
			now := time.Unix(1e9, 0).Add(time.Minute)
			c.Request(now, "w")
			c.Wait("w", 1)
			c.Next(now, group, "b")
			c.Answered(now, group, &clementineport.QuotaAnswer{Nonce: 1})
			assert.Assert(t, c.Next(now, group, "b").Nonce == 1)
			assert.Assert(t, c.Lend(now, &clementineport.QuotaRequest{From: "b", Group: group}, "b").Bound)
			finish(c, now, group)
			options := cpquotas.NewOptions()
			assert.Equal(t, c.OwnWeight(now.Add(options.LoanTime()-1), "w"), 0.0)
			assert.Equal(t, c.OwnWeight(now.Add(options.LoanTime()), "w"), c.Weight())
		})
	}
}
