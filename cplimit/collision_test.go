package cplimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Parameters of a simulation of entry VMs that share targets.
const (
	entryVMs        = 8
	targetQueue     = 4
	oneWayDelay     = 500 * time.Microsecond
	ownerDelay      = 50 * time.Microsecond
	stragglerShare  = 0.01
	stragglerFactor = 10
	meanServiceTime = 10900 * time.Microsecond
	maxAttempts     = 3
	domains         = 3
	simulatedTime   = 10 * time.Second
)

// collision is one run of the simulation, with a strategy for choosing targets and the size of the group.
type collision struct {
	// strategy names how a VM chooses a target: "owner" uses package cppick, "owner-two" and "alone" take the less loaded
	// of two random targets, "order" prefers targets in an order of its own, and "random" takes any. With "owner" and
	// "owner-two", the limiter of the target's owner admits the calls; the others send to the target directly.
	strategy                 string
	slots, targets, replicas int
	load                     float64

	rng          *rand.Rand
	schedule     schedule
	targetModels []*modelTarget
	// reportedLoad is the load of each target that each VM has last received, and inFlight the calls of the VM in flight.
	reportedLoad, inFlight [entryVMs][]int
	views                  [entryVMs]clementineport.TargetView
	now                    time.Time
	calls                  int
	shedCalls              [2]int // by the owner and by the target
	latencies, queueTimes  []time.Duration
}

type job struct {
	vm, shard, replica int
	started            time.Time
	tried              []int
	ticket             cplimit.Ticket
}

// modelTarget is a target with the limiter of its owner.
type modelTarget struct {
	running int
	queue   []func(now time.Time)
	limiter *cplimit.TargetLimiter
	jobs    map[cplimit.Ticket]*job
}

func (c *collision) run() {
	c.rng = rand.New(rand.NewPCG(1, 2))
	o := cplimit.NewOptions()
	o.SlowStart.Disabled, o.HandoverTime = true, 0
	for i := range c.targets {
		g := &clementineport.Group{Slots: c.slots, Queue: targetQueue}
		limiter := cplimit.NewTargetLimiter(&o, uint64(i), g, &cpslowstart.Average{}, start)
		c.targetModels = append(c.targetModels, &modelTarget{limiter: limiter, jobs: map[cplimit.Ticket]*job{}})
	}
	for vm := range c.reportedLoad {
		c.reportedLoad[vm], c.inFlight[vm] = make([]int, c.targets), make([]int, c.targets)
		c.views[vm] = cppick.New(cppick.Seed(uint64(vm))).View(c.table())
	}
	c.arrive(start)
	c.schedule.runUntil(start.Add(simulatedTime))
	slices.Sort(c.latencies)
	slices.Sort(c.queueTimes)
}

func (c *collision) table() *clementineport.Table {
	t := &clementineport.Table{ByID: map[clementineport.TargetID]clementineport.TargetIndex{}}
	for i := range c.targets {
		id := clementineport.TargetID(fmt.Sprint(i))
		t.ByID[id] = clementineport.TargetIndex(i)
		t.Targets = append(t.Targets, clementineport.TargetRow{TargetSpec: clementineport.TargetSpec{
			ID: id, Domain: clementineport.FailureDomain(fmt.Sprint(i % domains)),
		}})
	}
	return t
}

// arrive starts one call and schedules the next.
func (c *collision) arrive(now time.Time) {
	c.calls++
	j := &job{vm: c.rng.IntN(entryVMs), shard: c.rng.IntN(c.targets / c.replicas), started: now, ticket: cplimit.Ticket(c.calls)}
	c.send(now, j)
	rate := c.load * float64(c.slots*c.targets) / float64(meanServiceTime)
	c.schedule.add(now.Add(time.Duration(c.rng.ExpFloat64()/rate)), c.arrive)
}

func (c *collision) send(now time.Time, j *job) {
	c.now = now
	j.replica = c.choose(j)
	j.tried = append(j.tried, j.replica)
	c.inFlight[j.vm][j.replica]++
	c.views[j.vm].Sent(clementineport.TargetIndex(j.replica))
	if c.strategy == "owner" || c.strategy == "owner-two" {
		c.schedule.add(now.Add(oneWayDelay), func(now time.Time) { c.offer(now, j) })
		return
	}
	c.schedule.add(now.Add(oneWayDelay), func(sent time.Time) {
		c.serve(sent, j, func(now time.Time, shed bool) {
			target := c.targetModels[j.replica]
			c.reply(sent, now, j, shed, target.running+len(target.queue))
		})
	})
}

// choose returns a replica of the job's shard that has not been tried.
func (c *collision) choose(j *job) int {
	var untried []int
	for r := range c.replicas {
		if t := j.shard*c.replicas + r; !slices.Contains(j.tried, t) {
			untried = append(untried, t)
		}
	}
	load := func(t int) int { return max(c.reportedLoad[j.vm][t], c.inFlight[j.vm][t]) }
	switch c.strategy {
	case "owner":
		return c.pickTarget(j, untried)
	case "random":
		return untried[c.rng.IntN(len(untried))]
	case "order":
		rank := func(t int) uint64 { return rand.New(rand.NewPCG(uint64(t), uint64(j.vm))).Uint64() }
		slices.SortFunc(untried, func(a, b int) int {
			share := func(t int) int { return c.inFlight[j.vm][t] / max(c.slots/entryVMs, 1) }
			if share(a) != share(b) {
				return share(a) - share(b)
			}
			if rank(a) < rank(b) {
				return -1
			}
			return 1
		})
		return untried[0]
	}
	a, b := untried[c.rng.IntN(len(untried))], untried[c.rng.IntN(len(untried))]
	if load(b) < load(a) {
		return b
	}
	return a
}

