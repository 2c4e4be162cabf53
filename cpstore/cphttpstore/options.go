package cphttpstore

import "time"

const maxHeaderBytes = 16 << 10

// Options are the settings of a Client.
type Options struct {
	Addresses []string
	// Timeout is the timeout of each call; a watch may take its wait in addition.
	Timeout          time.Duration
	DialTimeout      time.Duration
	IdleTimeout      time.Duration
	Connections      int
	MaxResponseBytes int64
}

// Option changes Options.
type Option func(*Options)

// WithAddresses sets the addresses of the store.
func WithAddresses(addresses ...string) Option {
	return func(o *Options) { o.Addresses = addresses }
}

// WithTimeout sets the timeout of each call.
func WithTimeout(timeout time.Duration) Option { return func(o *Options) { o.Timeout = timeout } }

func newOptions(opts []Option) Options {
	o := Options{
		Timeout:          3 * time.Second,
		DialTimeout:      time.Second,
		IdleTimeout:      time.Minute,
		Connections:      4,
		MaxResponseBytes: 2 << 20,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
