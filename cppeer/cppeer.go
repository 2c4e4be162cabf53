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
	Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error)
	Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error)
	Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error)
	Quota(ctx context.Context, r *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error)
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

func (p *inProcess) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if err := p.opts.before(); err != nil {
		return err
	}
	err := p.opts.Handler.Relay(ctx, r, deliver)
	return p.opts.after(err)
}

func (p *inProcess) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	if err := p.opts.before(); err != nil {
		return nil, err
	}
	reply, err := p.opts.Handler.Exchange(ctx, d)
	if err = p.opts.after(err); err != nil {
		return nil, err
	}
	return reply, nil
}

func (p *inProcess) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	if err := p.opts.before(); err != nil {
		return nil, err
	}
	cfg, err := p.opts.Handler.Config(ctx, have)
	if err = p.opts.after(err); err != nil {
		return nil, err
	}
	return cfg, nil
}

func (p *inProcess) Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	if err := p.opts.before(); err != nil {
		return nil, err
	}
	answer, err := p.opts.Handler.Forward(ctx, q)
	if err = p.opts.after(err); err != nil {
		return nil, err
	}
	return answer, nil
}

func (p *inProcess) Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	if err := p.opts.before(); err != nil {
		return nil, err
	}
	result, err := p.opts.Handler.Reroute(ctx, r)
	if err = p.opts.after(err); err != nil {
		return nil, err
	}
	return result, nil
}

func (p *inProcess) Quota(ctx context.Context, r *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	if err := p.opts.before(); err != nil {
		return nil, err
	}
	answer, err := p.opts.Handler.Quota(ctx, r)
	if err = p.opts.after(err); err != nil {
		return nil, err
	}
	return answer, nil
}

func (p *inProcess) Close() error { return nil }
