package cptrace

import "io"

// Options are the settings of a Tracer.
type Options struct {
	Exporter Exporter
	Endpoint string
	VM       string
	Ratio    float64
	Writer   io.Writer
}

// Option changes Options.
type Option func(*Options)

// WithExporter sets where spans go, and the endpoint for OTLP.
func WithExporter(e Exporter, endpoint string) Option {
	return func(o *Options) { o.Exporter, o.Endpoint = e, endpoint }
}

// WithVM names the VM in every span.
func WithVM(vm string) Option { return func(o *Options) { o.VM = vm } }

// WithRatio sets the share of new traces that is recorded.
func WithRatio(r float64) Option { return func(o *Options) { o.Ratio = r } }

// WithWriter sets the writer of ExporterStdout.
func WithWriter(w io.Writer) Option { return func(o *Options) { o.Writer = w } }
