// Package cpoperator implements the operator API that changes and shows the configuration, as JSON over HTTP.
// It authenticates requests and encodes outcomes; cpsubmit validates and stores the changes.
package cpoperator

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpjson"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cpyaml"
)

// Paths of the operator API.
const (
	SubmitPath = "/v1/submit"
	OutPath    = "/v1/out"
	ConfigPath = "/v1/config"
	StatusPath = "/v1/status"
	// ExplainPath is followed by the id of a request.
	ExplainPath = "/v1/explain/"
)

// OutcomeAccepted is the outcome of every successful change.
const OutcomeAccepted = "accepted"

// Submitter changes the configuration. *cpsubmit.Submitter implements it.
type Submitter interface {
	Submit(ctx context.Context, sub cpsubmit.Submission) (cpsubmit.Result, error)
	SetOut(ctx context.Context, r cpsubmit.OutRequest) (cpsubmit.Result, error)
}

// Handler serves SubmitPath, OutPath and ConfigPath.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a handler.
func New(opts ...Option) *Handler {
	h := &Handler{opts: newOptions(opts), mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+SubmitPath, h.submit)
	h.mux.HandleFunc("POST "+OutPath, h.out)
	h.mux.HandleFunc("GET "+ConfigPath, h.config)
	return h
}

// ServeHTTP implements http.Handler. It refuses requests without the token.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cptoken.Require(h.opts.Token, h.mux).ServeHTTP(w, r)
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Submission clementineport.SubmissionID
		Author     string
		BasedOn    clementineport.Revision
		Text       string
	}
	if !readBody(w, r, &body) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.opts.Timeout)
	defer cancel()
	result, err := h.opts.Submitter.Submit(ctx, cpsubmit.Submission{
		ID: body.Submission, Author: body.Author, BasedOn: body.BasedOn, Text: []byte(body.Text),
	})
	h.answer(w, &result, err)
}

func (h *Handler) out(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Submission clementineport.SubmissionID
		Author     string
		BasedOn    clementineport.Revision
		Action     cpsubmit.Action
		Kind       cpsubmit.Kind
		Name       string
	}
	if !readBody(w, r, &body) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.opts.Timeout)
	defer cancel()
	result, err := h.opts.Submitter.SetOut(ctx, cpsubmit.OutRequest{
		ID: body.Submission, Author: body.Author, BasedOn: body.BasedOn,
		Action: body.Action, Kind: body.Kind, Name: body.Name,
	})
	h.answer(w, &result, err)
}

func (h *Handler) answer(w http.ResponseWriter, result *cpsubmit.Result, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	h.opts.OnAccepted(result)
	cpjson.Write(w, http.StatusOK, struct {
		Revision clementineport.Revision
		Outcome  string
		Repeated bool `json:",omitempty"`
		Restored bool `json:",omitempty"`
	}{result.Revision, OutcomeAccepted, result.Repeated, result.Restored})
}

func (h *Handler) config(w http.ResponseWriter, _ *http.Request) {
	cfg := h.opts.Current()
	if cfg == nil {
		cfg = &clementineport.Config{}
	}
	cpjson.Write(w, http.StatusOK, struct {
		Revision clementineport.Revision
		Text     string
		Out      clementineport.OutOfService
		Changes  []clementineport.Change
	}{cfg.Revision, string(cfg.Text), cfg.OutOfService, cfg.Changes})
}

// maxBodyBytes is the maximum size of a request body: a complete text, with room for JSON escapes.
const maxBodyBytes = 2*cpestate.MaxTextBytes + 64<<10

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := cpjson.Read(w, r, maxBodyBytes, body)
	if err != nil {
		WriteError(w, err)
	}
	return err == nil
}

var statuses = map[clementineport.Fault]int{
	clementineport.FaultInvalid:      http.StatusBadRequest,
	clementineport.FaultUnauthorized: http.StatusUnauthorized,
	clementineport.FaultConflict:     http.StatusConflict,
	clementineport.FaultDuplicate:    http.StatusConflict,
	clementineport.FaultShed:         http.StatusTooManyRequests,
	clementineport.FaultUnavailable:  http.StatusServiceUnavailable,
	clementineport.FaultTimeout:      http.StatusGatewayTimeout,
}

// WriteError writes an error with its verdict. A conflict comes with the changes that others made, and an invalid text
// with its faults.
func WriteError(w http.ResponseWriter, err error) {
	fault := clementineport.FaultOf(err)
	status, ok := statuses[fault]
	if !ok {
		status = http.StatusInternalServerError
	}
	var conflict *cpsubmit.ConflictError
	var changes []clementineport.Change
	if errors.As(err, &conflict) {
		changes = conflict.Changes
	}
	var faults cpyaml.Faults
	errors.As(err, &faults)
	cpjson.Write(w, status, struct {
		cpjson.Refusal
		Changes []clementineport.Change `json:",omitempty"`
		Faults  cpyaml.Faults           `json:",omitempty"`
	}{cpjson.NewRefusal(fault, strings.TrimPrefix(err.Error(), fault.String()+": ")), changes, faults})
}

// defaultTimeout limits the duration of one change.
const defaultTimeout = 10 * time.Second
