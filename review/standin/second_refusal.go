package main

import (
	"fmt"
	"sync"
	"time"
)

// The disruption comes in spans, with a calm time before each.
const (
	spans     = 9
	spanS     = 5
	pauseS    = 3
	perSecond = 160
)

func init() { cases["second-refusal"] = secondRefusal }

// secondRefusal lets half of the searchers send some of their answers twice, the second one late. These are refusals: the
// searchers are full now and then.
func secondRefusal(d *deployment) (broken []string, err error) {
	zones := []string{"cymru-south-a", "cymru-south-b"}
	var mu sync.Mutex
	answers, extras, on := 0, 0, false
	duplicate := func(status int) bool {
		mu.Lock()
		defer mu.Unlock()
		if !on {
			return false
		}
		answers++
		if status != 503 || float64(extras+1) > 0.03*float64(answers) {
			return false
		}
		extras++
		return true
	}
	var searchers []*searcher
	for i := range 4 {
		s := &searcher{id: fmt.Sprintf("i-%04d", i), service: "booking", zone: zones[i%2], slots: 2, queue: 0}
		if i < 2 {
			s.duplicate = duplicate
		}
		searchers = append(searchers, s)
	}
	if err := d.begin(zones, searchers...); err != nil {
		return nil, err
	}
	d.configure(7, []map[string]any{route("r-book", "/book/", "non_idempotent", "booking", 5000, 800, 1)}, []map[string]any{service("booking", 96)})
	if err := d.startVMs([]string{zones[0], zones[1], zones[0]}, 5*time.Second); err != nil {
		return nil, err
	}
	c := &client{record: d.record, prefix: "c3d4"}
	garble := func(begin bool) {
		mu.Lock()
		defer mu.Unlock()
		if begin {
			answers, extras, on = 0, 0, true
			d.record.line("DISRUPTION begins: two of four searchers send up to 3 of 100 answers twice")
		} else if on {
			on = false
			d.record.line("DISRUPTION ends: %d answers of the two searchers, %d of them sent twice", answers, extras)
		}
	}
	var all []*attempt
	var wg sync.WaitGroup
	began := time.Now()
	for i := range spans * (spanS + pauseS) * perSecond {
		second := i / perSecond % (spanS + pauseS)
		if d.trouble && i%perSecond == 0 && second == pauseS {
			garble(true)
		}
		if d.trouble && i%perSecond == 0 && second == 0 {
			garble(false)
		}
		wg.Go(func() {
			a := c.send(d.vms[i%3], "POST", "/book/takes/30/order", 2*time.Second, "")
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	wg.Wait()
	garble(false)
	for _, a := range all {
		at := d.ranAt(a.id)
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s has run at %v and was answered %d", a.id, at, a.status))
		}
		if (a.status == 503 || a.status == 429) && len(at) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and has run at %v", a.id, a.status, at))
		}
	}
	return broken, nil
}
