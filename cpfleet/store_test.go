package cpfleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsubcommand"
)

// awaitRevision waits until every entry VM has a revision in force and reports a restored revision.
func (f *fleet) awaitRevision(revision, restored clementineport.Revision) {
	f.t.Helper()
	for _, e := range f.entries {
		eventually(f.t, fmt.Sprintf("revision %d in force at %s", revision, e.name), func() error {
			out, stderr, code := f.commandAt([]*entry{e}, "status")
			var s struct{ Revision, Restored clementineport.Revision }
			if code != 0 || json.Unmarshal([]byte(out), &s) != nil || s.Revision != revision || s.Restored != restored {
				return fmt.Errorf("%s %s", out, stderr)
			}
			return nil
		})
	}
}

// TestStoreOutage checks that queries, a new entry VM and the propagation of an accepted change do not need the store,
// that a submission during the outage exits with ExitUnreachable or ExitUnknown, and that a store that is restored to an
// older revision does not replace the configuration in force.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.awaitAnswers(50)
	assert.NilError(t, f.call(http.MethodPost, f.storeAddress, "/admin/save", nil, nil))
	old := f.revision
	f.mustRun(nil, "take-out", "domain", "c")
	f.setStoreFault("down", 0, false, false)
	f.revision++
	accepted := f.config().Changes[old].At
	f.awaitRevision(f.revision, 0)
	f.awaitReady(f.startEntry("vm-fresh", "a"))
	f.awaitConvergence()
	_, stderr, code := f.command("submit", f.textFile(f.estate([]int{shards})), "--based-on", fmt.Sprint(f.revision))
	assert.Assert(t, code == cpsubcommand.ExitUnreachable || code == cpsubcommand.ExitUnknown, "exit code %d: %s", code, stderr)
	l.awaitAnswers(200)
	assert.NilError(t, f.call(http.MethodPost, f.storeAddress, "/admin/restore", nil, nil))
	f.clearStoreFaults()
	f.awaitRevision(f.revision, old)
	time.Sleep(time.Until(accepted.Add(applyDeadline + settleTime)))
	reportFaults(t, "calls to domain c", f.checkNoCalls("c", accepted))
	f.mustRun(nil, "bring-back", "domain", "c")
	f.revision = f.config().Revision
	assert.Equal(t, f.revision, old+2)
	f.awaitRevision(f.revision, 0)
	l.awaitAnswers(50)
	l.checkInvariants(true, true)
}

// TestSlowStore checks that a store that takes 500 ms for each call does not affect queries, and that a change is
// accepted and takes effect within applyDeadline.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.awaitAnswers(50)
	slow := struct{ Mode, Delay string }{"slow", "500ms"}
	assert.NilError(t, f.call(http.MethodPost, f.storeAddress, "/admin/faults", slow, nil))
	accepted := f.changeDomain("take-out", "c")
	time.Sleep(time.Until(accepted.Add(applyDeadline + settleTime)))
	reportFaults(t, "calls to domain c", f.checkNoCalls("c", accepted))
	f.awaitRevision(f.revision, 0)
	f.awaitReady(f.startEntry("vm-fresh", "a"))
	l.awaitAnswers(100)
	l.checkInvariants(true, true)
}

// TestFreshEntryFromPeers checks that an entry VM that starts while the store and the directory are down gets the
// configuration from the peers in its settings, and serves.
func TestFreshEntryFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{peers: true})
	f.setStoreFault("down", 0, false, false)
	f.setStoreFault("down", 0, false, true)
	fresh := f.startEntry("vm-fresh", "a")
	f.awaitReady(fresh)
	f.entries = []*entry{fresh}
	l := f.load("")
	l.awaitAnswers(100)
	l.checkInvariants(true, true)
}

// submitters is the number of operators that submit concurrently.
const submitters = 10

// TestOperatorRaces checks that exactly one of many concurrent submissions is accepted for each revision, that a
// submitted estate never returns a domain to service, and that a submission is reported as accepted if the store's reply
// was lost, and as the same revision if it is repeated.
func TestOperatorRaces(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	text := f.estate([]int{shards})
	for round := range 3 {
		base, codes := f.revision, f.submitConcurrently(text)
		assert.Equal(t, count(codes, cpsubcommand.ExitOK), 1, "round %d: %v", round, codes)
		assert.Equal(t, count(codes, cpsubcommand.ExitRefused), submitters-1, "round %d: %v", round, codes)
		f.revision = f.config().Revision
		assert.Equal(t, f.revision, base+1)
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.submitConcurrently(text) })
	_, stderr, code := f.command("take-out", "domain", "c")
	wg.Wait()
	assert.Equal(t, code, cpsubcommand.ExitOK, stderr)
	f.revision = f.config().Revision
	f.submitConcurrently(text)
	cfg := f.config()
	assert.DeepEqual(t, cfg.OutOfService.Domains, []clementineport.FailureDomain{"c"})
	f.revision = cfg.Revision

	f.setStoreFault("lose-reply", 0, true, false)
	var first, again struct {
		Revision clementineport.Revision
		Repeated bool
	}
	file, based := f.textFile(text+"# lost reply\n"), fmt.Sprint(f.revision)
	f.mustRun(&first, "submit", file, "--based-on", based, "--id", "lost-reply")
	f.clearStoreFaults()
	f.mustRun(&again, "submit", file, "--based-on", based, "--id", "lost-reply")
	assert.Assert(t, again.Repeated)
	assert.Equal(t, first.Revision, f.revision+1)
	assert.Equal(t, again.Revision, first.Revision)
	cfg = f.config()
	assert.Equal(t, cfg.Revision, first.Revision)
	revisions := map[clementineport.Revision]bool{}
	for _, c := range cfg.Changes {
		assert.Assert(t, !revisions[c.Revision], "revision %d was given twice", c.Revision)
		revisions[c.Revision] = true
	}
}

