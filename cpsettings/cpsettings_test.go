package cpsettings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/cpsettings"
	"github.com/clementineport/clementineport/cpyaml"
)

const secret = "correct-horse-battery"

func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../examples/entry.yaml")
	assert.NilError(t, err)
	return string(text)
}

// maxQueryDeadline is the longest deadline of a query that the caller API accepts.
const maxQueryDeadline = time.Minute

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	tokenFile, file := filepath.Join(dir, "token"), filepath.Join(dir, "entry.yaml")
	assert.NilError(t, os.WriteFile(tokenFile, []byte(secret+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(example(t), "tmp/token", tokenFile, 1)), 0o600))
	s, err := cpsettings.Load(file)
	assert.NilError(t, err)
	assert.Equal(t, s.Advertise, s.Listen, "advertised addresses default to the listen addresses")
	assert.Equal(t, s.Limits.BodyBytes, cpyaml.Size(64<<10))
	assert.Equal(t, s.Limits.HeaderBytes, cpsettings.Defaults().Limits.HeaderBytes)
	assert.Equal(t, s.Shutdown.Whole, 75*time.Second)
	for _, s := range []cpsettings.Shutdown{s.Shutdown, cpsettings.Defaults().Shutdown} {
		assert.Assert(t, s.Whole >= s.AdviceLife+cpdrain.NewOptions().PropagationTime+maxQueryDeadline, "the shutdown would abort queries in flight")
	}
	assert.Equal(t, s.Token.Len(), len(secret))

	assert.NilError(t, os.WriteFile(tokenFile, []byte("short\n"), 0o600))
	_, err = cpsettings.Load(file)
	assert.ErrorContains(t, err, "less than 16 bytes")
	_, err = cpsettings.Load(filepath.Join(dir, "absent"))
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

func TestTokenIsHidden(t *testing.T) {
	s, err := cpsettings.Parse([]byte(strings.Replace(example(t), "TokenFile: tmp/token", "Token: "+secret, 1)))
	assert.NilError(t, err)
	asJSON, err := json.Marshal(s)
	assert.NilError(t, err)
	for _, text := range []string{
		fmt.Sprint(s), fmt.Sprintf("%v %+v %#v %s %d %x", *s, *s, *s, s.Token, s.Token, s.Token), s.Token.String(), string(asJSON),
	} {
		assert.Assert(t, !strings.Contains(text, secret), text)
		assert.Assert(t, !strings.Contains(text, fmt.Sprintf("%x", secret)), text)
	}
}

func TestFaults(t *testing.T) {
	good := example(t)
	for _, c := range []struct{ old, with, key, problem string }{
		{"VM: vm-a1", "VM: VM_1", "VM", `is "VM_1"`},
		{"Domain: a", "Domains: a", "Domains", "unknown key"},
		{"127.0.0.1:18001", "localhost:18001", "Listen", `Peer is "localhost:18001"`},
		{"127.0.0.1:18001", "127.0.0.1:18000", "Listen", `Peer is "127.0.0.1:18000" too`},
		{"127.0.0.1:18001", "0.0.0.0:18001", "Advertise", `Peer is "0.0.0.0:18001"`},
		{"[127.0.0.1:18900]", "[]", "Store", "is empty"},
		{"[127.0.0.1:18900]", "[store:1]", "Store", `is "store:1"`},
		{"Directory: 127.0.0.1:18900", "Directory: none", "Directory", `is "none"`},
		{"TokenFile: tmp/token", "Token: short", "Token", "has 5 bytes"},
		{"TokenFile: tmp/token", "Peers: []", "Token", "both or neither"},
		{"BodyBytes: 64KiB", "BodyBytes: 64", "Limits.BodyBytes", `is "64"`},
		{"BodyBytes: 64KiB", "BodyBytes: 1GB", "Limits", "BodyBytes is 1000000000"},
		{"QueriesInProgress: 4096", "QueriesInProgress: 0", "Limits", "QueriesInProgress is 0"},
		{"AdviceLife: 10s", "AdviceLife: 90s", "Shutdown", "Whole is 1m15s"},
		{"Exporter: none", "Exporter: file", "Trace", `Exporter is "file"`},
		{"Exporter: none", "Exporter: otlp", "Trace", `Endpoint is ""`},
	} {
		t.Run(c.with, func(t *testing.T) {
			assert.Assert(t, strings.Contains(good, c.old))
			_, err := cpsettings.Parse([]byte(strings.Replace(good, c.old, c.with, 1)))
			var faults cpyaml.Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			found := false
			for _, f := range faults {
				found = found || f.Key == c.key && strings.Contains(f.Problem, c.problem) && f.Line > 0 && f.Allowed != ""
			}
			assert.Assert(t, found, "%v", err)
		})
	}
	_, err := cpsettings.Parse(nil)
	assert.Assert(t, err != nil)
}
