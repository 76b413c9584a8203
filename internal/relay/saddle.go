package relay

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Request names shards of a gathered route by their places in its list. Both
// sides hold the same version, so the route is found by the request itself.
// The names on the wire are short: these calls are what crosses most.
type Request struct {
	Version int64  `json:"V"`
	Shards  []int  `json:"S"`
	Head    string `json:"H"`
	// RemainingMs is what the client has left, WaitMs when the answer must be on its way.
	RemainingMs int64 `json:"L"`
	WaitMs      int64 `json:"W"`
}

// Response holds the stamps of the parts in the order asked for, empty where one
// is not in, and the greatest records of all that are.
type Response struct {
	Stamps  []string `json:"S"`
	Records []byte   `json:"R"`
}

// Front is one front that may be asked.
type Front struct {
	Name string `json:"Name"`
	IP   string `json:"IP"`
	Zone string `json:"Zone"`
	// NotReady: it is not ready to help.
	NotReady bool `json:"Out,omitempty"`
	// CacheNode: it is no front, it keeps copies.
	CacheNode bool `json:"Keeps,omitempty"`
}

// Balancer picks fronts, leaving out those that failed lately.
type Balancer struct {
	mu     sync.Mutex
	outFor time.Duration
	zones  map[string][]Front
	busy   map[string]int
	fails  map[string]int
	out    map[string]time.Time
}

// NewBalancer makes a choice among nobody; a front that failed is left out for outFor.
func NewBalancer(outFor time.Duration) *Balancer {
	return &Balancer{outFor: outFor, zones: map[string][]Front{}, busy: map[string]int{}, fails: map[string]int{}, out: map[string]time.Time{}}
}

// SetFronts takes the fronts that are ready.
func (c *Balancer) SetFronts(fronts []Front, self string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones = map[string][]Front{}
	for _, f := range fronts {
		if f.Name != self {
			c.zones[f.Zone] = append(c.zones[f.Zone], f)
		}
	}
}

// Pick gives the less busy of two fronts of a zone; nil where there is none. Done must follow.
func (c *Balancer) Pick(zone string, now time.Time) *Front {
	c.mu.Lock()
	defer c.mu.Unlock()
	var in []Front
	for _, f := range c.zones[zone] {
		if now.After(c.out[f.IP]) {
			in = append(in, f)
		}
	}
	if len(in) == 0 {
		return nil
	}
	a, b := in[rand.IntN(len(in))], in[rand.IntN(len(in))]
	if c.busy[b.IP] < c.busy[a.IP] {
		a = b
	}
	c.busy[a.IP]++
	return &a
}

// EjectionRank tells, as 1, that a node is left out now.
func (c *Balancer) EjectionRank(ip string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.out[ip]) {
		return 0
	}
	return 1
}

// Done ends a call; a front that failed twice in a row is left out for a while.
func (c *Balancer) Done(ip string, ok bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[ip]--; c.busy[ip] <= 0 {
		delete(c.busy, ip)
	}
	if ok {
		delete(c.fails, ip)
		return
	}
	if c.fails[ip]++; c.fails[ip] >= 2 {
		c.fails[ip] = 0
		c.out[ip] = now.Add(c.outFor)
	}
}
