package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case.
const (
	// backAfter is how long a searcher is away after a crash. By then its entry has been removed.
	backAfter = 4 * time.Second
	// roundPause is the time after a round of deadly requests; in a round, one request comes at each machine.
	roundPause = 6 * time.Second
	// restartDelay is the time from the kill of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// kills is how often all processes are killed.
const kills = 2

// maxDeadlyRetries is the number of retries that the rule allows to reach searchers.
const maxDeadlyRetries = 3

// deadlyPath is the path of the request that crashes each searcher that begins to run it.
const deadlyPath = "/one/deadly"

// crashes counts the crashes of searchers.
type crashes struct {
	mu    sync.Mutex
	count int
	third time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count++; c.count == 3 {
		c.third = time.Now()
	}
}

// playDeadly sends a request that crashes searchers, again and again, and kills all processes of the system at once,
// several times.
func playDeadly(root, dir string, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	s, err := newSite(root, dir, 3, zones)
	if err != nil {
		return 0, err
	}
	defer s.close()
	d := &deadlyCase{site: s, crashes: &crashes{}, started: time.Now()}
	for i := range 12 {
		if err := d.startSearcher("127.0.0.1:0", zones[i%3], i, 1); err != nil {
			return 0, err
		}
	}
	s.configure(3, []string{"plain"}, plainRoute("one", "/one/", "idempotent", "plain"))
	if err := s.startAll(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan []answer, 1)
	go func() { answers <- s.load(ctx, 50*time.Millisecond, "/one/") }()
	time.Sleep(4 * time.Second)
	deadly := d.round(0)
	for round := range kills {
		time.Sleep(roundPause)
		if trouble {
			if err := d.killAll(); err != nil {
				return 0, err
			}
			time.Sleep(contact + margin)
		}
		deadly = append(deadly, d.round(round+1)...)
	}
	time.Sleep(time.Second)
	cancel()
	all := <-answers
	s.writeAnswers(append(all, deadly...))
	return d.judge(deadly), nil
}

// deadlyCase is the state of the case.
type deadlyCase struct {
	*site
	crashes *crashes
	// started is when the processes of the system were last started.
	started time.Time

	mu sync.Mutex
}

// startSearcher starts a searcher that comes back with a new id after a crash.
func (d *deadlyCase) startSearcher(address, zone string, place, start int) error {
	x, err := newSearcherAt(d.store, address, fmt.Sprintf("i-plain-%d-%d", place, start), "plain", zone, 6, 5*time.Millisecond)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.deadly = deadlyPath
	x.onCrash = func() {
		d.crashes.add()
		d.record.line("searcher %s crashes", x.id)
		time.AfterFunc(3600*time.Millisecond, func() { d.store.delete("servers/" + x.id) })
		time.AfterFunc(backAfter, func() {
			if err := d.startSearcher(x.address, zone, place, start+1); err != nil {
				d.record.line("the searcher of place %d doesn't come back: %v", place, err)
			}
		})
	}
	x.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.searchers = append(d.searchers, x)
	return nil
}

// killAll kills all processes of the system at the same moment and starts them again.
func (d *deadlyCase) killAll() error {
	d.record.line("all processes of the system are killed at the same moment, and start again after %v", restartDelay)
	for _, v := range d.vms {
		_ = v.cmd.Process.Kill() // fails only if the process has ended
	}
	for _, v := range d.vms {
		<-v.ended
	}
	time.Sleep(restartDelay)
	d.started = time.Now()
	return d.startAll()
}

// round sends the deadly request to each machine, one after the other.
func (d *deadlyCase) round(round int) (answers []answer) {
	for i, v := range d.vms {
		a := d.ask(v, http.MethodGet, deadlyPath, fmt.Sprintf("deadly-%d-%d", round, i), "", 2*time.Second)
		a.started = d.started
		answers = append(answers, a)
		time.Sleep(500 * time.Millisecond)
	}
	return answers
}

// judge returns how many retries too many have reached searchers.
func (d *deadlyCase) judge(deadly []answer) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached := map[string]int{}
	for _, x := range d.searchers {
		for _, r := range x.allRuns() {
			reached[r.id]++
		}
	}
	from := d.crashes.third.Add(contact)
	d.record.lineAt(d.crashes.third, "the request crashes a searcher for the third time")
	counted := 0
	for _, a := range deadly {
		if reached[a.id] == 0 || a.sent.Before(from) || a.sent.Sub(a.started) < contact {
			continue
		}
		counted++
		d.record.lineAt(a.sent, "retry %d that reaches searchers (%d of them) from a machine in touch, more than %v after the third crash: %s", counted, reached[a.id], contact, a.id)
	}
	d.record.line("%d retries have reached searchers; the rule allows %d. The request has crashed %d searchers", counted, maxDeadlyRetries, d.crashes.count)
	if counted > maxDeadlyRetries {
		d.record.line("BROKEN")
	}
	return max(0, counted-maxDeadlyRetries)
}
