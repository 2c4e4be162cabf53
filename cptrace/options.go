package cptrace

import "io"

// Options configures a Tracer.
type Options struct {
	Exporter Exporter
	Endpoint string
	VM       string
	Ratio    float64
	Writer   io.Writer
}

// Option sets a field of Options.
type Option func(*Options)

// WithExporter sets the destination of spans, and the endpoint of the collector for ExporterOTLP.
func WithExporter(e Exporter, endpoint string) Option {
	return func(o *Options) { o.Exporter, o.Endpoint = e, endpoint }
}

// WithVM sets the VM recorded in every span.
func WithVM(vm string) Option { return func(o *Options) { o.VM = vm } }

// WithRatio sets the share of new traces that are recorded, from 0 to 1.
func WithRatio(r float64) Option { return func(o *Options) { o.Ratio = r } }

// WithWriter sets the writer of ExporterStdout.
func WithWriter(w io.Writer) Option { return func(o *Options) { o.Writer = w } }
