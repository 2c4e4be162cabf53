package cpworkspace_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpworkspace"
)

func workspace(name clementineport.WorkspaceID, keys ...string) clementineport.Workspace {
	w := clementineport.Workspace{Name: name}
	for _, key := range keys {
		w.Keys = append(w.Keys, clementineport.HashKey(key))
	}
	return w
}

// TestDecisions guards against requests that run without a valid key, and against valid keys that are refused because this VM's
// configuration is old.
func TestDecisions(t *testing.T) {
	index := cpworkspace.NewIndex([]clementineport.Workspace{workspace("a", "key-a")})
	const fresh, stale, old = time.Second, 3 * time.Second, 6 * time.Second
	known, unknown := cpworkspace.Present("key-a"), cpworkspace.Present("key-b")
	absent, malformed := cpworkspace.Presented{}, cpworkspace.Presented{State: cpworkspace.KeyMalformed}
	for _, row := range []struct {
		key       cpworkspace.Presented
		public    bool
		age       time.Duration
		maxKeyAge time.Duration
		want      cpworkspace.Outcome
	}{
		{known, false, fresh, 0, cpworkspace.OutcomeWorkspace},
		{known, true, fresh, 0, cpworkspace.OutcomeWorkspace},
		{known, false, old, 0, cpworkspace.OutcomeWorkspace},
		{known, false, old, 5 * time.Second, cpworkspace.OutcomeStale},
		{known, false, stale, 5 * time.Second, cpworkspace.OutcomeWorkspace},
		{known, true, old, 5 * time.Second, cpworkspace.OutcomeWorkspace},
		{unknown, false, fresh, 0, cpworkspace.OutcomeUnauthorized},
		{unknown, false, stale, 0, cpworkspace.OutcomeStale},
		{unknown, true, fresh, 0, cpworkspace.OutcomeAnonymous},
		{unknown, true, old, 5 * time.Second, cpworkspace.OutcomeAnonymous},
		{absent, false, fresh, 0, cpworkspace.OutcomeUnauthorized},
		{absent, false, stale, 0, cpworkspace.OutcomeStale},
		{absent, true, stale, 0, cpworkspace.OutcomeAnonymous},
		{malformed, false, fresh, 0, cpworkspace.OutcomeUnauthorized},
		{malformed, true, fresh, 0, cpworkspace.OutcomeAnonymous},
	} {
		auth := cpworkspace.New(cpworkspace.WithMaxKeyAge(row.maxKeyAge))
		d := auth.Authenticate(index, &clementineport.Route{Public: row.public}, row.key, row.age)
		assert.Equal(t, d.Outcome, row.want, "%+v", row)
		assert.Equal(t, d.Workspace == "a", row.want == cpworkspace.OutcomeWorkspace, "%+v", row)
		refused := row.want == cpworkspace.OutcomeUnauthorized || row.want == cpworkspace.OutcomeStale
		assert.Equal(t, d.Err() != nil, refused, "%+v", row)
		d = auth.Authenticate(cpworkspace.NewIndex(nil), &clementineport.Route{}, row.key, row.age)
		assert.Equal(t, d, cpworkspace.Decision{}, "without workspaces, requests need no keys")
	}
}

// TestAKeyOfTwoWorkspacesBelongsToTheFirst guards against VMs that attribute the requests of one key to different workspaces, and
// against keys of an entry without a name, whose requests would count as those without a key.
func TestAKeyOfTwoWorkspacesBelongsToTheFirst(t *testing.T) {
	index := cpworkspace.NewIndex([]clementineport.Workspace{workspace("", "lost"), workspace("b", "both"), workspace("a", "both", "own")})
	assert.Equal(t, index.Find(cpworkspace.Present("both")).Name, clementineport.WorkspaceID("b"))
	assert.Equal(t, index.Find(cpworkspace.Present("own")).Name, clementineport.WorkspaceID("a"))
	assert.Assert(t, index.Find(cpworkspace.Present("lost")) == nil)
	assert.Equal(t, index.Workspace("a").Name, clementineport.WorkspaceID("a"))
	assert.Assert(t, cpworkspace.NewIndex([]clementineport.Workspace{{}}).Required())
}

// TestALookupCopiesNothing guards against a cost of a request that rises with the number of keys.
func TestALookupCopiesNothing(t *testing.T) {
	workspaces := make([]clementineport.Workspace, 100)
	for i := range workspaces {
		workspaces[i].Name = clementineport.WorkspaceID(fmt.Sprint(i))
		for n := range 100 {
			workspaces[i].Keys = append(workspaces[i].Keys, clementineport.HashKey(fmt.Sprint(i, n)))
		}
	}
	index, auth, route := cpworkspace.NewIndex(workspaces), cpworkspace.New(), &clementineport.Route{}
	key := cpworkspace.Present("99 99")
	assert.Equal(t, auth.Authenticate(index, route, key, 0).Workspace, clementineport.WorkspaceID("99"))
	assert.Equal(t, testing.AllocsPerRun(100, func() { auth.Authenticate(index, route, key, 0) }), 0.0)
}

// TestNoTextHasAKeyOrItsHash guards against keys in logs. JSON has the hash, since VMs exchange it.
func TestNoTextHasAKeyOrItsHash(t *testing.T) {
	w, key := workspace("a", "secret"), cpworkspace.Present("secret")
	hash, err := w.Keys[0].MarshalText()
	assert.NilError(t, err)
	bytes := strings.Trim(fmt.Sprint([32]byte(w.Keys[0])), "[]")
	d := cpworkspace.New().Authenticate(cpworkspace.NewIndex([]clementineport.Workspace{w}), &clementineport.Route{}, cpworkspace.Present("secret-2"), 0)
	for _, v := range []any{w, &w, w.Keys, key, clementineport.RouteTable{Workspaces: []clementineport.Workspace{w}}, d, d.Err()} {
		for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d", "%q"} {
			text := fmt.Sprintf(verb, v)
			assert.Assert(t, !strings.Contains(text, "secret") && !strings.Contains(text, string(hash)) && !strings.Contains(text, bytes), text)
		}
	}
	text, err := json.Marshal(w)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), string(hash)) && !strings.Contains(string(text), "secret"))
}
