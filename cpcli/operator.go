package cpcli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpsecret"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cpyaml"
)

// envPrefix begins the environment variables that stand for flags.
const envPrefix = "CLEMENTINEPORT"

const (
	operatorTimeout  = 15 * time.Second
	maxOperatorBytes = 4*cpestate.MaxTextBytes + 1<<20
)

// operatorFlags say how to reach the operators' listeners.
type operatorFlags struct {
	addresses string
	tokenFile string
	json      bool
}

func (f *operatorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.addresses, "operator", "127.0.0.1:18002", "operator addresses of entries, separated by commas")
	fs.StringVar(&f.tokenFile, "token-file", "", "file with the operators' token")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

// operatorClient calls the operators' listeners of entries.
type operatorClient struct {
	addresses []string
	token     cpsecret.Token
	http      *http.Client
}

func (f *operatorFlags) client() (*operatorClient, error) {
	if f.tokenFile == "" {
		return nil, usagef("--token-file is needed")
	}
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	c := &operatorClient{
		token: cpsecret.New(string(token)),
		http:  &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{}},
	}
	for _, a := range strings.Split(f.addresses, ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.addresses = append(c.addresses, a)
		}
	}
	return c, nil
}

// call tries the addresses in turn until one gives a definite answer.
// Changes carry a submission id, so they can be repeated too.
func (c *operatorClient) call(ctx context.Context, method, path string, body, reply any) error {
	var err, uncertain error
	for _, address := range c.addresses {
		err = c.callOne(ctx, method, address, path, body, reply)
		code := ExitCode(err)
		if code == ExitOK || code == ExitRefused || ctx.Err() != nil {
			return err
		}
		if code == ExitUnknown {
			uncertain = err
		}
	}
	if uncertain != nil {
		return uncertain
	}
	if err == nil {
		return usagef("--operator is empty")
	}
	return err
}

func (c *operatorClient) callOne(ctx context.Context, method, address, path string, body, reply any) error {
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
		return usagef("%v", err)
	}
	c.token.Set(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		fault := clementineport.FaultTimeout
		if errors.Is(err, syscall.ECONNREFUSED) {
			fault = clementineport.FaultRefused
		}
		return &clementineport.Error{Fault: fault, Reason: "call " + address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxOperatorBytes))
	if err != nil {
		return &clementineport.Error{Fault: clementineport.FaultCut, Reason: "read the response of " + address, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.Status, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode the response of " + address, Err: err}
	}
	return nil
}

// refusal returns the error that an entry has sent.
func refusal(status string, data []byte) error {
	var body struct {
		Fault   clementineport.Fault
		Reason  string
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
