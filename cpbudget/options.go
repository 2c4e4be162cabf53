package cpbudget

// Defaults of a budget for hedges and a budget for retries.
const (
	DefaultHedgeShare = 0.05
	DefaultHedgeBurst = 50 // calls
	DefaultRetryShare = 0.10
	DefaultRetryBurst = 500 // calls
)

// Options are the settings of a budget.
type Options struct {
	// Share is the number of extra calls that one ordinary call pays for.
	Share float64
	// Burst is the largest number of extra calls that can be saved up.
	Burst int
	// Start is the number of extra calls that a new budget holds.
	Start int
	// ChargeTo is a budget that every extra call of this one is charged to as well.
	ChargeTo *Bucket
}

// Option changes one of the Options.
type Option func(*Options)

// WithShare sets the number of extra calls that one ordinary call pays for.
func WithShare(share float64) Option {
	return func(o *Options) { o.Share = share }
}

// WithBurst sets the largest number of extra calls that can be saved up.
func WithBurst(calls int) Option {
	return func(o *Options) { o.Burst = calls }
}

// WithStart sets the number of extra calls that a new budget holds.
func WithStart(calls int) Option {
	return func(o *Options) { o.Start = calls }
}

// WithChargeTo sets a budget that every extra call is charged to as well.
func WithChargeTo(b *Bucket) Option {
	return func(o *Options) { o.ChargeTo = b }
}
