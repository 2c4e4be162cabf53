package clementineport

import "time"

// Preference is the choice of a service between low tail latency and full coverage.
type Preference string

const (
	// PreferTail answers early and may omit slow shards.
	PreferTail Preference = "tail"
	// PreferCoverage waits for slow shards until the deadline.
	PreferCoverage Preference = "coverage"
)

// BelowLeast is the handling of an answer below the least coverage of its service.
type BelowLeast string

const (
	// BelowRefuse refuses the answer.
	BelowRefuse BelowLeast = "refuse"
	// BelowMark returns the answer and marks it as incomplete.
	BelowMark BelowLeast = "mark"
)

// Class is the priority of a service under overload; lower classes are served first.
type Class uint8

const (
	// ClassInteractive is for requests that a person is waiting for.
	ClassInteractive Class = iota
	// ClassStandard is the default.
	ClassStandard
	// ClassBatch is for background work.
	ClassBatch
	// NumClasses is the number of classes.
	NumClasses
)

var classNames = [NumClasses]string{"interactive", "standard", "batch"}

// String returns the name of the class in the configuration text.
func (c Class) String() string {
	if c >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class with the given name and whether there is one.
func ParseClass(text string) (Class, bool) {
	for c, name := range classNames {
		if name == text {
			return Class(c), true
		}
	}
	return ClassStandard, false
}

// Service is a service of the estate with its dependencies.
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

// Layout is one partitioning of an index into shards.
type Layout struct {
	Layout LayoutID
	Shards int
}

// Index is a search index and its partition layouts.
type Index struct {
	Name    IndexID
	Layouts []Layout
}

// Group is a set of targets with the same settings.
type Group struct {
	Name  GroupID
	Index IndexID
	// Slots is the number of calls that a target processes concurrently, and Queue the number of further calls that may
	// be queued for it.
	Slots int
	Queue int
	// Connections is the maximum number of connections that a target accepts from all VMs together.
	Connections int
	// ConnectionCost is the time that a target needs for a new connection.
	ConnectionCost time.Duration
}

// HeldShards lists the shards of one layout that a target holds.
type HeldShards struct {
	Layout LayoutID
	Shards []ShardID
}

// TargetSpec is the description of a target in the estate.
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

// OutOfService lists the VMs and failure domains that operators have taken out of service. It is stored beside
// the configuration text.
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

// Config is one accepted revision of the configuration in the form that is stored and distributed.
type Config struct {
	Revision     Revision
	Text         []byte
	OutOfService OutOfService
	Changes      []Change
}

// LayoutTable lists the targets that hold each shard of one layout of a service.
type LayoutTable struct {
	Layout   LayoutID
	Replicas [][]TargetIndex
}

// ServiceTable is a service with the targets that it may use, by layout and shard.
type ServiceTable struct {
	Service Service
	Layouts []LayoutTable
}

// Layout returns the table of a layout, or nil if the service does not have it.
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
	// OutOfService is true when the target's failure domain is out of service.
	OutOfService bool
}

// Table is a validated configuration in the form that the query path reads; it is immutable.
type Table struct {
	Revision     Revision
	OutOfService OutOfService
	Targets      []TargetRow
	ByID         map[TargetID]TargetIndex
	Services     map[ServiceID]*ServiceTable
}