// pickTarget chooses a target with package cppick.
func (c *collision) pickTarget(j *job, untried []int) int {
	r := &clementineport.PickRequest{Now: c.now, Home: clementineport.FailureDomain(fmt.Sprint(j.vm % domains))}
	for _, t := range untried {
		r.Replicas = append(r.Replicas, clementineport.TargetIndex(t))
	}
	if t, ok := c.views[j.vm].Pick(r); ok {
		return int(t)
	}
	return untried[0]
}

// offer sends a job to the owner of its target.
func (c *collision) offer(now time.Time, j *job) {
	target := c.targetModels[j.replica]
	target.jobs[j.ticket] = j
	c.apply(now, target, target.limiter.Offer(now, cplimit.Request{Ticket: j.ticket, Deadline: now.Add(time.Second)}))
}

func (c *collision) apply(now time.Time, target *modelTarget, decisions []cplimit.Decision) {
	for _, d := range slices.Clone(decisions) {
		j := target.jobs[d.Ticket]
		delete(target.jobs, d.Ticket)
		if d.Err != nil {
			c.shedCalls[0]++
			c.reply(now, now, j, true, target.limiter.InUse()+target.limiter.Queued())
			continue
		}
		c.schedule.add(now.Add(ownerDelay), func(sent time.Time) {
			c.serve(sent, j, func(now time.Time, _ bool) {
				now = now.Add(ownerDelay)
				c.apply(now, target, target.limiter.Done(now, j.ticket, answer(now.Sub(sent))))
				c.reply(sent, now, j, false, target.limiter.InUse()+target.limiter.Queued())
			})
		})
	}
}

// serve runs a job at its target, which queues up to targetQueue jobs and sheds the others.
func (c *collision) serve(now time.Time, j *job, done func(now time.Time, shed bool)) {
	target := c.targetModels[j.replica]
	arrived := now
	begin := func(now time.Time) {
		target.running++
		c.queueTimes = append(c.queueTimes, now.Sub(arrived))
		d := (0.5 + c.rng.Float64()) * float64(serviceTime)
		if c.rng.Float64() < stragglerShare {
			d *= stragglerFactor
		}
		c.schedule.add(now.Add(time.Duration(d)), func(now time.Time) {
			target.running--
			if len(target.queue) > 0 {
				next := target.queue[0]
				target.queue = target.queue[1:]
				next(now)
			}
			done(now, false)
		})
	}
	switch {
	case target.running < c.slots:
		begin(now)
	case len(target.queue) < targetQueue:
		target.queue = append(target.queue, begin)
	default:
		c.shedCalls[1]++
		done(now, true)
	}
}

// reply returns the result and the load of the target to the VM, which retries a shed job at another replica.
func (c *collision) reply(sent, now time.Time, j *job, shed bool, load int) {
	replica := j.replica
	c.schedule.add(now.Add(oneWayDelay), func(now time.Time) {
		c.inFlight[j.vm][replica]--
		c.reportedLoad[j.vm][replica] = load
		res := answer(now.Sub(sent))
		if shed {
			res = failure(clementineport.FaultShed, 0)
		}
		res.Load = load
		c.views[j.vm].Observe(clementineport.TargetIndex(replica), now, res)
		switch {
		case !shed:
			c.latencies = append(c.latencies, now.Sub(j.started))
		case len(j.tried) < maxAttempts:
			c.send(now, j)
		}
	})
}

func percentile(sorted []time.Duration, p float64) float64 {
	return float64(sorted[int(math.Ceil(p*float64(len(sorted))))-1]) / float64(time.Millisecond)
}

// BenchmarkCollision compares strategies for choosing targets by eight entry VMs, in virtual time.
func BenchmarkCollision(b *testing.B) {
	for _, size := range [][3]int{{6, 30, 10}, {4, 30, 10}, {3, 35, 5}, {2, 35, 5}} {
		for _, load := range []int{50, 80, 95} {
			for _, strategy := range []string{"owner", "owner-two", "alone", "order", "random"} {
				name := fmt.Sprintf("Slots=%d/Targets=%d/Load=%d/Way=%s", size[0], size[1], load, strategy)
				b.Run(name, func(b *testing.B) {
					c := &collision{strategy: strategy, slots: size[0], targets: size[1], replicas: size[2], load: float64(load) / 100}
					c.run()
					for range b.N {
						continue
					}
					waiting, _ := slices.BinarySearch(c.queueTimes, 1)
					b.ReportMetric(100*float64(len(c.queueTimes)-waiting)/float64(len(c.queueTimes)), "%queued-at-target")
					b.ReportMetric(100*float64(c.shedCalls[1])/float64(c.calls), "%shed-by-target")
					b.ReportMetric(100*float64(c.shedCalls[0])/float64(c.calls), "%shed-by-owner")
					b.ReportMetric(percentile(c.latencies, 0.5), "p50-ms")
					b.ReportMetric(percentile(c.latencies, 0.99), "p99-ms")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