// count returns how often a code occurs.
func count(codes []int, code int) int {
	return len(codes) - len(slices.DeleteFunc(slices.Clone(codes), func(c int) bool { return c == code }))
}

// submitConcurrently submits a different text for each submitter concurrently, all based on the revision in force, and
// returns the exit codes.
func (f *fleet) submitConcurrently(text string) []int {
	codes := make([]int, submitters)
	var wg sync.WaitGroup
	for i := range codes {
		file, base := f.textFile(text+fmt.Sprintf("# operator %d\n", i)), fmt.Sprint(f.revision)
		wg.Go(func() {
			_, _, codes[i] = f.command("submit", file, "--based-on", base, "--author", fmt.Sprint("operator-", i))
		})
	}
	wg.Wait()
	return codes
}

// TestCallerErrors checks that an invalid request of a caller gets a 4xx status with a JSON body that states the error,
// that the caller address serves no calls of operators, and that the calls of operators require a token.
func TestCallerErrors(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	vm := f.entries[0].vm
	good := `{"Request":"r","Service":"lookup","Text":"t","Limit":1,"DeadlineMillis":1000,"Idempotent":true}`
	for _, c := range []struct {
		name, method, path, body string
		status                   int
	}{
		{"malformed", "POST", "/v1/query", `{"Request":`, http.StatusBadRequest},
		{"unknown key", "POST", "/v1/query", strings.Replace(good, `"Limit"`, `"Limits"`, 1), http.StatusBadRequest},
		{"wrong type", "POST", "/v1/query", strings.Replace(good, `:1,`, `:"one",`, 1), http.StatusBadRequest},
		{"no request id", "POST", "/v1/query", strings.Replace(good, `"r"`, `""`, 1), http.StatusBadRequest},
		{"limit too high", "POST", "/v1/query", strings.Replace(good, `:1,`, `:1000000,`, 1), http.StatusBadRequest},
		{"unknown service", "POST", "/v1/query", strings.Replace(good, "lookup", "other", 1), http.StatusNotFound},
		{"oversized", "POST", "/v1/query", strings.Replace(good, `"t"`, `"`+strings.Repeat("t", 1<<20)+`"`, 1), http.StatusRequestEntityTooLarge},
		{"unknown path", "POST", "/v1/other", good, http.StatusNotFound},
		{"wrong method", "GET", "/v1/query", "", http.StatusMethodNotAllowed},
		{"submit", "POST", "/v1/submit", `{}`, http.StatusNotFound},
		{"take-out", "POST", "/v1/out", `{}`, http.StatusNotFound},
		{"config", "GET", "/v1/config", "", http.StatusNotFound},
		{"status", "GET", "/v1/status", "", http.StatusNotFound},
		{"explain", "GET", "/v1/explain/r", "", http.StatusNotFound},
		{"metrics", "GET", "/metrics", "", http.StatusNotFound},
		{"profile", "GET", "/debug/pprof/profile", "", http.StatusNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequest(c.method, "http://"+vm.Caller+c.path, strings.NewReader(c.body))
			assert.NilError(t, err)
			r.Header.Set("Authorization", "Bearer "+token)
			w, err := client.Do(r)
			assert.NilError(t, err)
			defer w.Body.Close()
			assert.Equal(t, w.StatusCode, c.status)
			var body struct {
				Verdict clementineport.Verdict
				Fault   string
				Reason  string
			}
			assert.NilError(t, json.NewDecoder(w.Body).Decode(&body))
			assert.Equal(t, body.Verdict, clementineport.NotRun)
			assert.Assert(t, body.Reason != "" && body.Fault != "")
		})
	}
	for _, path := range []string{"/v1/submit", "/v1/out", "/v1/config", "/v1/status", "/v1/explain/r", "/debug/pprof/"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			err := f.call(method, vm.Operator, path, struct{}{}, nil)
			assert.Assert(t, err != nil, "%s %s without a token", method, path)
		}
	}
	assert.Equal(t, f.config().Revision, f.revision)
}
