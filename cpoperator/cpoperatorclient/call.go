package cpoperatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpjson"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cpyaml"
)

// maxReplyBytes is the maximum size of a response: a complete text, with room for JSON escapes and the changes.
const maxReplyBytes = 4*cpestate.MaxTextBytes + 1<<20

// call tries the addresses in turn until one returns a result or a definite error. It repeats changes as well, which is
// safe because they carry a submission id.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	err := errs.New("no operator address is given")
	var uncertain error
	for _, address := range c.opts.Addresses {
		err = c.callOne(ctx, method, address, path, body, reply)
		if err == nil || definite(err) || ctx.Err() != nil {
			return err
		}
		if e, ok := errors.AsType[*clementineport.Error](err); ok && e.Verdict() != clementineport.NotRun {
			uncertain = err
		}
	}
	if uncertain != nil {
		return uncertain
	}
	return err
}

// definite reports whether err means that an entry refused the call and every other one would refuse it too.
func definite(err error) bool {
	switch fault := clementineport.FaultOf(err); fault {
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultUnavailable:
		return false
	default:
		return fault.Verdict() == clementineport.NotRun
	}
}

func (c *Client) callOne(ctx context.Context, method, address, path string, body, reply any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errs.Wrap(err)
		}
		data = encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errs.Wrap(err)
	}
	c.opts.Token.Set(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		fault := clementineport.FaultTimeout
		if errors.Is(err, syscall.ECONNREFUSED) {
			fault = clementineport.FaultRefused
		}
		return &clementineport.Error{Fault: fault, Reason: "call " + address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return &clementineport.Error{Fault: clementineport.FaultCut, Reason: "read the response of " + address, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.Status, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode the response of " + address, Err: err}
	}
	return nil
}

// responseError returns the error in the response of an entry.
func responseError(status string, data []byte) error {
	var body struct {
		cpjson.Refusal
		Changes []clementineport.Change
		Faults  cpyaml.Faults
	}
	if json.Unmarshal(data, &body) != nil || body.Reason == "" {
		return clementineport.Fail(clementineport.FaultInternal, "the entry answered %s", status)
	}
	e := &clementineport.Error{Fault: body.Fault, Reason: body.Reason}
	if len(body.Changes) > 0 {
		e.Reason = "the configuration has changed since"
		e.Err = &cpsubmit.ConflictError{Current: body.Changes[len(body.Changes)-1].Revision, Changes: body.Changes}
	}
	if len(body.Faults) > 0 {
		e.Reason, e.Err = "the text has faults", body.Faults
	}
	return e
}
