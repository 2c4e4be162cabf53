package cpquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpquota"
)

// Figures of the bound of a target that states a limit: in any limitSpan, its requests are at most limitOverrun times what
// the limit allows, plus limitSlack.
const (
	limitSpan    = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// senders simulates VMs that share the limit of one target, in steps of 10 ms of virtual time.
type senders struct {
	random *rand.Rand
	rate   clementineport.RequestRate
	// seen is the number of VMs that each VM counts.
	seen   []int
	shares []cpquota.RequestShare
	// frozen is the number of steps for which each VM is frozen.
	frozen []int
	now    time.Time
	// sent is the number of requests that were sent in each step.
	sent []int
}

const step = 10 * time.Millisecond

func newSenders(seed uint64, vms int, rate clementineport.RequestRate) *senders {
	s := &senders{
		random: rand.New(rand.NewPCG(seed, 0)), rate: rate, now: start,
		seen: make([]int, vms), shares: make([]cpquota.RequestShare, vms), frozen: make([]int, vms),
	}
	for i := range s.seen {
		s.seen[i] = vms
	}
	return s
}

// run lets all VMs together want a number of requests a second, at random VMs, for a time. A VM that is frozen sends
// nothing.
func (s *senders) run(d time.Duration, perSecond float64) {
	for range int(d / step) {
		sent := 0
		for i := range s.frozen {
			s.frozen[i] = max(0, s.frozen[i]-1)
		}
		for wanted := perSecond * step.Seconds(); wanted > 0; wanted-- {
			if i := s.random.IntN(len(s.shares)); s.random.Float64() < wanted && s.send(i) {
				sent++
			}
		}
		s.sent = append(s.sent, sent)
		s.now = s.now.Add(step)
	}
}

// send lets a VM send a request if its share allows it.
func (s *senders) send(i int) bool {
	share := &s.shares[i]
	if s.frozen[i] > 0 {
		return false
	}
	share.SetLimit(s.now, s.rate, s.seen[i], s.random.Float64)
	if share.Wait(s.now) > 0 {
		return false
	}
	share.Take(s.now)
	return true
}

// most returns the highest number of requests in a span of the bound.
func (s *senders) most() (most int) {
	inSpan, steps := 0, int(limitSpan/step)
	for i, n := range s.sent {
		inSpan += n
		if i >= steps {
			inSpan -= s.sent[i-steps]
		}
		most = max(most, inSpan)
	}
	return most
}

// allowed returns the highest number of requests that the bound allows.
func (s *senders) allowed() int {
	return int(limitOverrun*float64(s.rate)*limitSpan.Seconds()) + limitSlack
}

// perSecond returns the requests a second since a step.
func (s *senders) perSecond(since int) float64 {
	total := 0
	for _, n := range s.sent[since:] {
		total += n
	}
	return float64(total) / (float64(len(s.sent)-since) * step.Seconds())
}

// Guards against a sum over all VMs that exceeds the limit of a target while VMs start, freeze and count different numbers
// of VMs.
func TestFewVMsNeverExceedTheLimitOfATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := clementineport.RequestRate(rapid.Float64Range(0, 100).Draw(t, "limit"))
		vms := rapid.IntRange(1, max(1, int(rate))).Draw(t, "VMs")
		s := newSenders(rapid.Uint64().Draw(t, "seed"), vms, rate)
		for i := range s.seen {
			s.seen[i] = max(1, int(float64(vms)*rapid.Float64Range(0.85, 1.5).Draw(t, "seen")+0.5))
		}
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			i := rapid.IntRange(0, vms-1).Draw(t, "VM")
			switch rapid.SampledFrom([]string{"none", "restart", "freeze"}).Draw(t, "event") {
			case "restart":
				s.shares[i] = cpquota.RequestShare{}
			case "freeze":
				s.frozen[i] = 500
			}
			s.run(2*time.Second, rapid.SampledFrom([]float64{0, 0.5, 3, 30}).Draw(t, "load")*float64(rate))
		}
		assert.Assert(t, s.most() <= s.allowed(), "%d requests, %d allowed", s.most(), s.allowed())
	})
}

// Guards against a sum over all VMs that exceeds the limit of a target when there are more VMs than it takes requests, each
// of which holds on to what it has not used.
func TestManyVMsStayWithinTheLimitOfATargetWhenTheLoadRises(t *testing.T) {
	for _, vms := range []int{59, 89, 295, 770} {
		for _, rate := range []clementineport.RequestRate{0, 2, 16, 60} {
			for _, error := range []float64{1, 0.9, 1.3} {
				t.Run(fmt.Sprintf("%d VMs, %v a second, %v of them seen", vms, rate, error), func(t *testing.T) {
					s := newSenders(7, vms, rate)
					for i := range s.seen {
						s.seen[i] = int(error * float64(vms))
					}
					s.run(time.Minute, 0.2*float64(rate))
					for range 5 {
						s.run(5*time.Second, 100*float64(rate)+10)
						s.run(30*time.Second, 0.2*float64(rate))
					}
					s.run(30*time.Second, 2*float64(rate))
					assert.Assert(t, s.most() <= s.allowed(), "%d requests, %d allowed", s.most(), s.allowed())
				})
			}
		}
	}
}

func TestALimitIsUsedByAnyNumberOfVMs(t *testing.T) {
	for vms, least := range map[int]float64{1: 0.7, 6: 0.55, 59: 0.4, 295: 0.2} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			s := newSenders(7, vms, 16)
			s.run(time.Minute, 100) // several times what the target takes
			after := len(s.sent)
			s.run(2*time.Minute, 100)
			used := s.perSecond(after) / 16
			t.Logf("%.2f of the limit are used", used)
			assert.Assert(t, used > least, "%.2f of the limit are used", used)
		})
	}
}

func TestALimitBeginsWithNothingSavedUp(t *testing.T) {
	s := newSenders(7, 6, 20)
	s.run(time.Second, 10_000)
	assert.Assert(t, s.perSecond(0) < 20, "%v in the first second", s.perSecond(0))
}

func TestAShareFollowsItsLimit(t *testing.T) {
	s := newSenders(7, 6, 1)
	s.run(2*time.Second, 100)
	s.rate = 100
	after := len(s.sent)
	s.run(2*time.Second, 10_000)
	assert.Assert(t, s.perSecond(after) > 40, "%v a second of 100", s.perSecond(after))
	s.rate = 0
	after = len(s.sent)
	s.run(time.Minute, 1000)
	assert.Assert(t, s.perSecond(after) > 0, "some requests are sent, to notice the end of a limit of zero")
	assert.Assert(t, s.perSecond(after) < 1, "%v a second", s.perSecond(after))
	for i := range s.shares {
		s.shares[i].Unlimit()
		assert.Equal(t, s.shares[i].Wait(s.now), time.Duration(0))
		assert.Assert(t, !s.shares[i].Limited())
	}
}
