package upstream

import (
	"sync"
	"time"

	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/latency"
	"swiftswitch/internal/transport"
)

// Pool is the set of endpoints that this node may use, with its connections to
// them and what it knows of their load, latency and health.
//
// The callbacks must be set before the pool is used. They are called without
// the pool's lock, from the goroutine that made the attempt.
type Pool struct {
	// OnHealthy is called when an endpoint succeeds for the first time, or for
	// the first time since OnUnhealthy.
	OnHealthy func(id string)
	// OnUnhealthy is called when an endpoint has failed
	// Options.ConsecutiveFailures times in a row.
	OnUnhealthy func(id string)
	// OnUnreachable is called when an endpoint did not answer an attempt.
	OnUnreachable func()
	// OnAttempt is called after each attempt whose request the endpoint may
	// have processed.
	OnAttempt func(e *Endpoint, r *Request, a *Attempt)

	options Options
	metrics poolMetrics
	// dial opens a connection: transport.Dial, but for tests.
	dial func(addr string, timeout, tcpUserTimeout time.Duration) (*transport.Conn, error)

	// mu guards all fields below and the mutable fields of every Endpoint.
	mu          sync.Mutex
	endpoints   map[string]*Endpoint // by ID
	services    map[string]*service  // by name; never removed
	frontCounts FrontCounts

	// candidates and ranks are scratch space of Pick and subset.
	candidates []candidate
	ranks      [distances][]uint64
}

// service is what the pool holds for the endpoints of one service together.
// Pool.mu guards it.
type service struct {
	endpoints []*Endpoint
	// connectionLimit is how many connections each endpoint accepts from all
	// nodes together; 0 means no limit.
	connectionLimit int
	latency         latency.Window
	// rounding, in [0, 1), is where this node rounds a fractional subset size
	// up. It is fixed for the life of a node's name.
	rounding float64
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	return &Pool{
		OnHealthy:     func(string) {},
		OnUnhealthy:   func(string) {},
		OnUnreachable: func() {},
		OnAttempt:     func(*Endpoint, *Request, *Attempt) {},
		options:       options,
		metrics:       newPoolMetrics(options.Metrics),
		dial:          transport.Dial,
		endpoints:     map[string]*Endpoint{},
		services:      map[string]*service{},
	}
}

// Distance returns how far a zone is from this node; see Options.Distance.
func (p *Pool) Distance(zone string) int { return p.options.Distance(zone) }

// SetFrontCounts sets how many nodes share the connections of each endpoint.
func (p *Pool) SetFrontCounts(counts FrontCounts) {
	p.mu.Lock()
	p.frontCounts = counts
	p.mu.Unlock()
}

// SetConnectionLimit sets how many connections each endpoint of a service
// accepts from all nodes together; 0 means no limit.
func (p *Pool) SetConnectionLimit(serviceName string, limit int) {
	p.mu.Lock()
	p.service(serviceName).connectionLimit = limit
	p.mu.Unlock()
}

// SetTable replaces the endpoint table. Draining endpoints get no more
// requests; attempts under way end as they would.
func (p *Pool) SetTable(table *endpoints.Table) {
	p.mu.Lock()
	for _, s := range p.services {
		s.endpoints = nil
	}
	listed := make(map[string]bool, len(table.Endpoints))
	for _, entry := range table.Endpoints {
		if entry.Draining {
			continue
		}
		listed[entry.ID] = true
		s := p.service(entry.Service)
		s.endpoints = append(s.endpoints, p.upsert(entry))
	}
	closing := p.removeUnlisted(listed)
	p.mu.Unlock()
	closeAll(closing)
}

// upsert adds or updates the endpoint of a table's entry. The caller holds p.mu.
func (p *Pool) upsert(entry endpoints.Endpoint) *Endpoint {
	e := p.endpoints[entry.ID]
	if e == nil {
		e = &Endpoint{
			Endpoint: entry,
			distance: p.options.Distance(entry.Zone),
			rank:     HashString(p.options.NodeName + " " + entry.ID),
		}
		p.endpoints[entry.ID] = e
	}
	e.Slots, e.WarmingUp = entry.Slots, entry.WarmingUp
	return e
}

// removeUnlisted removes all other endpoints and returns their idle
// connections, which the caller closes without the lock. The caller holds p.mu.
func (p *Pool) removeUnlisted(listed map[string]bool) (closing []*transport.Conn) {
	for id, e := range p.endpoints {
		if listed[id] {
			continue
		}
		e.removed = true
		closing = append(closing, e.idleConns...)
		e.idleConns = nil
		delete(p.endpoints, id)
	}
	return closing
}

// service returns the state of a service, and creates it where there is none.
// The caller holds p.mu.
func (p *Pool) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{rounding: unitInterval(HashString(p.options.NodeName + "/" + name))}
		p.services[name] = s
	}
	return s
}
