package front

import (
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/upstream"
)

// Status is the front server's part of a node's status.
type Status struct {
	Ready bool `json:"Ready"`
	// Slot is the last decided slot whose configuration the node holds.
	Slot int64 `json:"Slot"`
	// LastBuilt is the version of the newest configuration received, Current
	// that of the layout in force, Next that of the layout to switch to.
	LastBuilt int64 `json:"LastBuilt"`
	Current   int64 `json:"Current"`
	Next      int64 `json:"Next,omitempty"`
	// CurrentAgeMs is how long ago Current came into force at this node, in
	// milliseconds. Unsupported is what LastBuilt asks for and this program does
	// not do: paths of fields and of values.
	CurrentAgeMs int64    `json:"CurrentAgeMs,omitempty"`
	Unsupported  []string `json:"Unsupported,omitempty"`
	// Tenants and TenantKeys count those of Current.
	Tenants    int `json:"Tenants,omitempty"`
	TenantKeys int `json:"TenantKeys,omitempty"`
	// TableStamp orders the endpoint table held, Endpoints counts its entries.
	TableStamp endpoints.Stamp `json:"TableStamp"`
	Endpoints  int             `json:"Endpoints"`
	// FrontCount is the number of fronts in the cluster.
	FrontCount  int            `json:"FrontCount"`
	Connections upstream.Stats `json:"Connections"`
	// InFlight counts the requests under way, Relayed those that this front
	// sent to shards for another front.
	InFlight int64 `json:"InFlight"`
	Relayed  int64 `json:"Relayed"`
	// ShardHolders names, by shard, the endpoints that hold it.
	ShardHolders map[string][]string `json:"ShardHolders"`
	// CachedObjects and CachedBytes are what the node's cache holds, KnownPurge
	// is the number of the last purge known.
	CachedObjects int   `json:"CachedObjects"`
	CachedBytes   int   `json:"CachedBytes"`
	KnownPurge    int64 `json:"KnownPurge"`
	// Fetches counts the fetches of objects, QuotaShare is this node's part of
	// the services' rate limits.
	Fetches    int64   `json:"Fetches"`
	QuotaShare float64 `json:"QuotaShare"`
	// Quotas is what the front has of the tenants' quotas.
	Quotas *QuotaStatus `json:"Quotas,omitempty"`
}

// Status returns the state of all controllers.
func (s *Server) Status() *Status {
	status := &Status{
		Ready:        s.Ready(),
		InFlight:     s.frontend.InFlight(),
		Relayed:      s.frontend.Relayed(),
		Connections:  s.endpoints.Stats(),
		Fetches:      s.fetcher.Fetches(),
		KnownPurge:   s.cacheHandler.KnownPurge(),
		FrontCount:   int(s.watcher.frontCount.Load()),
		ShardHolders: map[string][]string{},
	}
	status.CachedObjects, status.CachedBytes = s.cacheHandler.Usage()
	if s.isCacheNode {
		status.CachedObjects, status.CachedBytes = s.fetcher.Usage()
	}
	status.QuotaShare, _ = s.QuotaShare()
	if !s.isCacheNode {
		status.Quotas = s.quotas.status()
	}
	s.loop.Call(func() {
		status.Slot = s.progress.load().slot
		s.layouts.addStatus(status)
	})
	return status
}

// addStatus fills in the layouts and the endpoint table. It runs on loop.
func (c *layoutController) addStatus(status *Status) {
	status.LastBuilt = c.layouts.LastBuilt
	status.Current = c.layouts.Current.Version
	status.CurrentAgeMs = (c.host.Now() - c.currentSince).Milliseconds()
	status.Unsupported = c.unsupported
	if routes := c.routeTables[status.Current]; routes != nil {
		status.Tenants, status.TenantKeys = routes.Tenants.Size()
	}
	if c.layouts.Next != nil {
		status.Next = c.layouts.Next.Version
	}
	if c.table != nil {
		status.TableStamp = c.table.Stamp
		status.Endpoints = len(c.table.Endpoints)
	}
	for _, shard := range c.layouts.Current.Shards {
		status.ShardHolders[shard] = c.layouts.Holders(shard)
	}
}
