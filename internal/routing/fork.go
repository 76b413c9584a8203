package routing

import (
	"sort"
	"strings"
	"time"

	"swiftswitch/internal/config"
)

// Route is one route, ready for use.
type Route struct {
	Name          string
	Prefix        string
	Idempotent    bool
	Timeout       time.Duration
	TargetLatency time.Duration
	MaxAttempts   int
	Priority      int
	// Shards lists the shards; where it is empty, Pick names the one service.
	Shards     []string
	TopRecords int
	MinShare   float64
	// Cacheable: answers may be kept for Lifetime, if that is above 0.
	Cacheable     bool
	CacheLifetime time.Duration
	split         []weighted
}

type weighted struct {
	service string
	upTo    float64
}

// Table is a whole configuration, ready for use. It is never changed.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*config.Service
	hosts    map[string][]*Route
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Compile makes a map of a checked configuration; def stands in for limits that are not given.
func Compile(c *config.Configuration, def Limits) *Table {
	m := &Table{Version: c.Version, Limits: def, Services: map[string]*config.Service{}, hosts: map[string][]*Route{}}
	if l := c.Limits; l != nil {
		if l.HeaderSizeBytes > 0 {
			m.Limits.HeaderBytes = int(l.HeaderSizeBytes)
		}
		if l.BodySizeBytes > 0 {
			m.Limits.BodyBytes = int(l.BodySizeBytes)
		}
		if l.HeaderTimeoutMs > 0 {
			m.Limits.HeaderTimeout = config.Milliseconds(l.HeaderTimeoutMs, 1)
		}
		if l.IdleTimeoutMs > 0 {
			m.Limits.IdleTimeout = config.Milliseconds(l.IdleTimeoutMs, 1)
		}
	}
	for _, s := range c.Services {
		m.Services[s.Name] = s
	}
	for _, r := range c.Routes {
		x := &Route{
			Name: r.Name, Prefix: r.PathPrefix, Idempotent: r.RouteKind != config.RouteKindUnsafe, Cacheable: r.RouteKind == config.RouteKindCached,
			CacheLifetime: config.Seconds(r.CacheLifetimeS, 1),
			Timeout:       config.Milliseconds(r.TimeoutMs, 1), TargetLatency: config.Milliseconds(r.TargetLatencyMs, 1),
			MaxAttempts: max(1, int(r.Attempts)), Priority: int(r.Priority),
			Shards: r.GatheredServices, TopRecords: int(r.TopRecords), MinShare: r.MinimumShare,
		}
		if x.TargetLatency <= 0 || x.TargetLatency > x.Timeout {
			x.TargetLatency = x.Timeout
		}
		if r.Service != "" {
			x.split = []weighted{{r.Service, 1}}
		}
		sum := 0.0
		for _, t := range r.TrafficSplit {
			if t.Weight > 0 {
				sum += t.Weight
				x.split = append(x.split, weighted{t.Service, sum})
			}
		}
		for i := range x.split {
			if sum > 0 {
				x.split[i].upTo /= sum
			}
		}
		host := strings.ToLower(r.HostName)
		m.hosts[host] = append(m.hosts[host], x)
	}
	for _, l := range m.hosts {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	return m
}

// Shards lists all shards that the map's gathered routes name, sorted.
func (m *Table) Shards() []string {
	seen := map[string]bool{}
	for _, l := range m.hosts {
		for _, r := range l {
			for _, s := range r.Shards {
				seen[s] = true
			}
		}
	}
	out := make([]string, 0, len(seen))
	for s := range seen {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// Match finds the route for a Host header and a request's target; nil is 404.
func (m *Table) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	l, ok := m.hosts[host]
	if !ok {
		host = strings.ToLower(host)
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			host = host[:i]
		}
		l = m.hosts[host]
	}
	for _, r := range l {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// SplitsTo tells whether requests on the route may go to a service.
func (r *Route) SplitsTo(service string) bool {
	for _, w := range r.split {
		if w.service == service {
			return true
		}
	}
	return false
}

// PickService names the service for a point in [0, 1).
func (r *Route) PickService(point float64) string {
	for _, w := range r.split {
		if point < w.upTo {
			return w.service
		}
	}
	if n := len(r.split); n > 0 {
		return r.split[n-1].service
	}
	return ""
}
