package cpcontrol

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
	"github.com/clementineport/clementineport/cpdigest"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cpview"
)

// Options holds the dependencies and settings of the control loop.
type Options struct {
	// Self describes this process. Its ID, Domain, addresses and Start must be set.
	Self      clementineport.Member
	Store     clementineport.Store
	Directory clementineport.Directory
	// Dial returns a Peer that is used and closed by the control loop only. It must not block.
	Dial   func(clementineport.VM) clementineport.Peer
	Picker clementineport.Picker
	Clock  clementineport.Clock
	// Decode decodes a configuration from its stored form.
	Decode func([]byte) (*clementineport.Config, error)
	// Compile validates a configuration and returns its table.
	Compile func(*clementineport.Config) (*clementineport.Table, error)
	// OnView is called by the loop with each new view. It must not block.
	OnView func(*cpview.View)
	// Size returns the encoded size of a digest in bytes; it is used for metrics.
	Size    func(*clementineport.Digest) int
	Metrics *metrics.Set
	Log     *zap.Logger
	// ConfigKey is the key of the configuration in the store.
	ConfigKey string
	// Seeds are addresses of peers to join through when the platform's list can't be read.
	Seeds []string
	// Seed seeds the random source of every decision.
	Seed uint64
	// TickPeriod is the time between two steps of the loop.
	TickPeriod time.Duration
	// ListPeriod is the time between two reads of the platform's list.
	ListPeriod time.Duration
	// ListTimeout is the timeout of a read of the platform's list.
	ListTimeout time.Duration
	// ConfirmFor is how long the VM that accepted a submission requests confirmation from the others
	// that it is in force there.
	ConfirmFor        time.Duration
	MembershipOptions []cpmembership.Option
	ConfigSyncOptions []cpconfigsync.Option
	EntryListOptions  []cpentrylist.Option
}

// Option changes Options.
type Option func(*Options)

// DefaultConfigKey is the default key of the configuration in the store.
const DefaultConfigKey = "clementineport/config"

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Log:         zap.NewNop(),
		Size:        cpdigest.Size,
		ConfigKey:   DefaultConfigKey,
		TickPeriod:  100 * time.Millisecond,
		ListPeriod:  5 * time.Second,
		ListTimeout: 2 * time.Second,
		ConfirmFor:  10 * time.Second,
		OnView:      func(*cpview.View) {},
	}
	for _, o := range opts {
		o(&options)
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return options
}

// WithSelf describes this process.
func WithSelf(self clementineport.Member) Option {
	return func(o *Options) { o.Self = self }
}

// WithStore sets the platform's store.
func WithStore(s clementineport.Store) Option {
	return func(o *Options) { o.Store = s }
}

// WithDirectory sets the platform's list of VMs.
func WithDirectory(d clementineport.Directory) Option {
	return func(o *Options) { o.Directory = d }
}

// WithDial sets the function that returns the Peer of a VM.
func WithDial(dial func(clementineport.VM) clementineport.Peer) Option {
	return func(o *Options) { o.Dial = dial }
}

// WithPicker sets the picker, which keeps the state of targets.
func WithPicker(p clementineport.Picker) Option {
	return func(o *Options) { o.Picker = p }
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option {
	return func(o *Options) { o.Clock = c }
}

// WithDecode sets the function that decodes a stored configuration.
func WithDecode(decode func([]byte) (*clementineport.Config, error)) Option {
	return func(o *Options) { o.Decode = decode }
}

// WithCompile sets the function that validates a configuration and returns its table.
func WithCompile(compile func(*clementineport.Config) (*clementineport.Table, error)) Option {
	return func(o *Options) { o.Compile = compile }
}

// WithOnView sets the function that is called with each new view.
func WithOnView(f func(*cpview.View)) Option {
	return func(o *Options) { o.OnView = f }
}

// WithSize sets the function that returns the encoded size of a digest in bytes.
func WithSize(size func(*clementineport.Digest) int) Option {
	return func(o *Options) { o.Size = size }
}

// WithMetrics sets the set in which metrics are registered.
func WithMetrics(set *metrics.Set) Option {
	return func(o *Options) { o.Metrics = set }
}

// WithLog sets the logger for state changes.
func WithLog(log *zap.Logger) Option {
	return func(o *Options) { o.Log = log }
}

// WithConfigKey sets the key of the configuration in the store.
func WithConfigKey(key string) Option {
	return func(o *Options) { o.ConfigKey = key }
}

// WithSeeds sets addresses of peers to join through when the platform's list can't be read.
func WithSeeds(addresses ...string) Option {
	return func(o *Options) { o.Seeds = addresses }
}

// WithSeed sets the seed of every random decision.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithListPeriod sets the time between two reads of the platform's list.
func WithListPeriod(d time.Duration) Option {
	return func(o *Options) { o.ListPeriod = d }
}

// WithMembership adds options of the membership.
func WithMembership(opts ...cpmembership.Option) Option {
	return func(o *Options) { o.MembershipOptions = append(o.MembershipOptions, opts...) }
}

// WithConfigSync adds options of configuration sync.
func WithConfigSync(opts ...cpconfigsync.Option) Option {
	return func(o *Options) { o.ConfigSyncOptions = append(o.ConfigSyncOptions, opts...) }
}

// WithEntryList adds options of the entry lists that callers get.
func WithEntryList(opts ...cpentrylist.Option) Option {
	return func(o *Options) { o.EntryListOptions = append(o.EntryListOptions, opts...) }
}
