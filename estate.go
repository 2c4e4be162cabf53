package clementineport

import "time"

// Preference says what a service gives up last when it cannot have both.
type Preference string

const (
	// PreferTail answers early and may leave out slow shards.
	PreferTail Preference = "tail"
	// PreferCoverage waits for slow shards until the deadline.
	PreferCoverage Preference = "coverage"
)

// BelowLeast says what happens to an answer below the least coverage of its service.
type BelowLeast string

const (
	// BelowRefuse refuses the answer.
	BelowRefuse BelowLeast = "refuse"
	// BelowMark returns the answer, marked as incomplete.
	BelowMark BelowLeast = "mark"
)

// Class orders services under overload; a lower one is served first.
type Class uint8

const (
	// ClassInteractive is for a person who waits.
	ClassInteractive Class = iota
	// ClassStandard is the default.
	ClassStandard
	// ClassBatch is for work that can wait.
	ClassBatch
	// NumClasses is the number of classes.
	NumClasses
)

var classNames = [NumClasses]string{"interactive", "standard", "batch"}

// String returns the class as it appears in an estate text.
func (c Class) String() string {
	if c >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class that a text names, or reports that there is none.
func ParseClass(text string) (Class, bool) {
	for c, name := range classNames {
		if name == text {
			return Class(c), true
		}
	}
	return ClassStandard, false
}

// Service is a service of the estate and what it depends on.
type Service struct {
	Name          ServiceID
	DependsOn     []GroupID
	Index         IndexID
	Deadline      time.Duration
	Class         Class
	LeastCoverage float64
	BelowLeast    BelowLeast
	Prefer        Preference
}

// Layout is one way in which an index is split into shards.
type Layout struct {
	Layout LayoutID
	Shards int
}

// Index is a search index and its partition layouts.
type Index struct {
	Name    IndexID
	Layouts []Layout
}

// Group is a set of targets of one kind.
type Group struct {
	Name           GroupID
	Index          IndexID
	Slots          int
	Queue          int
	Connections    int
	ConnectionCost time.Duration
}

// HeldShards lists the shards of one layout that a target holds.
type HeldShards struct {
	Layout LayoutID
	Shards []ShardID
}

// TargetSpec is a target as the estate describes it.
type TargetSpec struct {
	ID      TargetID
	Group   GroupID
	Address string
	Domain  FailureDomain
	Holds   []HeldShards
}

// Estate is the configuration that operators submit.
type Estate struct {
	Region   string
	Domains  []FailureDomain
	Services []Service
	Indexes  []Index
	Groups   []Group
	Targets  []TargetSpec
}

// OutOfService lists what operators have taken out of service; it is kept beside the text.
type OutOfService struct {
	VMs     []VMID
	Domains []FailureDomain
}

// Change records one accepted configuration change.
type Change struct {
	Revision   Revision
	Submission SubmissionID
	Author     string
	At         time.Time
	Summary    string
}

// Config is one accepted revision of the configuration, as it is stored and spread.
type Config struct {
	Revision     Revision
	Text         []byte
	OutOfService OutOfService
	Changes      []Change
}

// LayoutTable lists, for one layout of a service, the targets that hold each shard.
type LayoutTable struct {
	Layout   LayoutID
	Replicas [][]TargetIndex
}

// ServiceTable is a service with the targets it may use, by layout and shard.
type ServiceTable struct {
	Service Service
	Layouts []LayoutTable
}

// Layout returns the table of a layout, or nil.
func (t *ServiceTable) Layout(id LayoutID) *LayoutTable {
	for i := range t.Layouts {
		if t.Layouts[i].Layout == id {
			return &t.Layouts[i]
		}
	}
	return nil
}

// TargetRow is a target with the settings of its group.
type TargetRow struct {
	TargetSpec
	Group Group
	// OutOfService is true when the target's failure domain is taken out.
	OutOfService bool
}

// Table is a checked configuration in the form that the query path reads; it is immutable.
type Table struct {
	Revision     Revision
	OutOfService OutOfService
	Targets      []TargetRow
	ByID         map[TargetID]TargetIndex
	Services     map[ServiceID]*ServiceTable
}
