package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// resolve asks a machine's directory for addresses, as clients do.
func resolve(v *vm, zone string) ([]string, float64, error) {
	resp, err := http.Get("http://" + v.directory + "/clementineport/resolve?name=" + host + "&region=cymru-south&zone=" + zone)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addrs, answer.TTL, err
}

func init() { cases["late-term"] = lateTerm }

// lateTerm stops a machine, and sends it requests over new connections 3.02 to 3.14 s later. The clients have its address from
// an answer of the directory that they keep three times as long as stated.
func lateTerm(d *deployment) (broken []string, err error) {
	zones := []string{"cymru-south-a", "cymru-south-b"}
	var searchers []*searcher
	for i := range 6 {
		searchers = append(searchers, &searcher{id: fmt.Sprintf("i-%04d", i), service: "sync", zone: zones[i%2], slots: 6, queue: 12})
	}
	if err := d.begin(zones, searchers...); err != nil {
		return nil, err
	}
	d.configure(7, []map[string]any{route("r-sync", "/sync/", "idempotent", "sync", 5000, 800, 2)}, []map[string]any{service("sync", 96)})
	if err := d.startVMs(zones, 10*time.Second); err != nil {
		return nil, err
	}
	c := &client{record: d.record, prefix: "b2c3"}
	for i := range 20 {
		c.send(d.vms[i%2], "GET", "/sync/takes/10/warm", 2*time.Second, "")
	}
	leaving := d.vms[0]
	addrs, ttl, err := resolve(d.vms[1], zones[0])
	if err != nil || !slices.Contains(addrs, leaving.front) {
		return nil, fmt.Errorf("the directory does not name %s: %v %v", leaving.front, addrs, err)
	}
	resolved := time.Now()
	d.record.line("the directory names %v for %.1f s", addrs, ttl)
	time.Sleep(500 * time.Millisecond)
	signaled := time.Now()
	if d.trouble {
		d.record.line("DISRUPTION: SIGTERM to %s", leaving.name)
		leaving.signal(syscall.SIGTERM)
		go func() { // grace_s is 6
			time.Sleep(6 * time.Second)
			leaving.signal(syscall.SIGKILL)
		}()
	}
	var mu sync.Mutex
	var all []*attempt
	var wg sync.WaitGroup
	for i := range 7 {
		wg.Go(func() {
			time.Sleep(time.Until(signaled.Add(3020*time.Millisecond + time.Duration(i)*20*time.Millisecond)))
			a := &attempt{id: c.nextID(), vm: leaving}
			conn, err := net.DialTimeout("tcp", leaving.front, time.Second)
			if err != nil {
				d.record.line("client %s: %v", a.id, err)
				return
			}
			defer conn.Close()
			c.exchange(conn, bufio.NewReader(conn), a, "GET", "/sync/takes/2600/x", 5*time.Second, "")
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		})
	}
	wg.Wait()
	if age := 3140*time.Millisecond + signaled.Sub(resolved); age.Seconds() > 3*ttl {
		return nil, fmt.Errorf("the last request is sent %v after the directory's answer, which holds %v s", age, ttl)
	}
	for _, a := range all {
		at := d.ranAt(a.id)
		after := a.sentAt.Sub(signaled).Seconds()
		if a.err != nil && len(at) > 0 && after > 3 {
			broken = append(broken, fmt.Sprintf("LOST: %s, sent %.3f s after the SIGTERM, was passed on to %v and its connection ended at %.3f s without an answer: %v",
				a.id, after, at, a.read.Sub(signaled).Seconds(), a.err))
		}
	}
	if !d.trouble && len(all) == 0 {
		return nil, fmt.Errorf("no request was sent")
	}
	return broken, nil
}
