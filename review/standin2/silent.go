package main

import (
	"context"
	"strings"
	"time"
)

// Bounds of the settings, and the margin by which the check of this case is laxer than the rule.
const (
	configApply = 3000 * time.Millisecond
	contact     = 4000 * time.Millisecond
	margin      = 500 * time.Millisecond
)

// playSilent lets the open connections to the store go silent for good. New ones work. Then the configuration changes: it moves
// /move/ to another service, drops a route and adds one.
func playSilent(root, dir string, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	s, err := newSite(root, dir, 3, zones)
	if err != nil {
		return 0, err
	}
	defer s.close()
	services := []string{"first", "second"}
	for _, service := range services {
		if err := s.addSearchers(service, zones, 5*time.Millisecond); err != nil {
			return 0, err
		}
	}
	s.configure(3, services, routesOf(3)...)
	if err := s.startAll(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan []answer, 1)
	go func() { answers <- s.load(ctx, 50*time.Millisecond, "/move/", "/drop/", "/new/") }()
	var changes []versionChange
	for round := range rounds {
		if err := s.waitForMoment(); err != nil {
			return 0, err
		}
		changes = append(changes, s.change(4*round+3, services, trouble))
		time.Sleep(10 * time.Second)
	}
	cancel()
	all := <-answers
	s.writeAnswers(all)
	return s.judge(all, changes), nil
}

// rounds is how often the connections go silent, each time before a change of the configuration.
const rounds = 3

// waitForMoment waits until each process has renewed its lease lately and, if that comes soon enough, has just begun to watch the
// store.
func (s *site) waitForMoment() error {
	began := time.Now()
	return s.until(20*time.Second, "each process has renewed its lease a moment ago", func() bool {
		watching, age := s.store.oldestWatch()
		fresh := watching >= len(s.vms) && age < 600*time.Millisecond
		return s.renewedLately() && (fresh || time.Since(began) > 12*time.Second)
	})
}

// renewedLately reports whether each process has renewed its lease lately.
func (s *site) renewedLately() bool {
	at := s.store.renewals()
	first, last := time.Now(), time.Time{}
	for _, t := range at {
		if t.Before(first) {
			first = t
		}
		if t.After(last) {
			last = t
		}
	}
	return len(at) >= len(s.vms) && time.Since(first) < 1500*time.Millisecond && time.Since(last) > 100*time.Millisecond
}

// versionChange is a change of the configuration.
type versionChange struct {
	version int
	// due is when each machine in touch has to handle requests as the new version says.
	due   time.Time
	until time.Time
}

// change lets the connections go silent and writes the next version of the configuration after the given one. Versions alternate
// between two sets of routes.
func (s *site) change(version int, services []string, trouble bool) versionChange {
	var silentAt time.Time
	if trouble {
		silentAt = time.Now()
		s.record.line("%d open connections to the store go silent for good; new ones work", s.store.listener.silence())
	}
	time.Sleep(700 * time.Millisecond)
	s.configure(version+4, services, routesOf(version+4)...)
	due := time.Now().Add(configApply)
	if inTouch := silentAt.Add(contact); trouble && inTouch.After(due) {
		due = inTouch
	}
	due = due.Add(margin)
	return versionChange{version: version + 4, due: due, until: due.Add(5 * time.Second)}
}

// routesOf returns the routes of a version: the first, third and so on have /drop/ and send /move/ to the first service, the others
// have /new/ and send /move/ to the second service.
func routesOf(version int) []route {
	if (version-3)/4%2 == 0 {
		return []route{plainRoute("move", "/move/", "idempotent", "first"), plainRoute("drop", "/drop/", "idempotent", "first")}
	}
	return []route{plainRoute("move", "/move/", "idempotent", "second"), plainRoute("new", "/new/", "idempotent", "first")}
}

// judge counts the requests that were sent when a version was due and handled as only the version before allows.
func (s *site) judge(all []answer, changes []versionChange) (breaches int) {
	for _, c := range changes {
		s.record.lineAt(c.due, "from here on, each request has to be handled as version %d says", c.version)
		later, late := 0, 0
		for _, a := range all {
			if a.sent.Before(c.due) || a.sent.After(c.until) {
				continue
			}
			later++
			if what := asVersionBefore(c.version, a); what != "" {
				late++
				s.record.lineAt(a.sent, "BROKEN: %s at %s: %s, %v after version %d was due", a.id, a.vm, what, a.sent.Sub(c.due).Round(time.Millisecond), c.version)
			}
		}
		s.record.line("%d requests were sent when version %d was due at machines in touch; %d of them were handled as only the version before allows", later, c.version, late)
		breaches += late
	}
	return breaches
}

// asVersionBefore says in which way a request was handled as only the version before allows, or nothing.
func asVersionBefore(version int, a answer) string {
	even := (version-3)/4%2 == 0
	switch {
	case strings.HasPrefix(a.path, "/move/") && (even && strings.HasPrefix(a.stamp, "second.") || !even && strings.HasPrefix(a.stamp, "first.")):
		return "run by the old service"
	case strings.HasPrefix(a.path, "/drop/") && !even && a.status == 200, strings.HasPrefix(a.path, "/new/") && even && a.status == 200:
		return "run on a route that was dropped"
	case strings.HasPrefix(a.path, "/new/") && !even && a.status == 404, strings.HasPrefix(a.path, "/drop/") && even && a.status == 404:
		return "refused with 404 though the route is there"
	default:
		return ""
	}
}
