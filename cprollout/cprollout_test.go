package cprollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cprollout"
)

// version returns a behavior that fails a share of the answers while is returns true.
func version(r *rand.Rand, share float64, is func(at time.Duration, route clementineport.RouteID, load float64) bool) behavior {
	return func(at time.Duration, route clementineport.RouteID, load float64) (bool, time.Duration) {
		rate := 0.002
		if is(at, route, load) {
			rate = share
		}
		latency := 50*time.Millisecond + time.Duration(r.ExpFloat64()*float64(10*time.Millisecond))
		if r.Float64() < 0.03 {
			latency += 200 * time.Millisecond // a pause of the target
		}
		return r.Float64() < rate, latency
	}
}

func always(time.Duration, clementineport.RouteID, float64) bool { return true }
func never(time.Duration, clementineport.RouteID, float64) bool  { return false }

func after(d time.Duration) func(time.Duration, clementineport.RouteID, float64) bool {
	return func(at time.Duration, _ clementineport.RouteID, _ float64) bool { return at >= d }
}

func slower(b behavior, factor float64) behavior {
	return func(at time.Duration, route clementineport.RouteID, load float64) (bool, time.Duration) {
		failed, latency := b(at, route, load)
		return failed, time.Duration(factor * float64(latency))
	}
}

// checkBounds checks what holds for each bad version.
func checkBounds(t assert.TestingT, out *result) {
	assert.Assert(t, float64(out.fresh) <= bounds.Share*float64(out.total)+bounds.Slack, "%d of %d requests went to the new version: %+v", out.fresh, out.total, out)
	if out.fiftieth > 0 {
		assert.Assert(t, out.lastSent <= out.fiftieth+rollBack, "the last request came %v after the 50th bad answer: %+v", out.lastSent-out.fiftieth, out)
	}
}

const minute = time.Minute

// TestVersions rolls out versions that behave in different ways, on a fleet of the size of deployment K.
func TestVersions(t *testing.T) {
	type table struct {
		name   string
		change func(s *site, r *rand.Rand)
		phase  clementineport.RolloutPhase
		// bad is true if the bounds for bad versions hold.
		bad bool
	}
	good, back := clementineport.RolloutCompleted, clementineport.RolloutRolledBack
	for _, c := range []table{
		{"good", func(*site, *rand.Rand) {}, good, false},
		{"good with 6 VMs", func(s *site, _ *rand.Rand) { s.vms = 6 }, good, false},
		{"good within half a minute", func(s *site, _ *rand.Rand) { s.duration = 30 * time.Second }, good, false},
		{"good within three minutes", func(s *site, _ *rand.Rand) { s.duration = 3 * minute }, good, false},
		{"good with twenty requests a second", func(s *site, _ *rand.Rand) { s.rate = 20 }, good, false},
		{"good and its targets come late", func(s *site, _ *rand.Rand) { s.newFrom = 20 * time.Second }, good, false},
		{"cold but good", func(s *site, _ *rand.Rand) { s.new, s.cold = slower(s.new, 6), true }, good, false},
		{"fails as the old one does", func(s *site, r *rand.Rand) {
			s.old, s.new = version(r, 0.3, always), version(r, 0.3, always)
		}, good, false},
		{"fails while the old one does", func(s *site, r *rand.Rand) {
			is := func(at time.Duration, _ clementineport.RouteID, _ float64) bool {
				return at > 10*time.Second && at < 20*time.Second
			}
			s.old, s.new = version(r, 0.4, is), version(r, 0.4, is)
		}, good, false},
		{"slow calls to old targets end late", func(s *site, _ *rand.Rand) { s.oldEnds = 4 * time.Second }, good, false},
		{"bad at once", func(s *site, r *rand.Rand) { s.new = version(r, 0.3, always) }, back, true},
		{"bad in all answers", func(s *site, r *rand.Rand) { s.new = version(r, 1, always) }, back, true},
		{"bad in one of ten answers", func(s *site, r *rand.Rand) { s.new = version(r, 0.1, always) }, back, true},
		{"bad after a while", func(s *site, r *rand.Rand) { s.new = version(r, 0.4, after(25*time.Second)) }, back, true},
		{"bad late", func(s *site, r *rand.Rand) { s.new = version(r, 0.4, after(38*time.Second)) }, back, true},
		{"bad under load", func(s *site, r *rand.Rand) {
			s.new = version(r, 0.5, func(_ time.Duration, _ clementineport.RouteID, load float64) bool { return load > 0.4 })
		}, back, true},
		{"bad under the full load", func(s *site, r *rand.Rand) {
			s.new = version(r, 0.5, func(_ time.Duration, _ clementineport.RouteID, load float64) bool { return load > 0.85 })
		}, back, true},
		{"bad at the end of the trial", func(s *site, r *rand.Rand) { s.new = version(r, 0.4, after(45*time.Second)) }, back, true},
		{"bad on one route", func(s *site, r *rand.Rand) {
			s.new = version(r, 0.4, func(_ time.Duration, route clementineport.RouteID, _ float64) bool { return route == "b" })
		}, back, true},
		{"slow", func(s *site, _ *rand.Rand) { s.new = slower(s.new, 4) }, back, true},
		{"slow after a while", func(s *site, r *rand.Rand) {
			fast, slow := version(r, 0, never), slower(version(r, 0, never), 5)
			s.new = func(at time.Duration, route clementineport.RouteID, load float64) (bool, time.Duration) {
				if at > 30*time.Second {
					return slow(at, route, load)
				}
				return fast(at, route, load)
			}
		}, back, true},
		{"too few requests to tell", func(s *site, _ *rand.Rand) { s.rate = 0.5 }, back, true},
		{"its targets never come", func(s *site, _ *rand.Rand) { s.newFrom = -1 }, back, true},
		{"no driver for 10 s", func(s *site, _ *rand.Rand) {
			s.driverless = func(at time.Duration) bool { return at > 15*time.Second && at < 25*time.Second }
		}, good, false},
		{"bad while there is no driver", func(s *site, r *rand.Rand) {
			s.new = version(r, 0.6, after(15*time.Second))
			s.driverless = func(at time.Duration) bool { return at > 15*time.Second && at < 40*time.Second }
		}, back, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(2) {
				r := rand.New(rand.NewPCG(seed, 1))
				s := &site{
					vms: 82, rate: 100, duration: minute, old: version(r, 0, never), new: version(r, 0, never), rand: r,
					learn: 1500 * time.Millisecond, news: time.Second,
				}
				c.change(s, r)
				out := s.run()
				t.Logf("seed %d: %+v", seed, *out)
				assert.Equal(t, out.phase, c.phase, "seed %d: %s", seed, out.reason)
				assert.Equal(t, out.failedCallers, 0, "requests without a usable target")
				if c.bad {
					checkBounds(t, out)
				}
				if c.phase == good {
					assert.Assert(t, out.endedAt < s.duration, "completed after %v", out.endedAt)
				}
			}
		})
	}
}

