package cppeer

// Options are the settings of an in-process peer.
type Options struct {
	Handler Handler
	// Before is called before the handler; an error means that the handler is not called.
	Before func() error
	// After is called after the handler; an error replaces its result, as when a reply is lost.
	After func() error
}

// Option changes Options.
type Option func(*Options)

// WithHandler sets the handler that serves the calls.
func WithHandler(h Handler) Option { return func(o *Options) { o.Handler = h } }

// WithBefore sets a function whose error fails a call before it runs.
func WithBefore(f func() error) Option { return func(o *Options) { o.Before = f } }

// WithAfter sets a function whose error fails a call after it ran.
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
