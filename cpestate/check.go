package cpestate

import (
	"net/netip"
	"regexp"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpyaml"
)

// Limits of an estate.
const (
	MaxShards      = 1 << 16
	MaxSlots       = 1 << 16
	MaxQueue       = 1 << 20
	MaxConnections = 1 << 16
	MaxDeadline    = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const (
	allowedName   = "1 to 63 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit"
	allowedUnique = "each name once"
)

type checker struct {
	doc     *document
	faults  *cpyaml.Faults
	domains map[clementineport.FailureDomain]bool
	indexes map[clementineport.IndexID]*indexText
	groups  map[clementineport.GroupID]*groupText
	// held contains the shards of a layout that the targets of a group hold.
	held map[heldKey]map[clementineport.ShardID]bool
}

type heldKey struct {
	group  clementineport.GroupID
	layout clementineport.LayoutID
}

func newChecker(doc *document, faults *cpyaml.Faults) *checker {
	return &checker{
		doc: doc, faults: faults,
		domains: make(map[clementineport.FailureDomain]bool),
		indexes: make(map[clementineport.IndexID]*indexText),
		groups:  make(map[clementineport.GroupID]*groupText),
		held:    make(map[heldKey]map[clementineport.ShardID]bool),
	}
}

func (c *checker) check() {
	c.checkName(c.doc.At, "Region", c.doc.Region)
	c.checkDomains()
	c.checkIndexes()
	c.checkGroups()
	c.checkTargets()
	c.checkServices()
}

func (c *checker) checkName(at cpyaml.Location, key, name string) {
	if !namePattern.MatchString(name) {
		at.Report(c.faults, key, allowedName, "is %q", name)
	}
}

func (c *checker) checkRange(at cpyaml.Location, key string, n, least, most int) {
	if n < least || n > most {
		at.Report(c.faults, key, rangeText(least, most), "is %d", n)
	}
}

func (c *checker) checkDomains() {
	if len(c.doc.Domains) == 0 {
		c.doc.At.Report(c.faults, "Domains", "at least one failure domain", "is empty")
	}
	for _, d := range c.doc.Domains {
		c.checkName(c.doc.At, "Domains", string(d))
		if c.domains[d] {
			c.doc.At.Report(c.faults, "Domains", allowedUnique, "%q stands twice", d)
		}
		c.domains[d] = true
	}
}

func (c *checker) checkIndexes() {
	for i := range c.doc.Indexes {
		x := &c.doc.Indexes[i]
		c.checkName(x.At, "Name", string(x.Name))
		if c.indexes[x.Name] != nil {
			x.At.Report(c.faults, "Name", allowedUnique, "%q stands twice", x.Name)
		}
		c.indexes[x.Name] = x
		if len(x.Layouts) == 0 {
			x.At.Report(c.faults, "Layouts", "at least one layout", "is empty")
		}
		seen := make(map[clementineport.LayoutID]bool)
		for _, l := range x.Layouts {
			if l.Layout == 0 || seen[l.Layout] {
				l.At.Report(c.faults, "Layout", "a number from 1, each once", "is %d", l.Layout)
			}
			seen[l.Layout] = true
			c.checkRange(l.At, "Shards", l.Shards, 1, MaxShards)
		}
	}
}

func (c *checker) checkGroups() {
	for i := range c.doc.Groups {
		g := &c.doc.Groups[i]
		c.checkName(g.At, "Name", string(g.Name))
		if c.groups[g.Name] != nil {
			g.At.Report(c.faults, "Name", allowedUnique, "%q stands twice", g.Name)
		}
		c.groups[g.Name] = g
		if c.indexes[g.Index] == nil {
			g.At.Report(c.faults, "Index", "the name of an index of this text", "is %q", g.Index)
		}
		c.checkRange(g.At, "Slots", g.Slots, 1, MaxSlots)
		c.checkRange(g.At, "Queue", g.Queue, 0, MaxQueue)
		c.checkRange(g.At, "Connections", g.Connections, 1, MaxConnections)
		if g.ConnectionCost < 0 || g.ConnectionCost > time.Minute {
			g.At.Report(c.faults, "ConnectionCost", "0s to 1m", "is %s", g.ConnectionCost)
		}
	}
}

func (c *checker) checkTargets() {
	ids := make(map[clementineport.TargetID]bool, len(c.doc.Targets))
	addresses := make(map[string]bool, len(c.doc.Targets))
	for i := range c.doc.Targets {
		t := &c.doc.Targets[i]
		c.checkName(t.At, "ID", string(t.ID))
		if ids[t.ID] {
			t.At.Report(c.faults, "ID", "each id once", "%q stands twice", t.ID)
		}
		ids[t.ID] = true
		if a, err := netip.ParseAddrPort(t.Address); err != nil || a.Port() == 0 {
			t.At.Report(c.faults, "Address", "an IP address and port, such as 127.0.0.1:19000", "is %q", t.Address)
		}
		if addresses[t.Address] {
			t.At.Report(c.faults, "Address", "each address once", "%q stands twice", t.Address)
		}
		addresses[t.Address] = true
		if t.Domain != "" && !c.domains[t.Domain] {
			t.At.Report(c.faults, "Domain", "one of Domains, or absent", "is %q", t.Domain)
		}
		g := c.groups[t.Group]
		if g == nil {
			t.At.Report(c.faults, "Group", "the name of a group of this text", "is %q", t.Group)
			continue
		}
		c.checkHoldings(t, c.indexes[g.Index])
	}
}

func (c *checker) checkHoldings(t *targetText, index *indexText) {
	if len(t.Holds) == 0 {
		t.At.Report(c.faults, "Holds", "at least one layout with its shards", "is empty")
	}
	if index == nil {
		return
	}
	seen := make(map[clementineport.LayoutID]bool, len(t.Holds))
	for i := range t.Holds {
		h := &t.Holds[i]
		l := index.layout(h.Layout)
		if l == nil || seen[h.Layout] {
			h.At.Report(c.faults, "Layout", "a layout of index "+string(index.Name)+", each once", "is %d", h.Layout)
			continue
		}
		seen[h.Layout] = true
		c.checkShards(t, h, l)
	}
}

// checkShards checks the shards of one holding. It stops at the first repeated shard, so that its cost is bounded by the
// number of shards of the layout, even if a text repeats large ranges.
func (c *checker) checkShards(t *targetText, h *holdingText, l *layoutText) {
	if len(h.Shards) == 0 {
		h.At.Report(c.faults, "Shards", "at least one shard", "is empty")
	}
	key := heldKey{t.Group, h.Layout}
	if c.held[key] == nil {
		c.held[key] = make(map[clementineport.ShardID]bool)
	}
	seen := make(map[clementineport.ShardID]bool)
	for _, r := range h.Shards {
		if int(r.Last) >= l.Shards {
			h.At.Report(c.faults, "Shards", rangeText(0, l.Shards-1), "shard %d is out of range", r.Last)
			continue
		}
		for s := r.First; s <= r.Last; s++ {
			if seen[s] {
				h.At.Report(c.faults, "Shards", "each shard once", "shard %d stands twice", s)
				return
			}
			seen[s] = true
			c.held[key][s] = true
		}
	}
}

func (x *indexText) layout(id clementineport.LayoutID) *layoutText {
	for i := range x.Layouts {
		if x.Layouts[i].Layout == id {
			return &x.Layouts[i]
		}
	}
	return nil
}
