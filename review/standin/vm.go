package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one machine: an address on the loopback network on which a process of the project runs.
type vm struct {
	name, zone, ip                   string
	front, ready, control, directory string
	settings                         string
	root                             string
	log                              *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// metricsPort is the port that the deploy file names.
const metricsPort = "9464"

// freeIP returns a loopback address on which the port of the metrics is free.
func freeIP(seed, n int) (string, error) {
	for i := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+(seed+i)%200, 1+(seed/200+i)%250, 10+n)
		ln, err := net.Listen("tcp", ip+":"+metricsPort)
		if err == nil {
			ln.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with a free port %s", metricsPort)
}

// freePorts returns addresses with different ports that are free now.
func freePorts(ip string, n int) (addresses []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

func newVM(dir, root string, seed, n int, zone string) (*vm, error) {
	ip, err := freeIP(seed, n)
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: ip, root: root}
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	v.front, v.ready, v.control, v.directory = ports[0], ports[1], ports[2], ports[3]
	v.settings = filepath.Join(dir, v.name+".conf")
	v.log, err = os.Create(filepath.Join(dir, v.name+".log"))
	return v, err
}

// writeSettings writes the settings file with the fields and bounds of the site achubwr-search.
func (v *vm) writeSettings(storeAddress string, all []*vm, zones []string, extra string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name=%s\nrole=entry\nmachine_class=front\nserves=front,control,directory\nip=%s\nzone=%s\nregion=cymru-south\n", v.name, v.ip, v.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=cymru-south\n", z)
	}
	var seeds []string
	for _, o := range all {
		seeds = append(seeds, o.control)
	}
	fmt.Fprintf(&b, "listen.front=%s\nlisten.ready_addr=%s\nlisten.control=%s\nlisten.directory=%s\nport_range=7740,7755\nseeds=%s\n",
		v.front, v.ready, v.control, v.directory, strings.Join(seeds[:min(3, len(seeds))], ","))
	b.WriteString(siteSettings)
	fmt.Fprintf(&b, "platform.address=%s\n%s", storeAddress, extra)
	return os.WriteFile(v.settings, []byte(b.String()), 0o600)
}

const siteSettings = `bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_mode=directory
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,scatter,places,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=12000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=52
bounds.cold_overrun=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.ttl_max_s=5
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	cmd := exec.Command(filepath.Join(v.root, "target", "clementineport"), "platform", "--metrics-port", metricsPort)
	cmd.Dir = v.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CLEMENTINEPORT_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// stop kills the process and waits for its end.
func (v *vm) stop() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.ended
}

// running reports whether the process has not ended.
func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// waitReady waits until the machine's readiness check succeeds.
func (v *vm) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/clementineport/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	text, _ := os.ReadFile(v.log.Name())
	return fmt.Errorf("%s is not ready after %v, running %v: %.600s", v.name, limit, v.running(), text)
}
