package cpestate

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/clementineport/clementineport"
)

// Format returns the text of an estate. Parsing the text returns an equal estate.
func Format(e *clementineport.Estate) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "Region: %s\nDomains: [%s]\n", e.Region, joinNames(e.Domains))
	b.WriteString("\nServices:\n")
	for i := range e.Services {
		formatService(&b, &e.Services[i])
	}
	b.WriteString("\nIndexes:\n")
	for _, x := range e.Indexes {
		layouts := make([]string, len(x.Layouts))
		for i, l := range x.Layouts {
			layouts[i] = fmt.Sprintf("{Layout: %d, Shards: %d}", l.Layout, l.Shards)
		}
		fmt.Fprintf(&b, "  - {Name: %s, Layouts: [%s]}\n", x.Name, strings.Join(layouts, ", "))
	}
	b.WriteString("\nGroups:\n")
	for _, g := range e.Groups {
		fmt.Fprintf(&b, "  - {Name: %s, Index: %s, Slots: %d, Queue: %d, Connections: %d, ConnectionCost: %s}\n",
			g.Name, g.Index, g.Slots, g.Queue, g.Connections, g.ConnectionCost)
	}
	b.WriteString("\nTargets:\n")
	for i := range e.Targets {
		formatTarget(&b, &e.Targets[i])
	}
	return b.Bytes()
}

func formatService(b *bytes.Buffer, s *clementineport.Service) {
	fmt.Fprintf(b, "  - Name: %s\n    DependsOn: [%s]\n", s.Name, joinNames(s.DependsOn))
	if s.Index != "" {
		fmt.Fprintf(b, "    Index: %s\n", s.Index)
	}
	fmt.Fprintf(b, "    Deadline: %s\n    Class: %s\n    LeastCoverage: %s\n    BelowLeast: %s\n    Prefer: %s\n",
		s.Deadline, s.Class, strconv.FormatFloat(s.LeastCoverage, 'g', -1, 64), s.BelowLeast, s.Prefer)
}

func formatTarget(b *bytes.Buffer, t *clementineport.TargetSpec) {
	fmt.Fprintf(b, "  - {ID: %s, Group: %s, Address: %q", t.ID, t.Group, t.Address)
	if t.Domain != "" {
		fmt.Fprintf(b, ", Domain: %s", t.Domain)
	}
	b.WriteString(", Holds: [")
	for i, h := range t.Holds {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(b, "{Layout: %d, Shards: [%s]}", h.Layout, strings.Join(shardRanges(h.Shards), ", "))
	}
	b.WriteString("]}\n")
}

// shardRanges formats shards, with each run of consecutive shards as a range.
func shardRanges(shards []clementineport.ShardID) []string {
	var ranges []string
	for i := 0; i < len(shards); {
		j := i
		for j+1 < len(shards) && shards[j+1] == shards[j]+1 {
			j++
		}
		if i == j {
			ranges = append(ranges, strconv.Itoa(int(shards[i])))
		} else {
			ranges = append(ranges, fmt.Sprintf("%d-%d", shards[i], shards[j]))
		}
		i = j + 1
	}
	return ranges
}

func joinNames[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}

// Summary returns a one-line summary of an estate.
func Summary(e *clementineport.Estate) string {
	shards := 0
	for _, x := range e.Indexes {
		for _, l := range x.Layouts {
			shards += l.Shards
		}
	}
	return fmt.Sprintf("%d services, %d groups, %d targets, %d shards, %d failure domains",
		len(e.Services), len(e.Groups), len(e.Targets), shards, len(e.Domains))
}
