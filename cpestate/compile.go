package cpestate

import (
	"slices"

	"github.com/clementineport/clementineport"
)

// Compile converts a checked estate to the table that the query path reads.
func Compile(revision clementineport.Revision, e *clementineport.Estate, out clementineport.OutOfService) *clementineport.Table {
	t := &clementineport.Table{
		Revision:     revision,
		OutOfService: out,
		Targets:      make([]clementineport.TargetRow, len(e.Targets)),
		ByID:         make(map[clementineport.TargetID]clementineport.TargetIndex, len(e.Targets)),
		Services:     make(map[clementineport.ServiceID]*clementineport.ServiceTable, len(e.Services)),
	}
	groups := make(map[clementineport.GroupID]clementineport.Group, len(e.Groups))
	for _, g := range e.Groups {
		groups[g.Name] = g
	}
	for i, spec := range e.Targets {
		t.Targets[i] = clementineport.TargetRow{
			TargetSpec:   spec,
			Group:        groups[spec.Group],
			OutOfService: spec.Domain != "" && slices.Contains(out.Domains, spec.Domain),
		}
		t.ByID[spec.ID] = clementineport.TargetIndex(i)
	}
	for _, s := range e.Services {
		t.Services[s.Name] = compileService(e, s)
	}
	return t
}

// compileService returns the table of a service with the layouts of which its targets hold shards.
func compileService(e *clementineport.Estate, s clementineport.Service) *clementineport.ServiceTable {
	table := &clementineport.ServiceTable{Service: s}
	for _, index := range e.Indexes {
		if index.Name != s.Index {
			continue
		}
		for _, l := range index.Layouts {
			if layout, found := compileLayout(e, &s, l); found {
				table.Layouts = append(table.Layouts, layout)
			}
		}
	}
	return table
}

// compileLayout returns the table of one layout of a service and reports whether any of its targets holds a shard of it.
func compileLayout(e *clementineport.Estate, s *clementineport.Service, l clementineport.Layout) (clementineport.LayoutTable, bool) {
	table := clementineport.LayoutTable{Layout: l.Layout, Replicas: make([][]clementineport.TargetIndex, l.Shards)}
	found := false
	for i := range e.Targets {
		t := &e.Targets[i]
		if !slices.Contains(s.DependsOn, t.Group) {
			continue
		}
		for _, h := range t.Holds {
			if h.Layout != l.Layout {
				continue
			}
			for _, shard := range h.Shards {
				table.Replicas[shard] = append(table.Replicas[shard], clementineport.TargetIndex(i))
				found = true
			}
		}
	}
	return table, found
}

// CompileConfig checks the text of a configuration and returns its table.
func CompileConfig(cfg *clementineport.Config) (*clementineport.Table, error) {
	e, err := Parse(cfg.Text)
	if err != nil {
		return nil, err
	}
	return Compile(cfg.Revision, e, cfg.OutOfService), nil
}
