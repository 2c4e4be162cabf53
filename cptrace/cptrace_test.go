package cptrace_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cptrace"
)

func TestSpansOfTwoProcessesJoin(t *testing.T) {
	var root, owner bytes.Buffer
	sender, err := cptrace.New(t.Context(), cptrace.WithExporter(cptrace.ExporterStdout, ""),
		cptrace.WithRatio(1), cptrace.WithWriter(&root))
	assert.NilError(t, err)
	receiver, err := cptrace.New(t.Context(), cptrace.WithExporter(cptrace.ExporterStdout, ""),
		cptrace.WithRatio(1), cptrace.WithWriter(&owner))
	assert.NilError(t, err)

	ctx, end := sender.Start(t.Context(), "query")
	traceparent := sender.Inject(ctx)
	_, endRelay := receiver.Start(receiver.Extract(t.Context(), traceparent), "relay")
	endRelay(nil)
	end(nil)
	assert.NilError(t, sender.Close(t.Context()))
	assert.NilError(t, receiver.Close(t.Context()))

	trace := strings.Split(traceparent, "-")[1]
	assert.Assert(t, strings.Contains(root.String(), trace))
	assert.Assert(t, strings.Contains(owner.String(), trace))
}

func TestWithoutExporterNothingIsSent(t *testing.T) {
	tracer, err := cptrace.New(t.Context())
	assert.NilError(t, err)
	ctx, end := tracer.Start(t.Context(), "query")
	defer end(nil)
	assert.Equal(t, tracer.Inject(ctx), "")
	assert.Assert(t, !tracer.Recording())
	assert.NilError(t, tracer.Close(t.Context()))
}

func TestUnknownExporterIsRefused(t *testing.T) {
	_, err := cptrace.New(t.Context(), cptrace.WithExporter("paper", ""))
	assert.ErrorContains(t, err, "none, stdout or otlp")
}
