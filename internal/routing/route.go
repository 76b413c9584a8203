package routing

import (
	"time"

	"swiftswitch/internal/config"
)

// Route is one compiled route. It either scatters its requests over Shards, or
// sends each to one service: [Route.PickService].
type Route struct {
	Name string
	// Prefix is the path prefix that the route matches.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds how long a request is held.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value. It
	// is at most Timeout.
	TargetLatency time.Duration
	// MaxAttempts bounds the attempts of each shard, or of the one service.
	MaxAttempts int
	// Priority is the rank under load shedding; 0 is the highest.
	Priority int
	// Public: requests need no key.
	Public bool

	// Shards lists the services that the route scatters its requests over.
	Shards []string
	// TopRecords is how many of the greatest records a scattered response holds.
	TopRecords int
	// MinShare is the share of the shards without which the request fails.
	MinShare float64

	// Cacheable: responses may be cached and are fresh for CacheLifetime, if
	// that is above 0.
	Cacheable     bool
	CacheLifetime time.Duration

	split serviceSplit
}

// maxAttempts bounds MaxAttempts: memory is set aside for each attempt, and none
// of so many would be made in time.
const maxAttempts = 64

// newRoute compiles one route of a configuration.
func newRoute(c *config.Route) *Route {
	r := &Route{
		Name:          c.Name,
		Prefix:        c.PathPrefix,
		Idempotent:    c.IsIdempotent(),
		Timeout:       config.Milliseconds(c.TimeoutMs, 1),
		TargetLatency: config.Milliseconds(c.TargetLatencyMs, 1),
		MaxAttempts:   max(1, int(min(c.Attempts, maxAttempts))),
		Priority:      int(c.Priority),
		Public:        c.Public,
		Shards:        c.GatheredServices,
		TopRecords:    int(c.TopRecords),
		MinShare:      c.MinimumShare,
		Cacheable:     c.RouteKind == config.RouteKindCached,
		CacheLifetime: config.Seconds(c.CacheLifetimeS, 1),
		split:         newServiceSplit(c),
	}
	if r.TargetLatency <= 0 || r.TargetLatency > r.Timeout {
		r.TargetLatency = r.Timeout
	}
	return r
}

// SplitsTo reports whether the route may send requests to a service.
func (r *Route) SplitsTo(service string) bool { return r.split.contains(service) }

// PickService returns the service for a point in [0, 1), drawn evenly by the
// caller. It is empty for a route that scatters.
func (r *Route) PickService(point float64) string { return r.split.pick(point) }
