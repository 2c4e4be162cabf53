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
	// Share is the number of extra calls that one ordinary call earns.
	Share float64
	// Burst is the maximum number of extra calls that the budget can hold.
	Burst int
	// Start is the number of extra calls in a new budget.
	Start int
	// ChargeTo is another budget to which every extra call of this one is charged as well.
	ChargeTo *Bucket
}

// Option changes Options.
type Option func(*Options)

// WithShare sets the number of extra calls that one ordinary call earns.
func WithShare(share float64) Option {
	return func(o *Options) { o.Share = share }
}

// WithBurst sets the maximum number of extra calls that the budget can hold.
func WithBurst(calls int) Option {
	return func(o *Options) { o.Burst = calls }
}

// WithStart sets the number of extra calls in a new budget.
func WithStart(calls int) Option {
	return func(o *Options) { o.Start = calls }
}

// WithChargeTo sets another budget to which every extra call is charged as well.
func WithChargeTo(b *Bucket) Option {
	return func(o *Options) { o.ChargeTo = b }
}
