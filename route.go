package clementineport

import "time"

// RouteID names a route of the configuration.
type RouteID string

// WeightedService is a service that takes a share of the requests of a route.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// Route says which targets answer the requests of one host and path prefix, and within what bounds.
type Route struct {
	Name RouteID
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// MaxAttempts bounds the targets of one shard to which one request may be sent.
	MaxAttempts int
	// Timeout bounds the whole time of a request.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to its caller.
	Objective time.Duration
	// Priority orders requests under overload; a lower one is served first.
	Priority int
	// Services share the requests by weight; a request is answered by one target of one of them.
	Services []WeightedService
	// Shards are the services that hold a part of the answer each; a route has Shards or Services.
	Shards []ServiceID
	// TopRecords is the number of records in the answer of a route with Shards.
	TopRecords int
	// LeastCoverage is the share of Shards below which an answer is not a success.
	LeastCoverage float64
}

// Gathers reports whether the answer is made of one part from each shard.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// TargetService is a set of targets that answer equally well.
type TargetService struct {
	Name ServiceID
	// Connections is the most connections that one target accepts from all VMs together.
	Connections int
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration
	// ColdPerSecond is the number of requests a second that a cold target bears from all VMs together.
	ColdPerSecond float64
}

// CallerLimits bound what a caller may send, and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of the operators' routes; it is immutable.
type RouteTable struct {
	Version  Revision
	Routes   []Route
	Services map[ServiceID]TargetService
	Limits   CallerLimits
}
