// Package cpestatediff summarizes the differences between two estate texts in one line, for operators whose submission
// conflicted with another one or who read the history.
package cpestatediff

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
)

// maxNamed is the maximum number of names that Diff lists for each kind of change.
const maxNamed = 5

// Diff returns a one-line summary of the differences between two texts. It treats an invalid text as empty.
func Diff(from, to []byte) string {
	a, b := parseOrEmpty(from), parseOrEmpty(to)
	var parts []string
	if a.Region != b.Region || !slices.Equal(a.Domains, b.Domains) {
		parts = append(parts, "region or failure domains changed")
	}
	parts = append(parts, diffItems("service", a.Services, b.Services, func(s *clementineport.Service) string { return string(s.Name) })...)
	parts = append(parts, diffItems("index", a.Indexes, b.Indexes, func(x *clementineport.Index) string { return string(x.Name) })...)
	parts = append(parts, diffItems("group", a.Groups, b.Groups, func(g *clementineport.Group) string { return string(g.Name) })...)
	parts = append(parts, diffItems("target", a.Targets, b.Targets, func(t *clementineport.TargetSpec) string { return string(t.ID) })...)
	if len(parts) == 0 {
		return "the estate is unchanged"
	}
	return strings.Join(parts, "; ")
}

func parseOrEmpty(text []byte) *clementineport.Estate {
	if e, err := cpestate.Parse(text); err == nil {
		return e
	}
	return &clementineport.Estate{}
}

// diffItems lists what was added, removed and changed between two lists of named items.
func diffItems[T any](kind string, from, to []T, name func(*T) string) []string {
	old := make(map[string]*T, len(from))
	for i := range from {
		old[name(&from[i])] = &from[i]
	}
	var added, changed, removed []string
	for i := range to {
		id := name(&to[i])
		before, known := old[id]
		switch {
		case !known:
			added = append(added, id)
		case !reflect.DeepEqual(*before, to[i]):
			changed = append(changed, id)
		}
		delete(old, id)
	}
	for id := range old {
		removed = append(removed, id)
	}
	slices.Sort(removed)
	var parts []string
	for _, p := range []struct {
		verb  string
		names []string
	}{{"added", added}, {"removed", removed}, {"changed", changed}} {
		if len(p.names) > 0 {
			parts = append(parts, fmt.Sprintf("%s %s: %s", kind, p.verb, shortList(p.names)))
		}
	}
	return parts
}

func shortList(names []string) string {
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}
