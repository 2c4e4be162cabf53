package main

import (
	"context"
	"slices"
	"time"
)

// Parameters of the case.
const (
	// coldStart is how long a searcher is cold after its start, and coldPerSecond the requests a second that it tolerates meanwhile.
	coldStart     = 3 * time.Second
	coldPerSecond = 5
	// coldOverrun and coldSlack are the bounds of the settings.
	coldOverrun = 1.5
	coldSlack   = 5
	// downTime is the time from the crash of the searchers to the next start of the first one; the others follow at startGap.
	downTime = 600 * time.Millisecond
	startGap = 100 * time.Millisecond
	// crashesOfAll is how often all searchers of the service crash.
	crashesOfAll = 6
)

// playCold lets all searchers of a service crash. They start again under the ids that they had, and are cold.
func playCold(root, dir string, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	s, err := newSite(root, dir, 3, zones)
	if err != nil {
		return 0, err
	}
	defer s.close()
	s.coldPerSecond = coldPerSecond
	if err := s.addSearchers("plain", zones, 5*time.Millisecond); err != nil {
		return 0, err
	}
	if err := s.addSearchers("other", zones, 5*time.Millisecond); err != nil {
		return 0, err
	}
	s.configure(3, []string{"plain", "other"}, plainRoute("one", "/one/", "idempotent", "plain"), plainRoute("two", "/two/", "idempotent", "other"))
	if err := s.startAll(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan []answer, 1)
	go func() { answers <- s.load(ctx, 25*time.Millisecond, "/one/") }()
	time.Sleep(5 * time.Second)
	for range crashesOfAll {
		if trouble {
			if err := s.crashAll("plain"); err != nil {
				return 0, err
			}
		}
		time.Sleep(8 * time.Second)
	}
	cancel()
	all := <-answers
	s.writeAnswers(all)
	return s.judgeCold(), nil
}

// crashAll lets all searchers of a service crash and start again under their ids.
func (s *site) crashAll(service string) error {
	var crashed []*searcher
	for _, x := range s.searchers {
		x.mu.Lock()
		if x.service == service && !x.crashed {
			crashed = append(crashed, x)
		}
		x.mu.Unlock()
	}
	for _, x := range crashed {
		x.crash()
		s.record.line("searcher %s crashes", x.id)
	}
	time.Sleep(downTime)
	for i, x := range crashed {
		if i > 0 {
			time.Sleep(startGap)
		}
		again, err := newColdSearcher(s.store, x.address, x.id, x.service, x.zone, x.capacity, x.work, coldStart)
		if err != nil {
			return err
		}
		s.record.line("searcher %s starts again and registers as cold for %v", x.id, coldStart)
		s.searchers = append(s.searchers, again)
	}
	return nil
}

// judgeCold returns how many starts of searchers got more requests in some second than the rule allows while they were cold.
func (s *site) judgeCold() (breaches int) {
	allowed := coldPerSecond*coldOverrun + coldSlack
	for _, x := range s.searchers {
		if x.coldFor == 0 {
			continue
		}
		var arrived []time.Time
		for _, r := range x.allRuns() {
			if r.at.Before(time.UnixMilli(x.born).Add(x.coldFor)) {
				arrived = append(arrived, r.at)
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		most := 0
		for i := range arrived {
			n := 0
			for _, at := range arrived[i:] {
				if at.Sub(arrived[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		s.record.lineAt(time.UnixMilli(x.born), "while searcher %s was cold after this start, it got %d requests, at most %d in one second; the rule allows %v", x.id, len(arrived), most, allowed)
		if float64(most) > allowed {
			breaches++
			s.record.lineAt(time.UnixMilli(x.born), "BROKEN")
		}
	}
	return breaches
}
