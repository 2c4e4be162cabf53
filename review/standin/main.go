// The program standin runs the cases of the review: it starts the project's processes, the stand-ins of the platform's store,
// of the searchers and of the clients, brings one disruption about, and checks one rule by what clients and searchers see.
//
//	standin CASE ROOT FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// deployment is what a case runs on.
type deployment struct {
	record    *record
	trouble   bool
	store     *store
	searchers []*searcher
	vms       []*vm
	zones     []string
	root, dir string
	// idleTimeout is the limit of that name in the configuration.
	idleTimeout time.Duration

	mu  sync.Mutex
	ran map[string][]string // the searchers that have run an attempt
}

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]func(*deployment) (broken []string, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &deployment{record: rec, trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, idleTimeout: 15 * time.Second, ran: map[string][]string{}}
	defer os.RemoveAll(dir)
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](d)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(115 * time.Second):
		r.err = fmt.Errorf("not done after 115 s")
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		d.keepLogs(keep)
	}
	switch {
	case r.err != nil:
		rec.line("case could not run: %v", r.err)
		fmt.Println("case could not run:", r.err)
		return 2
	case len(r.broken) > 0:
		for _, b := range r.broken {
			rec.line("BROKEN %s", b)
			fmt.Println("BROKEN", b)
		}
		return 1
	default:
		rec.line("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}

func (d *deployment) keepLogs(to string) {
	for _, v := range d.vms {
		text, _ := os.ReadFile(v.log.Name())
		_ = os.WriteFile(filepath.Join(to, filepath.Base(v.log.Name())), text, 0o600)
	}
}

// stop ends all processes that the case has started.
func (d *deployment) stop() {
	for _, v := range d.vms {
		v.stop()
	}
}

// runs records that a searcher has begun to work on an attempt.
func (d *deployment) runs(s *searcher, attempt string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ran[attempt] = append(d.ran[attempt], s.id)
}

func (d *deployment) ranAt(attempt string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.ran[attempt]...)
}

// begin starts the store and the searchers.
func (d *deployment) begin(zones []string, searchers ...*searcher) error {
	d.zones = zones
	var err error
	if d.store, err = newStore("127.0.0.1"); err != nil {
		return err
	}
	for _, s := range searchers {
		s.record = d.record
		if s.runs == nil {
			s.runs = d.runs
		}
		if err := newSearcher(s, "127.0.0.1"); err != nil {
			return err
		}
		d.searchers = append(d.searchers, s)
		d.store.put("servers/"+s.id, s.entry(0, 1))
	}
	return nil
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, routes, services []map[string]any) {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": d.idleTimeout.Milliseconds()},
	})
	if err != nil {
		panic(err) // values of these types always encode
	}
	d.store.put("op/config", text)
	d.record.line("operator writes version %d: %s", version, text)
}

// startVMs starts one process for each of the zones and waits until all are ready, and then the site's lead time.
func (d *deployment) startVMs(zones []string, lead time.Duration) error {
	seed := os.Getpid()
	for n, zone := range zones {
		v, err := newVM(d.dir, d.root, seed, n, zone)
		if err != nil {
			return err
		}
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		if err := v.writeSettings(d.store.address(), d.vms, d.zones, ""); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		d.record.line("started %s at %s in %s", v.name, v.front, v.zone)
	}
	for _, v := range d.vms {
		if err := v.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(lead)
	return nil
}

// route and service return entries of a configuration.
func route(name, prefix, kind, service string, timeout, slo, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeout, "slo_ms": slo, "priority": 2,
		"service": service, "max_attempts": attempts,
	}
}

func service(name string, conns int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": conns, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 0.0,
	}
}
