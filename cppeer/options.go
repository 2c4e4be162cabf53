package cppeer

// Options are the settings of an in-process peer.
type Options struct {
	Handler Handler
	// Before runs before each call; if it returns an error, the handler is not called.
	Before func() error
	// After runs after each successful call; an error replaces the result, which simulates a lost reply.
	After func() error
}

// Option changes Options.
type Option func(*Options)

// WithHandler sets the handler that serves the calls.
func WithHandler(h Handler) Option { return func(o *Options) { o.Handler = h } }

// WithBefore sets a function that can fail a call before the handler runs.
func WithBefore(f func() error) Option { return func(o *Options) { o.Before = f } }

// WithAfter sets a function that can fail a call after the handler has run.
func WithAfter(f func() error) Option { return func(o *Options) { o.After = f } }

func (o *Options) before() error {
	if o.Before == nil {
		return nil
	}
	return o.Before()
}

func (o *Options) after(err error) error {
	if err != nil || o.After == nil {
		return err
	}
	return o.After()
}
