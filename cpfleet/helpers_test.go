package cpfleet_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfaketarget"
	"github.com/clementineport/clementineport/cpview"
)

var client = &http.Client{Timeout: 10 * time.Second}

// call makes an HTTP call with a JSON body and decodes the JSON response into reply, unless that is nil.
func (f *fleet) call(method, address, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	w, err := client.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	data, err = io.ReadAll(w.Body)
	switch {
	case err != nil:
		return err
	case w.StatusCode/100 != 2:
		return fmt.Errorf("%s %s: %s: %s", method, path, w.Status, data)
	case reply == nil:
		return nil
	}
	return json.Unmarshal(data, reply)
}

// command runs the operators' command line against all entry VMs. It returns standard output, standard error and the
// exit code.
func (f *fleet) command(args ...string) (string, string, int) {
	f.t.Helper()
	return f.commandAt(f.entries, args...)
}

// commandAt is like command for the given entry VMs.
func (f *fleet) commandAt(entries []*entry, args ...string) (string, string, int) {
	f.t.Helper()
	var operators []string
	for _, e := range entries {
		operators = append(operators, e.vm.Operator)
	}
	args = append(args, "--operator", strings.Join(operators, ","), "--token-file", f.file("token"), "--json")
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(filepath.Join(f.binaries, "clementineport"), args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		f.t.Fatal(err)
	}
	return stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()
}

// mustRun runs a command that must succeed and decodes its output into reply, unless that is nil.
func (f *fleet) mustRun(reply any, args ...string) {
	f.t.Helper()
	stdout, stderr, code := f.command(args...)
	assert.Equal(f.t, code, 0, "%v: %s %s", args, stdout, stderr)
	if reply != nil {
		assert.NilError(f.t, json.Unmarshal([]byte(stdout), reply))
	}
}

// submit submits an estate and waits until it is in force.
func (f *fleet) submit(text string) {
	f.t.Helper()
	var reply struct{ Revision clementineport.Revision }
	f.mustRun(&reply, "submit", f.textFile(text), "--based-on", fmt.Sprint(f.revision), "--wait", maxWait.String())
	f.revision = reply.Revision
}

// textFile writes a text to a new file and returns its path.
func (f *fleet) textFile(text string) string {
	file, err := os.CreateTemp(f.dir, "estate")
	assert.NilError(f.t, err)
	_, err = file.WriteString(text)
	assert.NilError(f.t, errors.Join(err, file.Close()))
	return file.Name()
}

// changeDomain runs take-out or bring-back for a failure domain and returns the time of the change.
func (f *fleet) changeDomain(action, domain string) time.Time {
	f.t.Helper()
	f.mustRun(nil, action, "domain", domain)
	cfg := f.config()
	f.revision = cfg.Revision
	return cfg.Changes[len(cfg.Changes)-1].At
}

// config returns the configuration in force.
func (f *fleet) config() (cfg clementineport.Config) {
	f.t.Helper()
	var reply struct {
		Revision clementineport.Revision
		Out      clementineport.OutOfService
		Changes  []clementineport.Change
	}
	f.mustRun(&reply, "show")
	return clementineport.Config{Revision: reply.Revision, OutOfService: reply.Out, Changes: reply.Changes}
}

// status returns the state of the fleet as operators see it.
func (f *fleet) status() (s cpview.Status) {
	f.t.Helper()
	f.mustRun(&s, "status")
	return s
}

// estate returns the text of an estate in which target n is in failure domain n/shards and holds, of each layout, the
// shards whose ID modulo shards is n modulo shards. Element i of layouts is the number of shards of layout i+1; a layout
// of 0 shards is left out.
func (f *fleet) estate(layouts []int) string {
	var b strings.Builder
	b.WriteString("Region: local\nDomains: [a, b, c]\nServices:\n")
	b.WriteString("  - {Name: lookup, DependsOn: [lookup], Index: lookup, Deadline: 10s, Class: interactive, LeastCoverage: 1, BelowLeast: mark, Prefer: coverage}\n")
	b.WriteString("Indexes:\n  - Name: lookup\n    Layouts:\n")
	for i, n := range layouts {
		if n > 0 {
			fmt.Fprintf(&b, "      - {Layout: %d, Shards: %d}\n", i+1, n)
		}
	}
	fmt.Fprintf(&b, "Groups:\n  - {Name: lookup, Index: lookup, Slots: %d, Queue: %d, Connections: %d, ConnectionCost: 1ms}\nTargets:\n", slots, slots, connections)
	for n := range len(domains) * shards {
		address := f.options.proxyAddress(fmt.Sprintf("127.0.0.1:%d", f.firstTargetPort+n))
		fmt.Fprintf(&b, "  - {ID: lookup-%d, Group: lookup, Address: %q, Domain: %c, Holds: [", n, address, domains[n/shards])
		var holds []string
		for i, count := range layouts {
			var held []string
			for shard := n % shards; shard < count; shard += shards {
				held = append(held, fmt.Sprint(shard))
			}
			if count > 0 {
				holds = append(holds, fmt.Sprintf("{Layout: %d, Shards: [%s]}", i+1, strings.Join(held, ", ")))
			}
		}
		b.WriteString(strings.Join(holds, ", ") + "]}\n")
	}
	return b.String()
}

// domainTargets returns the indexes of the targets in a failure domain.
func domainTargets(domain string) []int {
	first := strings.Index(domains, domain) * shards
	return []int{first, first + 1, first + 2}
}

// commandTargets sends a command to the targets' admin endpoint.
func (f *fleet) commandTargets(c cpfaketarget.Command) {
	f.t.Helper()
	assert.NilError(f.t, f.call(http.MethodPost, f.adminAddress, "/admin", c, nil))
}

// stats returns the counters of all targets.
func (f *fleet) stats() []cpfaketarget.Stats {
	f.t.Helper()
	var reply struct{ Targets []cpfaketarget.Stats }
	assert.NilError(f.t, f.call(http.MethodGet, f.adminAddress, "/admin/stats", nil, &reply))
	return reply.Targets
}

// setStoreFault makes the next calls to the store fail, or all calls until clearStoreFaults if calls is 0. With writes,
// only writes fail. With directory, calls to the directory fail instead.
func (f *fleet) setStoreFault(mode string, calls int, writes, directory bool) {
	f.t.Helper()
	assert.NilError(f.t, f.call(http.MethodPost, f.storeAddress, "/admin/faults", struct {
		Mode              string
		Calls             int
		Writes, Directory bool
	}{mode, calls, writes, directory}, nil))
}

// clearStoreFaults ends all faults of the store and the directory.
func (f *fleet) clearStoreFaults() {
	f.t.Helper()
	assert.NilError(f.t, f.call(http.MethodDelete, f.storeAddress, "/admin/faults", nil, nil))
}

// eventually polls until check succeeds, and fails the test if it does not within maxWait.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: condition not met within %s: %v", what, maxWait, err)
}
