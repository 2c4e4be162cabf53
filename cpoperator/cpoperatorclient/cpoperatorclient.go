// Package cpoperatorclient calls the operators' listeners of entries over HTTP and JSON.
//
// It decides which address to try next and when a revision counts as in force everywhere; it makes no change
// under a submission id of its own.
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

// Client calls the operators' listeners of entries.
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

// SetOut takes a VM or a failure domain out of service, or brings it back.
func (c *Client) SetOut(ctx context.Context, m cpsubmit.OutRequest) (Accepted, error) {
	var reply Accepted
	err := c.call(ctx, http.MethodPost, cpoperator.OutPath, struct {
		Submission clementineport.SubmissionID
		Author     string
		BasedOn    clementineport.Revision
		Action     cpsubmit.Action
		Kind       cpsubmit.Kind
		Name       string
	}{m.ID, m.Author, m.BasedOn, m.Action, m.Kind, m.Name}, &reply)
	return reply, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var reply Config
	err := c.call(ctx, http.MethodGet, cpoperator.ConfigPath, nil, &reply)
	return reply, err
}

// Status returns what an entry knows of the fleet.
func (c *Client) Status(ctx context.Context) (cpview.Status, error) {
	var reply cpview.Status
	err := c.call(ctx, http.MethodGet, cpoperator.StatusPath, nil, &reply)
	return reply, err
}

// Explain returns how one recent query was run.
func (c *Client) Explain(ctx context.Context, id clementineport.RequestID) (cpattempt.Explanation, error) {
	reply := cpattempt.Explanation{Trace: new(cpattempt.Trace)}
	err := c.call(ctx, http.MethodGet, cpoperator.ExplainPath+url.PathEscape(string(id)), nil, &reply)
	return reply, err
}

// WaitInForce waits until all live VMs have a revision in force; it returns those that have not confirmed it.
func (c *Client) WaitInForce(
	ctx context.Context, revision clementineport.Revision, wait time.Duration,
) ([]clementineport.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var missing []clementineport.VMID
	for known := false; ; {
		status, err := c.Status(ctx)
		if err == nil {
			known = true
			if missing = unconfirmed(&status, revision); len(missing) == 0 {
				return nil, nil
			}
		}
		select {
		case <-ctx.Done():
			if known {
				err = clementineport.Fail(clementineport.FaultTimeout,
					"revision %d is accepted, but %d live VMs have not confirmed it", revision, len(missing))
			}
			return missing, err
		case <-time.After(c.opts.PollInterval):
		}
	}
}

// unconfirmed returns the live VMs that are not known to have a revision.
func unconfirmed(s *cpview.Status, revision clementineport.Revision) []clementineport.VMID {
	var missing []clementineport.VMID
	for i := range s.Rows {
		if row := &s.Rows[i]; row.State != clementineport.MemberDead && row.Revision < revision {
			missing = append(missing, row.VM.ID)
		}
	}
	return missing
}
