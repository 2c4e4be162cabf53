// Package cpoperatorclient is the client for the operator API of entries.
//
// It fails over to the next address and decides when a revision counts as in force everywhere. The caller provides the
// submission ids.
package cpoperatorclient

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
	"github.com/clementineport/clementineport/cpoperator"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cpview"
)

// Config is the configuration in force at an entry.
type Config struct {
	Revision clementineport.Revision
	Text     string
	Out      clementineport.OutOfService
	Changes  []clementineport.Change
}

// Accepted is a change that an entry has accepted.
type Accepted struct {
	Revision clementineport.Revision
	Outcome  string
	Repeated bool
	Restored bool
}

// Client calls the operator API of entries.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(opts ...Option) *Client {
	o := newOptions(opts)
	return &Client{opts: o, http: &http.Client{Timeout: o.Timeout, Transport: &http.Transport{}}}
}

// Submit submits an edited text.
func (c *Client) Submit(ctx context.Context, s cpsubmit.Submission) (Accepted, error) {
	var reply Accepted
	err := c.call(ctx, http.MethodPost, cpoperator.SubmitPath, struct {
		Submission clementineport.SubmissionID
		Author     string
		BasedOn    clementineport.Revision
		Text       string
	}{s.ID, s.Author, s.BasedOn, string(s.Text)}, &reply)
	return reply, err
}

// SetOut takes a VM or a failure domain out of service, or returns it to service.
func (c *Client) SetOut(ctx context.Context, r cpsubmit.OutRequest) (Accepted, error) {
	var reply Accepted
	err := c.call(ctx, http.MethodPost, cpoperator.OutPath, struct {
		Submission clementineport.SubmissionID
		Author     string
		BasedOn    clementineport.Revision
		Action     cpsubmit.Action
		Kind       cpsubmit.Kind
		Name       string
	}{r.ID, r.Author, r.BasedOn, r.Action, r.Kind, r.Name}, &reply)
	return reply, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var reply Config
	err := c.call(ctx, http.MethodGet, cpoperator.ConfigPath, nil, &reply)
	return reply, err
}

// Status returns the fleet as an entry sees it.
func (c *Client) Status(ctx context.Context) (cpview.Status, error) {
	var reply cpview.Status
	err := c.call(ctx, http.MethodGet, cpoperator.StatusPath, nil, &reply)
	return reply, err
}

// Explain returns how a recent query was executed.
func (c *Client) Explain(ctx context.Context, id clementineport.RequestID) (cpattempt.Explanation, error) {
	reply := cpattempt.Explanation{Trace: new(cpattempt.Trace)}
	err := c.call(ctx, http.MethodGet, cpoperator.ExplainPath+url.PathEscape(string(id)), nil, &reply)
	return reply, err
}

// WaitInForce waits until all live VMs have a revision in force. On timeout it returns an error and, if the status
// could be read, the VMs that have not confirmed the revision.
func (c *Client) WaitInForce(
	ctx context.Context, revision clementineport.Revision, wait time.Duration,
) ([]clementineport.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var missing []clementineport.VMID
	for reached := false; ; {
		status, err := c.Status(ctx)
		if err == nil {
			reached = true
			if missing = unconfirmed(&status, revision); len(missing) == 0 {
				return nil, nil
			}
		}
		select {
		case <-ctx.Done():
			if reached {
				err = clementineport.Fail(clementineport.FaultTimeout,
					"revision %d is accepted, but %d live VMs have not confirmed it", revision, len(missing))
			}
			return missing, err
		case <-time.After(c.opts.PollInterval):
		}
	}
}

// unconfirmed returns the VMs that are not dead and have not confirmed a revision.
func unconfirmed(s *cpview.Status, revision clementineport.Revision) []clementineport.VMID {
	var missing []clementineport.VMID
	for i := range s.Rows {
		if row := &s.Rows[i]; row.State != clementineport.MemberDead && row.Revision < revision {
			missing = append(missing, row.VM.ID)
		}
	}
	return missing
}
