package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host name of all routes.
const host = "search.example"

// site is a small deployment: a store, searchers, the processes of the system and a record of what happens.
type site struct {
	root, dir string
	store     *store
	searchers []*searcher
	vms       []*vm
	record    *record
	// coldPerSecond is what the configuration says of each service.
	coldPerSecond float64
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.lineAt(time.Now(), format, args...)
}

func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newSite prepares a deployment with a number of VMs, which it doesn't start. The zones are taken in turn.
func newSite(root, caseDir string, vms int, zones []string) (*site, error) {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &site{root: root, dir: dir, record: &record{file: file, began: time.Now()}}
	if s.store, err = newStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	base := 10 + os.Getpid()%200
	ips := make([]string, vms)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.%d.1", base, i+1)
	}
	if !isFree(ips, 9464) {
		return nil, fmt.Errorf("the port of the metrics in the deploy file is in use")
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	seeds := make([]string, 0, 3)
	for _, ip := range ips[:min(3, vms)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.control))
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i), ip: ip, zone: zone, ports: p, command: command}
		v.settings = filepath.Join(dir, v.name+".conf")
		text := v.settingsText(zones, strings.Join(seeds, ","), s.store.address())
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if v.log, err = os.Create(filepath.Join(dir, v.name+".log")); err != nil {
			return nil, err
		}
		s.vms = append(s.vms, v)
	}
	return s, nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) close() {
	for _, v := range s.vms {
		v.stop()
		_ = v.log.Close() // the process has ended
	}
	for _, x := range s.searchers {
		x.close()
	}
	s.store.close()
	_ = s.record.file.Close() // every line has been written
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir) // a rest is harmless
}

// addSearchers starts searchers of a service, one in each zone.
func (s *site) addSearchers(service string, zones []string, work time.Duration) error {
	for _, zone := range zones {
		x, err := newSearcher(s.store, "127.0.0.1", "i-"+service+"-"+zone, service, zone, 6, work)
		if err != nil {
			return err
		}
		s.searchers = append(s.searchers, x)
	}
	return nil
}

// startAll starts the VMs and waits until all are ready and registered.
func (s *site) startAll() error {
	for _, v := range s.vms {
		if err := v.start(s.root); err != nil {
			return err
		}
	}
	return s.until(20*time.Second, "all processes are ready", func() bool {
		for _, v := range s.vms {
			if !v.ready() {
				return false
			}
		}
		return s.store.keys("vms/") == len(s.vms)
	})
}

// until waits for a condition.
func (s *site) until(limit time.Duration, what string, reached func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if reached() {
			s.record.line("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// route is a route in the format of the operator's configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"route_type"`
	TimeoutMS   int    `json:"timeout_ms"`
	ObjectiveMS int    `json:"slo_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// plainRoute returns a route to one service.
func plainRoute(name, prefix, kind, service string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: kind, TimeoutMS: 2000, ObjectiveMS: 500, Priority: 1, Service: service,
		MaxAttempts: 2,
	}
}

// configure writes a version of the configuration.
func (s *site) configure(version int, services []string, routes ...route) {
	type service struct {
		Name        string  `json:"name"`
		Health      string  `json:"health_path"`
		Connections int     `json:"max_conns"`
		ColdStartS  float64 `json:"cold_start_s"`
		ColdPerS    float64 `json:"cold_per_s"`
	}
	var all []service
	for _, name := range services {
		all = append(all, service{name, "/health", 45, 3, s.coldPerSecond})
	}
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	s.record.line("the operator writes version %d of the configuration, and the store acknowledges it", version)
}

// answer is what a client got for one request.
type answer struct {
	vm      string
	id      string
	path    string
	sent    time.Time
	at      time.Time
	status  int
	stamp   string
	failure string
	// started is when the process that was asked was started, where a case needs it.
	started time.Time
}

// ask sends one request to a VM over a new connection.
func (s *site) ask(v *vm, method, path, id, body string, deadline time.Duration) answer {
	a := answer{vm: v.name, id: id, path: path, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", v.ip, v.ports.front, path), strings.NewReader(body))
	if err != nil {
		a.failure = err.Error()
		return a
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // it has been read
	}
	if err != nil {
		a.failure = err.Error()
	}
	a.at = time.Now()
	return a
}

// load sends requests until ctx ends and returns the answers.
func (s *site) load(ctx context.Context, pause time.Duration, paths ...string) []answer {
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		for i, v := range s.vms {
			path, id := paths[n%len(paths)], fmt.Sprintf("a%d-%06d", i, n)
			wg.Go(func() {
				a := s.ask(v, http.MethodGet, path+id, id, "", 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	wg.Wait()
	return all
}

// writeAnswers writes all answers and runs to the record.
func (s *site) writeAnswers(all []answer) {
	for _, a := range all {
		s.record.lineAt(a.sent, "%s sent to %s: %s; answered after %d ms: %d %s %s", a.id, a.vm, a.path, a.at.Sub(a.sent).Milliseconds(), a.status, a.stamp, a.failure)
	}
	for _, x := range s.searchers {
		for _, r := range x.allRuns() {
			s.record.lineAt(r.at, "%s run by %s of %s", r.id, r.searcher, r.service)
		}
	}
}
