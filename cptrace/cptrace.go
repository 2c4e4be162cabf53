// Package cptrace creates the spans of a query and propagates the trace context between processes. It does not affect
// the query.
package cptrace

import (
	"context"
	"io"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	instrumentation   = "github.com/clementineport/clementineport"
	traceparentHeader = "traceparent"
)

// Error is the class of this package's errors.
var Error = errs.Class("trace")

// Exporter is the destination of spans.
type Exporter string

const (
	// ExporterNone records no spans.
	ExporterNone Exporter = "none"
	// ExporterStdout writes spans to a writer.
	ExporterStdout Exporter = "stdout"
	// ExporterOTLP sends spans to an OTLP collector over HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Tracer starts spans and propagates their context between processes.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
	provider   *sdktrace.TracerProvider
}

// New returns a tracer. Close flushes its spans.
func New(ctx context.Context, opts ...Option) (*Tracer, error) {
	o := Options{Exporter: ExporterNone, Writer: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	exporter, err := newExporter(ctx, &o)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if exporter == nil {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(instrumentation)}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("vm", o.VM))),
	)
	return &Tracer{tracer: provider.Tracer(instrumentation), provider: provider}, nil
}

func newExporter(ctx context.Context, o *Options) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case ExporterNone, "":
		return nil, nil
	case ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(o.Writer))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
	default:
		return nil, errs.New("exporter %q: must be none, stdout or otlp", o.Exporter)
	}
}

// Start starts a span. The function end ends it, and marks it as failed if the error is not nil.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (_ context.Context, end func(error)) {
	ctx, span := t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// Recording reports whether spans are recorded.
func (t *Tracer) Recording() bool { return t.provider != nil }

// Inject returns the trace context of ctx as the value of a W3C traceparent header.
func (t *Tracer) Inject(ctx context.Context) string {
	if t.provider == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// Extract returns ctx with the trace context of a traceparent header.
func (t *Tracer) Extract(ctx context.Context, traceparent string) context.Context {
	if t.provider == nil || traceparent == "" {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// Close exports the recorded spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return Error.Wrap(t.provider.Shutdown(ctx))
}
