package cpestate

import (
	"fmt"
	"strings"

	"github.com/clementineport/clementineport"
)

// Defaults of a service.
const (
	defaultClass         = "standard"
	defaultLeastCoverage = 1.0
	defaultBelowLeast    = clementineport.BelowRefuse
	defaultPrefer        = clementineport.PreferCoverage
)

func (c *checker) checkServices() {
	if len(c.doc.Services) == 0 {
		c.doc.At.Report(c.faults, "Services", "at least one service", "is empty")
	}
	names := make(map[clementineport.ServiceID]bool)
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		c.checkName(s.At, "Name", string(s.Name))
		if names[s.Name] {
			s.At.Report(c.faults, "Name", allowedUnique, "%q stands twice", s.Name)
		}
		names[s.Name] = true
		setServiceDefaults(s)
		c.checkServiceValues(s)
		if c.checkDependencies(s) {
			c.checkCovered(s)
		}
	}
}

func setServiceDefaults(s *serviceText) {
	if s.Class == "" {
		s.Class = defaultClass
	}
	if !s.At.Has("LeastCoverage") {
		s.LeastCoverage = defaultLeastCoverage
	}
	if s.BelowLeast == "" {
		s.BelowLeast = defaultBelowLeast
	}
	if s.Prefer == "" {
		s.Prefer = defaultPrefer
	}
}

func (c *checker) checkServiceValues(s *serviceText) {
	if s.Deadline <= 0 || s.Deadline > MaxDeadline {
		s.At.Report(c.faults, "Deadline", "more than 0s, at most "+MaxDeadline.String(), "is %s", s.Deadline)
	}
	if _, ok := clementineport.ParseClass(s.Class); !ok {
		s.At.Report(c.faults, "Class", "interactive, standard, batch", "is %q", s.Class)
	}
	if !(s.LeastCoverage >= 0 && s.LeastCoverage <= 1) {
		s.At.Report(c.faults, "LeastCoverage", "0 to 1", "is %v", s.LeastCoverage)
	}
	if s.BelowLeast != clementineport.BelowRefuse && s.BelowLeast != clementineport.BelowMark {
		s.At.Report(c.faults, "BelowLeast", "refuse, mark", "is %q", s.BelowLeast)
	}
	if s.Prefer != clementineport.PreferTail && s.Prefer != clementineport.PreferCoverage {
		s.At.Report(c.faults, "Prefer", "tail, coverage", "is %q", s.Prefer)
	}
}

// checkDependencies checks the groups that a service depends on and sets the service's index from them if it has none.
// It reports whether the groups and the index are valid.
func (c *checker) checkDependencies(s *serviceText) bool {
	if len(s.DependsOn) == 0 {
		s.At.Report(c.faults, "DependsOn", "at least one target group", "is empty")
		return false
	}
	ok := true
	index := s.Index
	seen := make(map[clementineport.GroupID]bool)
	for _, id := range s.DependsOn {
		g := c.groups[id]
		switch {
		case g == nil:
			s.At.Report(c.faults, "DependsOn", "names of groups of this text", "%q is not a group", id)
			ok = false
			continue
		case seen[id]:
			s.At.Report(c.faults, "DependsOn", "each group once", "%q stands twice", id)
		case index == "":
			index = g.Index
		case g.Index != index:
			s.At.Report(c.faults, "DependsOn", "groups of one index", "group %q is of index %q, not %q", id, g.Index, index)
			ok = false
		}
		seen[id] = true
	}
	s.Index = index
	return ok && c.indexes[index] != nil
}

// checkCovered checks that the service's targets hold at least one layout, and every shard of each layout
// of which they hold any.
func (c *checker) checkCovered(s *serviceText) {
	found := false
	for _, l := range c.indexes[s.Index].Layouts {
		held := make(map[clementineport.ShardID]bool)
		for _, g := range s.DependsOn {
			for shard := range c.held[heldKey{g, l.Layout}] {
				held[shard] = true
			}
		}
		if len(held) == 0 {
			continue
		}
		found = true
		if missing := missingShards(held, l.Shards); len(missing) > 0 {
			s.At.Report(c.faults, "DependsOn", "a target for each shard of a layout",
				"no target of these groups holds shards %s of layout %d", strings.Join(shardRanges(missing), ", "), l.Layout)
		}
	}
	if !found {
		s.At.Report(c.faults, "DependsOn", "groups with targets", "no target of these groups holds any shard")
	}
}

func missingShards(held map[clementineport.ShardID]bool, shards int) []clementineport.ShardID {
	var missing []clementineport.ShardID
	for shard := range clementineport.ShardID(min(shards, MaxShards)) {
		if !held[shard] {
			missing = append(missing, shard)
		}
	}
	return missing
}

func rangeText(least, most int) string {
	if most < least {
		return "none"
	}
	return fmt.Sprintf("%d to %d", least, most)
}
