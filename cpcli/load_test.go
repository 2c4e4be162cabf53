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
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpcli"
	"github.com/clementineport/clementineport/cpreport"
	"github.com/clementineport/clementineport/cpsubcommand"
)

func TestLoadAndPlot(t *testing.T) {
	var entry *httptest.Server
	entry = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			fmt.Fprintf(w, `{"Entries":[{"VM":"vm-1","Address":%q,"Ticket":"s.1"}],"LifeSeconds":20}`, entry.Listener.Addr())
			return
		}
		var body struct{ Request string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		fmt.Fprintf(w, `{"Request":%q,"Verdict":"ran","Snapshot":{"Version":1,"Layout":1},"Shards":1,"Covered":[0],"Complete":true}`, body.Request)
	}))
	defer entry.Close()
	address := entry.Listener.Addr().String()
	dir := t.TempDir()
	file, plot, timeline := filepath.Join(dir, "report.json"), filepath.Join(dir, "out.svg"), filepath.Join(dir, "out.csv")
	baseArgs := []string{"load", "--entries", address, "--duration", "100ms", "--rate", "200", "--non-idempotent", "0.5"}
	for _, tt := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"text", append(baseArgs, "--services", "desk=3,sync", "--timeline", timeline), cpsubcommand.ExitOK, "p99.9 ms"},
		{"json", append(baseArgs, "--services", "desk", "--json", "--policy", "current,baseline"), cpsubcommand.ExitOK, `"P99Millis"`},
		{"plot", []string{"plot", file, "--out", plot}, cpsubcommand.ExitOK, ""},
		{"no report", []string{"plot"}, cpsubcommand.ExitUsage, ""},
		{"no services", baseArgs, cpsubcommand.ExitUsage, ""},
		{"weight", append(baseArgs, "--services", "desk=x"), cpsubcommand.ExitUsage, ""},
		{"remote", []string{"load", "--entries", "192.0.2.1:80", "--services", "desk"}, cpsubcommand.ExitUsage, ""},
		{"unreachable", []string{"load", "--entries", "127.0.0.1:1", "--duration", "20ms", "--services", "desk"}, cpsubcommand.ExitUnreachable, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			assert.Equal(t, cpcli.Run(tt.args, &stdout, &stderr), tt.code, "%s", stderr.String())
			assert.Assert(t, strings.Contains(stdout.String(), tt.want), "%s", stdout.String())
			if tt.name == "json" {
				var report cpreport.Report
				assert.NilError(t, json.Unmarshal(stdout.Bytes(), &report))
				assert.Equal(t, len(report.Series), 2)
				assert.NilError(t, os.WriteFile(file, stdout.Bytes(), 0o600))
			}
		})
	}
	for name, want := range map[string]string{plot: "<svg", timeline: "Second,Policy"} {
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Contains(data, []byte(want)))
	}
}