// TestTheExposureStaysWithinTheBound draws fleets, times of learning, cuts and restarts, and when and how a version turns bad.
func TestTheExposureStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := &site{
			vms: rapid.SampledFrom([]int{1, 6, 30}).Draw(t, "vms"), rate: rapid.SampledFrom([]float64{2, 20, 60}).Draw(t, "rate"),
			duration: time.Duration(rapid.IntRange(20, 90).Draw(t, "duration")) * time.Second, old: version(r, 0, never), rand: r,
			learn: time.Duration(rapid.IntRange(100, 2000).Draw(t, "learn")) * time.Millisecond,
			news:  time.Duration(rapid.IntRange(200, 1500).Draw(t, "news")) * time.Millisecond,
		}
		s.new = version(r, rapid.Float64Range(0.3, 1).Draw(t, "failed"), after(time.Duration(rapid.Float64Range(0, 0.6).Draw(t, "bad from")*float64(s.duration))))
		cutFrom := time.Duration(rapid.IntRange(0, 60).Draw(t, "cut from")) * time.Second
		cutVMs := rapid.IntRange(0, max(1, s.vms/3)).Draw(t, "cut VMs")
		s.cut = func(vm int, at time.Duration) bool { return vm < cutVMs && at > cutFrom && at < cutFrom+20*time.Second }
		restartAt := time.Duration(rapid.IntRange(1, 60).Draw(t, "restart")) * time.Second
		every := rapid.IntRange(1, 4).Draw(t, "restarted")
		s.restarts = func(vm int, at time.Duration) bool { return at == restartAt && vm%every == 0 }
		out := s.run()
		assert.Equal(t, out.phase, clementineport.RolloutRolledBack, "%+v", out)
		checkBounds(t, out)
	})
}

// TestOldTargetsThatAreGoneDontLiftTheBound guards against a bad version that gets all requests because nothing else is left.
func TestOldTargetsThatAreGoneDontLiftTheBound(t *testing.T) {
	tracker := cprollout.NewTracker(cprollout.WithBounds(bounds))
	order := &clementineport.RolloutOrder{Service: service, Version: "v2", Duration: minute, Revision: 5}
	state := &clementineport.RolloutStatus{Service: service, Version: "v2", Order: 5, Revision: 6, Phase: clementineport.RolloutCanary, Share: 0.03}
	rollout := cprollout.New(order, state)
	now := time.Unix(1000, 0)
	total, fresh := 0, 0
	for at := time.Duration(0); at < minute; at += 10 * time.Millisecond {
		tracker.Set(now.Add(at), map[clementineport.ServiceID]*cprollout.Rollout{service: rollout}, 1)
		tracker.Arrived(service, "a", rollout)
		total++
		if tracker.Plan(service, "a", rollout, true, 0) != cprollout.UseOld { // there is no old target
			tracker.Sent(service, "a", cprollout.NewVersion, false)
			fresh++
		}
	}
	assert.Assert(t, float64(fresh) <= bounds.Share*float64(total)+bounds.Slack, "%d of %d", fresh, total)
	assert.Assert(t, fresh > 0)
}
