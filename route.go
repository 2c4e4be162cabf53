package clementineport

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteID names a route of the configuration.
type RouteID string

// WeightedService is a service that receives a share of the requests of a route.
type WeightedService struct {
	Service ServiceID
	Weight  float64
}

// Route selects the targets for the requests of one host and path prefix and sets the limits of those requests.
type Route struct {
	Name RouteID
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// MaxAttempts is the maximum number of targets of one shard that one request is sent to.
	MaxAttempts int
	// Timeout is the maximum total time of a request.
	Timeout time.Duration
	// Objective is the latency objective; an answer within it is worth most to its caller.
	Objective time.Duration
	// Priority orders requests under overload; lower values are served first.
	Priority int
	// Services share the requests by weight; one target of one service answers each request.
	Services []WeightedService
	// Shards are the services that each hold a part of the answer. A route has either Shards or Services.
	Shards []ServiceID
	// TopRecords is the number of records in the answer of a route with Shards.
	TopRecords int
	// LeastCoverage is the share of Shards that an answer must cover to be a success.
	LeastCoverage float64
	// Public is true if requests need no key of a workspace.
	Public bool `json:",omitempty"`
}

// Gathers reports whether an answer combines one part from each shard.
func (r *Route) Gathers() bool { return len(r.Shards) > 0 }

// RouteFingerprint is a hash of all that determines how the requests of a route are handled. It doesn't depend on the build.
type RouteFingerprint uint64

// Fingerprint returns the fingerprint of the route, which is never zero.
func (r *Route) Fingerprint() RouteFingerprint {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%q %q %q %t %d %d %d %d %q %v %q %d %v %t", r.Name, r.Host, r.Prefix, r.Idempotent, r.MaxAttempts,
		r.Timeout, r.Objective, r.Priority, services(r.Services), weights(r.Services), r.Shards, r.TopRecords, r.LeastCoverage, r.Public)
	return RouteFingerprint(max(h.Sum64(), 1))
}

func services(all []WeightedService) (ids []ServiceID) {
	for _, s := range all {
		ids = append(ids, s.Service)
	}
	return ids
}

func weights(all []WeightedService) (weights []float64) {
	for _, s := range all {
		weights = append(weights, s.Weight)
	}
	return weights
}

// UnansweredFault returns the fault of a request on the route that may have run and has no sufficient answer.
func (r *Route) UnansweredFault() Fault {
	if r.Gathers() {
		return FaultCoverage
	}
	return FaultTimeout
}

// TargetService is a set of interchangeable targets.
type TargetService struct {
	Name ServiceID
	// Connections is the maximum number of connections that one target accepts from all VMs together.
	Connections int
	// ColdTime is how long a target stays cold after its start.
	ColdTime time.Duration
	// ColdPerSecond is the maximum request rate of a cold target, in requests per second from all VMs together.
	ColdPerSecond float64
}

// CallerLimits bound the size of caller requests and the time to send them.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RouteTable is one version of the routes configured by operators; it is immutable.
type RouteTable struct {
	Version  Revision
	Routes   []Route
	Services map[ServiceID]TargetService
	Limits   CallerLimits
	// Workspaces are empty if requests need no keys.
	Workspaces []Workspace `json:",omitempty"`
}
