// Package cppeer defines the server side of the calls between entry VMs and a client for use within one process.
// It carries messages and classifies failures; it makes no decisions about queries, membership or configuration.
package cppeer

import (
	"context"

	"github.com/clementineport/clementineport"
)

// Handler serves calls from other VMs.
type Handler interface {
	Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error
	Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error)
	Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error)
	Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error)
}

type inProcess struct {
	opts Options
}

// New returns a Peer that calls a handler in the same process.
func New(opts ...Option) clementineport.Peer {
	o := Options{}
	for _, opt := range opts {
		opt(&o)
	}
	return &inProcess{opts: o}
}

func (m *inProcess) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if err := m.opts.before(); err != nil {
		return err
	}
	err := m.opts.Handler.Relay(ctx, r, deliver)
	return m.opts.after(err)
}

func (m *inProcess) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	if err := m.opts.before(); err != nil {
		return nil, err
	}
	reply, err := m.opts.Handler.Exchange(ctx, d)
	if err = m.opts.after(err); err != nil {
		return nil, err
	}
	return reply, nil
}

func (m *inProcess) Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	if err := m.opts.before(); err != nil {
		return nil, err
	}
	cfg, err := m.opts.Handler.Config(ctx, have)
	if err = m.opts.after(err); err != nil {
		return nil, err
	}
	return cfg, nil
}

func (m *inProcess) Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	if err := m.opts.before(); err != nil {
		return nil, err
	}
	answer, err := m.opts.Handler.Forward(ctx, q)
	if err = m.opts.after(err); err != nil {
		return nil, err
	}
	return answer, nil
}

func (m *inProcess) Close() error { return nil }
