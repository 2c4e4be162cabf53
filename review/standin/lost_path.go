package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["lost-path"] = lostPath }

// lostPath cuts all machines of a zone off from all searchers, which are at work on requests that may run once at most.
func lostPath(d *deployment) (broken []string, err error) {
	zones := []string{"cymru-south-a", "cymru-south-b"}
	var searchers []*searcher
	for i := range 6 {
		searchers = append(searchers, &searcher{id: fmt.Sprintf("i-%04d", i), service: "booking", zone: zones[i%2], slots: 6, queue: 12})
	}
	if err := d.begin(zones, searchers...); err != nil {
		return nil, err
	}
	d.configure(7, []map[string]any{
		route("r-book", "/book/", "non_idempotent", "booking", 5000, 800, 2),
		route("r-find", "/find/", "idempotent", "booking", 5000, 800, 2),
	}, []map[string]any{service("booking", 96)})
	if err := d.startVMs([]string{zones[0], zones[0], zones[1]}, 5*time.Second); err != nil {
		return nil, err
	}
	c := &client{record: d.record, prefix: "a1b2"}
	spared := d.vms[2]
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { // the spared machine goes on over its open connections
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			c.send(spared, "GET", "/find/takes/5/x", 2*time.Second, spareHeader+": 1\r\n")
		}
	})
	for i := range 40 { // a calm second
		c.send(d.vms[i%2], "POST", "/book/takes/10/warm", 2*time.Second, "")
	}
	var mu sync.Mutex
	var all []*attempt
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			a := c.send(d.vms[i%2], "POST", "/book/takes/400/order", 3*time.Second, "")
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		})
	}
	time.Sleep(200 * time.Millisecond)
	if d.trouble {
		d.record.line("DISRUPTION: the machines in %s are cut off from all searchers", zones[0])
		var cuts sync.WaitGroup
		for _, s := range d.searchers {
			cuts.Go(s.beginCut)
		}
		cuts.Wait()
	}
	wg.Wait()
	if d.trouble {
		time.Sleep(time.Second)
		for _, s := range d.searchers {
			s.endCut()
		}
		d.record.line("the cut has ended")
	}
	time.Sleep(time.Second)
	close(stop)
	background.Wait()
	ran := 0
	for _, a := range all {
		at := d.ranAt(a.id)
		ran += min(1, len(at))
		if (a.status == 503 || a.status == 429) && len(at) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d (Retry-After %s) and has run at %v", a.id, a.status, a.header.Get("Retry-After"), at))
		}
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s has run at %v", a.id, at))
		}
	}
	if ran == 0 {
		return nil, fmt.Errorf("no request has run")
	}
	return broken, nil
}
