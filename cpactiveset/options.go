package cpactiveset

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Parameters of the choice.
const (
	// toleratedVMs is the number of VMs that may fail besides a failure domain.
	toleratedVMs = 2
	// minPerDomain keeps a domain usable after the loss of one of its VMs.
	minPerDomain = 2
	// headroomFactor is how many times the demand the set can carry after losses. The time that requests wait for a processor
	// grows without bound as its use approaches one, and load may double before all VMs know of it.
	headroomFactor = 2
	// startDivisor divides the capacity of all VMs into the least capacity of the set while no load is known, which must do for
	// a burst. The set has the whole strongest class if that is at most the capacity of all VMs divided by maxStartDivisor;
	// a larger class would be most of the fleet.
	startDivisor    = 4
	maxStartDivisor = 2
)

// Parameters of how the set follows the demand.
const (
	// growMargin is how far above a new highest demand the set is chosen, so that the noise of measurements changes it rarely.
	growMargin = 1.125
	// shrinkStep is the factor by which the demand that the set is chosen for falls in a step.
	shrinkStep = 0.75
)

// Parameters of when the set is in effect.
const (
	// minEqualShare is the number of connections to a target below which VMs that share them equally get too few: with one,
	// each pause of the target stops all its requests from this VM.
	minEqualShare = 2
)

// viewsAllowance is the number of different sets that VMs may use at the same time without a limit of time. The parts of each
// set are divided by it, so that those of all of them add up to one at most.
const viewsAllowance = 2

// Defaults of Options.
const (
	// DefaultEndDelay is how long an equal share must be high enough before the set ends. It is much longer than the restart
	// of a VM, so that the death and the return of some VMs don't end the set.
	DefaultEndDelay = time.Minute
	// DefaultShrinkPeriod is the time after which a lower demand makes the set smaller by a step. It is longer than bursts,
	// which often come in a row.
	DefaultShrinkPeriod = 15 * time.Second
	// DefaultRetention is the time in which callers of a VM that has left the set may still use an old answer of the directory:
	// three of its TTLs.
	DefaultRetention = 6 * time.Second
	// DefaultSettleTime is the time after which a VM that is new in the set uses the share of one. By then, VMs that have left
	// have given up theirs, if all know of the change within the difference to Retention.
	DefaultSettleTime = 10 * time.Second
)

// Options are the settings of a Tracker.
type Options struct {
	Self         clementineport.VMID
	EndDelay     time.Duration
	ShrinkPeriod time.Duration
	Retention    time.Duration
	SettleTime   time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{EndDelay: DefaultEndDelay, ShrinkPeriod: DefaultShrinkPeriod, Retention: DefaultRetention, SettleTime: DefaultSettleTime}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSelf sets the ID of this VM.
func WithSelf(id clementineport.VMID) Option { return func(o *Options) { o.Self = id } }
