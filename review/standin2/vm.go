package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ports are the ports of a VM. They are the same on all VMs of a case.
type ports struct{ front, ready, control, directory int }

// vm is one process of the system, on its own loopback address.
type vm struct {
	name, ip, zone string
	ports          ports
	command        []string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	ended          chan struct{}
}

// deployCommand returns the words of the command in the deploy file.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file names no command")
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	var found []int
	for len(found) < 4 {
		l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close() // it was only opened to find the port
		if isFree(ips, port) {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3]}, nil
}

// isFree reports whether a port is free on all addresses.
func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close() // it was only opened to find out
	}
	return true
}

// settingsText returns the settings file of a VM, with the bounds of the smallest deployment of the pages.
func (v *vm) settingsText(zones []string, seeds, storeAddress string) string {
	var b strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	line("node_name", v.name)
	line("role", "entry")
	line("machine_class", "front")
	line("serves", "front,control,directory")
	line("ip", v.ip)
	line("zone", v.zone)
	line("region", "north")
	for _, zone := range zones {
		line("zones."+zone, "north")
	}
	line("listen.front", fmt.Sprintf("%s:%d", v.ip, v.ports.front))
	line("listen.ready_addr", fmt.Sprintf("%s:%d", v.ip, v.ports.ready))
	line("listen.control", fmt.Sprintf("%s:%d", v.ip, v.ports.control))
	line("listen.directory", fmt.Sprintf("%s:%d", v.ip, v.ports.directory))
	line("seeds", seeds)
	b.WriteString(`bootstrap=true
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
`)
	line("platform.address", storeAddress)
	return b.String()
}

// start starts the process.
func (v *vm) start(root string) error {
	cmd := exec.Command(filepath.Join(root, v.command[0]), v.command[1:]...)
	cmd.Dir = root
	cmd.Env = []string{"CLEMENTINEPORT_CONFIG=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.ended = cmd, make(chan struct{})
	ended := v.ended
	go func() {
		_ = cmd.Wait() // processes are ended by signals
		close(ended)
	}()
	return nil
}

// stop kills the process and waits for its end.
func (v *vm) stop() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill() // fails only if it has ended
	<-v.ended
}

// running reports whether the process runs.
func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// ready asks the process whether it is ready.
func (v *vm) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/clementineport/ready", v.ip, v.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing was written
	return resp.StatusCode == http.StatusOK
}
