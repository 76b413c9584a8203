package routing

import (
	"slices"
	"strings"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/tenant"
)

// Table is one version of the configuration, ready for use. It is never
// changed once compiled, so it may be read concurrently.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*config.Service
	// Tenants is nil where the configuration has none: then no key is needed.
	Tenants *tenant.Directory
	// hosts holds the routes of each host, by its name in lower case, those
	// with the longest prefix first.
	hosts map[string][]*Route
}

// Limits bound what clients may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Compile makes a table of a validated configuration. The defaults are used for
// the limits that it does not set. previous is an earlier table, from which what
// did not change is taken over, or nil.
func Compile(c *config.Configuration, defaults Limits, previous *Table) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   defaults.override(c.Limits),
		Services: map[string]*config.Service{},
		hosts:    map[string][]*Route{},
	}
	if previous != nil {
		t.Tenants = previous.Tenants
	}
	t.Tenants = tenant.Compile(c.Tenants, t.Tenants)
	for _, s := range c.Services {
		t.Services[s.Name] = s
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.HostName)
		t.hosts[host] = append(t.hosts[host], newRoute(r))
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// override returns the limits with those that a configuration sets put in.
func (l Limits) override(set *config.ClientLimits) Limits {
	if set == nil {
		return l
	}
	if set.HeaderSizeBytes > 0 {
		l.HeaderBytes = int(set.HeaderSizeBytes)
	}
	if set.BodySizeBytes > 0 {
		l.BodyBytes = int(set.BodySizeBytes)
	}
	if set.HeaderTimeoutMs > 0 {
		l.HeaderTimeout = config.Milliseconds(set.HeaderTimeoutMs, 1)
	}
	if set.IdleTimeoutMs > 0 {
		l.IdleTimeout = config.Milliseconds(set.IdleTimeoutMs, 1)
	}
	return l
}

// Match returns the route for a Host header and a request target, or nil. A
// host is matched without regard to case and without its port.
func (t *Table) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range t.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a Host header. Most clients send the host as
// the table has it, so that is looked up first.
func (t *Table) routesOf(host string) []*Route {
	if routes, ok := t.hosts[host]; ok {
		return routes
	}
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return t.hosts[host]
}

// Shards returns the shards of all scattered routes, sorted: the table's
// layout of the index.
func (t *Table) Shards() []string {
	seen := map[string]bool{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			for _, shard := range r.Shards {
				seen[shard] = true
			}
		}
	}
	shards := make([]string, 0, len(seen))
	for shard := range seen {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	return shards
}
