package cpcli_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcli"
	"github.com/clementineport/clementineport/cpoperator"
	"github.com/clementineport/clementineport/cpstore"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cptoken"
)

const (
	secret  = "correct-horse-battery"
	example = "../examples/small.yaml"
)

// entry serves the operator API of an entry with an in-memory store.
type entry struct {
	store   *cpstore.Store
	inForce atomic.Pointer[clementineport.Config]
	address string
	token   string
	// lagging is the revision that the status reports for vm-b.
	lagging atomic.Uint64
}

func newEntry(t *testing.T) *entry {
	t.Helper()
	e := &entry{store: cpstore.New(), token: filepath.Join(t.TempDir(), "token")}
	assert.NilError(t, os.WriteFile(e.token, []byte(secret+"\n"), 0o600))
	handler := cpoperator.New(
		cpoperator.WithToken(cptoken.New(secret)),
		cpoperator.WithCurrent(e.inForce.Load),
		cpoperator.WithOnAccepted(func(r *cpsubmit.Result) { e.inForce.Store(r.Config) }),
		cpoperator.WithSubmitter(cpsubmit.New(
			cpsubmit.WithStore(e.store), cpsubmit.WithInForce(e.inForce.Load), cpsubmit.WithBackoff(time.Millisecond, 2),
		)),
	)
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc(cpoperator.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"Rows":[{"VM":{"ID":"vm-a"},"Revision":99},{"VM":{"ID":"vm-b"},"Revision":%d},{"VM":{"ID":"vm-c"},"State":"dead"}]}`, e.lagging.Load())
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.address = server.Listener.Addr().String()
	return e
}

// run runs a command against the entry.
func (e *entry) run(command string, args ...string) (int, string) {
	return run(append([]string{command, "--operator", e.address, "--token-file", e.token}, args...)...)
}

func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := cpcli.Run(args, &out, &out)
	return code, out.String()
}

func TestOperatorCommands(t *testing.T) {
	e := newEntry(t)
	failStore := func(f cpstore.Failure) func() { return func() { e.store.Script.Add(f) } }
	for _, step := range []struct {
		before func()
		args   []string
		code   int
		want   string
	}{
		{nil, []string{"submit", example}, cpsubcommand.ExitUsage, "--based-on"},
		{nil, []string{"submit", "absent.yaml", "--based-on", "0"}, cpsubcommand.ExitFailed, "absent.yaml"},
		{nil, []string{"submit", example, "--based-on", "0", "--author", "ann"}, cpsubcommand.ExitOK, "accepted as revision 1"},
		{nil, []string{"submit", example, "--based-on", "0", "--author", "bob"}, cpsubcommand.ExitRefused, "revision 1 by ann: region or failure domains changed; service added"},
		{nil, []string{"submit", "config_test.go", "--based-on", "1"}, cpsubcommand.ExitRefused, "the text has faults: line"},
		{nil, []string{"take-out", "domain", "a", "--author", "cat", "--id", "out-a"}, cpsubcommand.ExitOK, "accepted as revision 2"},
		{nil, []string{"take-out", "domain", "a", "--author", "cat", "--id", "out-a"}, cpsubcommand.ExitOK, "accepted as revision 2"},
		{nil, []string{"take-out", "domain", "z"}, cpsubcommand.ExitRefused, "not a failure domain"},
		{nil, []string{"take-out", "rack", "a"}, cpsubcommand.ExitRefused, "Kind"},
		{nil, []string{"take-out", "vm"}, cpsubcommand.ExitUsage, "vm or domain"},
		{failStore(cpstore.Failure{Mode: cpstore.ModeLoseReply, Calls: 1, WritesOnly: true}), []string{"bring-back", "domain", "a"}, cpsubcommand.ExitOK, "revision 3"},
		{failStore(cpstore.Failure{Mode: cpstore.ModeDown, Calls: 2}), []string{"take-out", "vm", "x"}, cpsubcommand.ExitUnreachable, "nothing was written"},
		{failStore(cpstore.Failure{Mode: cpstore.ModeResetBefore, Calls: 2, WritesOnly: true}), []string{"take-out", "vm", "x", "--id", "x"}, cpsubcommand.ExitUnknown, "--id x"},
		{nil, []string{"take-out", "vm", "x", "--id", "x", "--wait", "50ms"}, cpsubcommand.ExitUnknown, "not confirmed by vm-b"},
		{func() { e.lagging.Store(9) }, []string{"bring-back", "vm", "x", "--wait", "5s", "--json"}, cpsubcommand.ExitOK, `"Revision":5`},
		{nil, []string{"show"}, cpsubcommand.ExitOK, "Region: local"},
		{nil, []string{"history"}, cpsubcommand.ExitOK, "take-out domain a"},
	} {
		if step.before != nil {
			step.before()
		}
		code, out := e.run(step.args[0], step.args[1:]...)
		assert.Equal(t, code, step.code, "%v: %s", step.args, out)
		assert.Assert(t, strings.Contains(out, step.want), "%v: %s", step.args, out)
		assert.Assert(t, !strings.Contains(out, secret))
	}
	_, out := e.run("show", "--json")
	var shown struct {
		Revision clementineport.Revision
		Text     string
		Changes  []clementineport.Change
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &shown))
	text, err := os.ReadFile(example)
	assert.NilError(t, err)
	assert.Equal(t, shown.Text, string(text))
	assert.Equal(t, len(shown.Changes), 5)
}

func TestTokenAndAddresses(t *testing.T) {
	e := newEntry(t)
	wrong := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(wrong, []byte("another-token-of-16"), 0o600))
	code, _ := run("show", "--operator", e.address, "--token-file", wrong)
	assert.Equal(t, code, cpsubcommand.ExitRefused)
	code, _ = run("show", "--operator", e.address)
	assert.Equal(t, code, cpsubcommand.ExitUsage)
	code, _ = run("show", "--operator", "127.0.0.1:1", "--token-file", e.token)
	assert.Equal(t, code, cpsubcommand.ExitUnreachable)
	code, out := run("show", "--operator", "127.0.0.1:1,"+e.address, "--token-file", e.token)
	assert.Equal(t, code, cpsubcommand.ExitOK, out)
	t.Setenv("CLEMENTINEPORT_OPERATOR", e.address)
	t.Setenv("CLEMENTINEPORT_TOKEN_FILE", e.token)
	code, out = run("history")
	assert.Equal(t, code, cpsubcommand.ExitOK, out)
	for _, body := range []string{"", "{", `{"Texts":""}`, `{"BasedOn":-1}`} {
		r := httptest.NewRequest(http.MethodPost, "http://"+e.address+cpoperator.SubmitPath, strings.NewReader(body))
		r.RequestURI = ""
		cptoken.New(secret).Set(r.Header)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
		assert.NilError(t, resp.Body.Close())
	}
}

func TestCheckAndGenerate(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", example}, cpsubcommand.ExitOK, "2 services"},
		{[]string{"check", "../examples/entry.yaml"}, cpsubcommand.ExitOK, "settings of VM vm-a1"},
		{[]string{"check", "../examples/entry.yaml", "--kind", "estate"}, cpsubcommand.ExitRefused, "unknown key"},
		{[]string{"check", example, "--kind", "odd"}, cpsubcommand.ExitUsage, "--kind"},
		{[]string{"check", "--json", bad}, cpsubcommand.ExitRefused, `"Key":"Region"`},
		{[]string{"check"}, cpsubcommand.ExitUsage, "one file"},
		{[]string{"check", "--odd"}, cpsubcommand.ExitUsage, "odd"},
		{[]string{"generate", "--size", "two-year"}, cpsubcommand.ExitOK, "records-new-1699"},
		{[]string{"generate", "--size", "odd"}, cpsubcommand.ExitUsage, "unknown size"},
	} {
		assert.NilError(t, os.WriteFile(bad, []byte("Region: X\n"), 0o600))
		code, out := run(c.args...)
		assert.Equal(t, code, c.code, "%v: %.300s", c.args, out)
		assert.Assert(t, strings.Contains(out, c.want), "%v: %.300s", c.args, out)
	}
}
