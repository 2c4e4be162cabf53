package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["descriptors"] = descriptors }

// maxDescriptors is the limit of a machine's process (limits.max_fds).
const maxDescriptors = 4100

// limitDescriptors sets the limit of the process on open descriptors to that of the machine.
func limitDescriptors(v *vm) error {
	limit := syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(v.cmd.Process.Pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// Callers of the case. Each keeps one connection and sends a request now and then, within the time for which it may reuse an idle
// connection: four fifths of idleTimeout. One request of longEvery takes long.
const (
	callers     = 4400
	callerPause = 18 * time.Second
	idleTimeout = 25 * time.Second
	longEvery   = 8
)

// descriptors removes one of two machines for good. Its callers connect to the other one.
func descriptors(d *deployment) (broken []string, err error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 2*maxDescriptors {
		return nil, fmt.Errorf("the stand-ins need %d descriptors and have %d", 2*maxDescriptors, own.Cur)
	}
	zones := []string{"cymru-south-a", "cymru-south-b"}
	var searchers []*searcher
	for i := range 24 {
		searchers = append(searchers, &searcher{id: fmt.Sprintf("i-%04d", i), service: "sync", zone: zones[i%2], slots: 6, queue: 12})
	}
	if err := d.begin(zones, searchers...); err != nil {
		return nil, err
	}
	d.idleTimeout = idleTimeout
	d.configure(7, []map[string]any{route("r-sync", "/sync/", "idempotent", "sync", 5000, 800, 2)}, []map[string]any{service("sync", 96)})
	if err := d.startVMs(zones, time.Second); err != nil {
		return nil, err
	}
	for _, v := range d.vms {
		if err := limitDescriptors(v); err != nil {
			return nil, fmt.Errorf("limit the descriptors of %s: %w", v.name, err)
		}
	}
	time.Sleep(4 * time.Second)
	left := d.vms[1]
	c := &client{record: d.record, prefix: "d4e5"}
	var removed atomic.Bool
	var mu sync.Mutex
	var cut, failed []*attempt
	served := map[bool]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c.call(d, i, stop, &removed, func(a *attempt, kept bool) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.err == nil && a.status == http.StatusOK:
					served[removed.Load()]++
				case a.vm == left && kept && a.err != nil && len(d.ranAt(a.id)) > 0:
					cut = append(cut, a)
				case a.vm == left:
					failed = append(failed, a)
				}
			})
		})
	}
	time.Sleep(callerPause + 2*time.Second)
	mu.Lock()
	d.record.line("%d served, %d failed, %d cut before the disruption", served[false], len(failed), len(cut))
	before := len(cut)
	mu.Unlock()
	if d.trouble {
		d.record.line("DISRUPTION: %s is removed for good", d.vms[0].name)
		d.vms[0].stop()
	}
	removed.Store(d.trouble)
	time.Sleep(callerPause + 4*time.Second)
	close(stop)
	wg.Wait()
	d.record.line("all callers have left")
	time.Sleep(3 * time.Second)
	var last []*attempt
	for range 10 { // are new callers served?
		last = append(last, c.send(left, "GET", "/sync/takes/20/late", 2*time.Second, ""))
	}
	addrs, _, err := resolve(left, left.zone)
	d.record.line("readiness check of %s: %v; its directory names %v (%v); its own address is %s", left.name, left.waitReady(time.Second), addrs, err, left.front)
	mu.Lock()
	defer mu.Unlock()
	d.record.line("%d served after the disruption, %d failed, %d cut", served[true], len(failed), len(cut))
	if len(cut)-before > 3 {
		broken = append(broken, fmt.Sprintf("LOST: %d requests from kept connections were passed on to sound searchers and their connections closed without an answer, such as %s after %.3f s: %v",
			len(cut)-before, cut[before].id, cut[before].read.Sub(cut[before].sentAt).Seconds(), cut[before].err))
	}
	lost := 0
	for _, a := range last {
		if a.err != nil {
			lost++
		}
	}
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("HANG: %d of %d calm requests on new connections got no answer 3 s after all callers had left: %v", lost, len(last), last[0].err))
	}
	return broken, nil
}

// call sends requests of one caller until stop is closed. It keeps its connection, and connects to another machine when it ends.
func (c *client) call(d *deployment, i int, stop chan struct{}, removed *atomic.Bool, done func(a *attempt, kept bool)) {
	v := d.vms[i%2]
	var conn net.Conn
	var reader *bufio.Reader
	kept := false
	pause := time.Duration(rand.Int63n(int64(callerPause)))
	for {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(pause):
		}
		pause = callerPause
		if conn == nil {
			if removed.Load() {
				v = d.vms[1]
			}
			var err error
			if conn, err = net.DialTimeout("tcp", v.front, time.Second); err != nil {
				conn, v = nil, d.vms[1] // the machine has failed the caller
				pause = 300 * time.Millisecond
				continue
			}
			reader, kept = bufio.NewReader(conn), false
		}
		a := &attempt{id: c.nextID(), vm: v}
		work := 20
		if rand.Intn(longEvery) == 0 {
			work = 1200
		}
		c.exchange(conn, reader, a, "GET", fmt.Sprintf("/sync/takes/%d/x", work), 5*time.Second, "")
		done(a, kept)
		kept = true
		if a.err != nil {
			conn.Close()
			conn = nil
			v = d.vms[1]
			pause = 2 * time.Second
		}
	}
}
