package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["cold-owners"] = coldOwners }

// Bound of the requests that a cold searcher may get in a second: cold_per_s x cold_overrun + cold_slack.
const (
	coldPerS    = 3.0
	coldOverrun = 1.5
	coldSlack   = 5.0
	coldBound   = coldPerS*coldOverrun + coldSlack
	coldTime    = 3 * time.Second // cold_start_s
)

// arrival is a request that has reached a cold searcher.
type arrival struct {
	attempt  string
	sent, at time.Time
}

// coldOwners kills fourteen of twenty-four processes at the same moment while the three searchers of a service are cold.
func coldOwners(d *deployment) (broken []string, err error) {
	zones := []string{"cymru-south-a", "cymru-south-b", "cymru-south-c"}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	arrivals := map[*searcher][]arrival{}
	runs := func(s *searcher, attempt string) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[s] = append(arrivals[s], arrival{attempt, sent[attempt], time.Now()})
	}
	var searchers []*searcher
	for i := range 3 {
		searchers = append(searchers, &searcher{id: fmt.Sprintf("i-%04d", i), service: "shard-1", zone: zones[i], slots: 6, queue: 36, runs: runs})
	}
	if err := d.begin(zones, searchers...); err != nil {
		return nil, err
	}
	shard := service("shard-1", 45)
	shard["cold_per_s"], shard["cold_start_s"] = coldPerS, coldTime.Seconds()
	d.configure(7, []map[string]any{route("r-shard", "/shard/", "idempotent", "shard-1", 1200, 200, 2)}, []map[string]any{shard})
	var at []string
	for i := range 24 {
		at = append(at, zones[i%3])
	}
	if err := d.startVMs(at, 10*time.Second); err != nil {
		return nil, err
	}
	c := &client{record: d.record, prefix: "f6a7"}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 3 * len(d.vms) { // clients that open new connections to the addresses that they know
		wg.Go(func() {
			v := d.vms[i%len(d.vms)]
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := &attempt{id: c.nextID(), vm: v}
				conn, err := net.DialTimeout("tcp", v.front, time.Second)
				if err != nil {
					continue
				}
				mu.Lock()
				sent[a.id] = time.Now()
				mu.Unlock()
				c.exchange(conn, bufio.NewReader(conn), a, "GET", "/shard/takes/20/x", 1200*time.Millisecond, "")
				conn.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for _, s := range searchers {
		d.store.put("servers/"+s.id, s.entry(int(coldTime.Milliseconds()), 2))
	}
	cold := time.Now()
	d.record.line("the three searchers have become cold for %v", coldTime)
	time.Sleep(1500 * time.Millisecond)
	if d.trouble {
		d.record.line("DISRUPTION: 14 of %d processes are killed at the same moment, and start again", len(d.vms))
		for _, v := range d.vms[:14] {
			_ = v.cmd.Process.Kill()
		}
		for _, v := range d.vms[:14] {
			<-v.ended
			if err := v.start(); err != nil {
				return nil, err
			}
		}
	}
	warm := cold.Add(coldTime)
	time.Sleep(time.Until(warm))
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, s := range searchers {
		// A machine that has not learned of the cold searcher yet is no fault: the check begins a second after its entry.
		worst := busiestSecond(arrivals[s], cold.Add(time.Second), warm.Add(-50*time.Millisecond))
		d.record.line("%s got %d requests in its busiest second while it was cold", s.id, len(worst))
		if float64(len(worst)) > coldBound {
			broken = append(broken, fmt.Sprintf("FAILBACK: %s got %d requests between %.3f and %.3f s after it became cold, %.1f are allowed in a second",
				s.id, len(worst), worst[0].at.Sub(cold).Seconds(), worst[len(worst)-1].at.Sub(cold).Seconds(), coldBound))
		}
	}
	return broken, nil
}

// busiestSecond returns the arrivals of the second with the most requests that were sent and arrived inside it.
func busiestSecond(all []arrival, from, to time.Time) (worst []arrival) {
	for _, first := range all {
		begin := first.sent
		if begin.Before(from) || begin.Add(time.Second).After(to.Add(time.Second)) {
			continue
		}
		var in []arrival
		for _, a := range all {
			if !a.sent.Before(begin) && a.at.Before(begin.Add(time.Second)) && a.at.Before(to) {
				in = append(in, a)
			}
		}
		if len(in) > len(worst) {
			worst = in
		}
	}
	return worst
}
