package front

import (
	"strings"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/shardmap"
	"swiftswitch/internal/upstream"
)

const (
	// tickHeartbeats, in heartbeat intervals, is the period of the layout's
	// timers; while another layout waits to be switched to, it is
	// switchTickRatio of ConfigEffectMs.
	tickHeartbeats  = 0.4
	switchTickRatio = 0.02
)

// layoutController holds the endpoint table, the shard layouts of the
// configurations in force and to come, and their route tables. It switches to
// a new layout once enough holders of its shards answer, and publishes a
// snapshot of all that requests are routed by.
//
// loop owns the fields below it, up to ready.
type layoutController struct {
	host      *host.Host
	endpoints *upstream.Pool
	frontend  *frontend.Handler
	progress  *progressTracker
	// onVersion is called on loop when another version came into force.
	onVersion func(version int64)
	// defaultLimits hold where the configuration sets no limits for clients.
	defaultLimits routing.Limits

	loop *commandloop.Loop
	// layouts assigns slots of the shards to endpoints.
	layouts *shardmap.State
	// routeTables holds, by version, those of the current and the next layout.
	routeTables map[int64]*routing.Table
	// newestTable is that of the newest configuration received.
	newestTable *routing.Table
	// table is the endpoint table held, nil before the first.
	table *endpoints.Table
	// trafficSplits, by service, are those of the rollout follower.
	trafficSplits map[string]*rollout.TrafficSplit
	// currentVersion is the version of the last snapshot published, in force
	// since currentSince.
	currentVersion int64
	currentSince   time.Duration
	// unsupported is what the newest configuration asks for and this program does
	// not do.
	unsupported []string

	// ready is set with the first complete snapshot, and stays so.
	ready atomic.Bool
}

// hasConfiguration reports whether a configuration was received. It runs on loop.
func (c *layoutController) hasConfiguration() bool { return c.layouts.LastBuilt != 0 }

// setTable takes a newer endpoint table. It runs on loop; the caller applies
// the traffic splits and publishes.
func (c *layoutController) setTable(table *endpoints.Table) {
	c.table = table
	c.progress.update(func(p *progress) { p.table = table.Stamp })
	c.endpoints.SetTable(table)
	c.layouts.OnEndpoints(table, c.host.Now())
}

// setTrafficSplits takes the traffic splits and the versions, by service, that
// may hold slots. It runs on loop; the caller publishes.
func (c *layoutController) setTrafficSplits(splits map[string]*rollout.TrafficSplit, versions map[string][]string) {
	c.trafficSplits = splits
	c.layouts.SetVersions(versions, c.host.Now())
}

// setConfiguration takes a configuration, which took fetchTime to arrive. It
// never goes back to an older version. It runs on loop.
func (c *layoutController) setConfiguration(response nodeapi.VersionResponse, fetched *fetchedConfiguration, fetchTime time.Duration) {
	version := response.Version
	if version <= c.layouts.LastBuilt {
		return
	}
	configuration := fetched.configuration
	c.unsupported = fetched.unsupported
	if len(c.unsupported) > 0 {
		events.Log(events.ConfigUnsupported, "version", version, "unsupported", strings.Join(c.unsupported, ","))
	}
	routes := routing.Compile(configuration, c.defaultLimits, c.newestTable)
	c.newestTable = routes
	c.routeTables[version] = routes
	age := time.Duration(response.AgeMs)*time.Millisecond + fetchTime
	if c.layouts.OnBuilt(shardmap.Layout{Version: version, Shards: routes.Shards()}, age, c.host.Now()) {
		c.publish()
	} else {
		events.Log(events.LayoutPending, "version", version, "current", c.layouts.Current.Version)
	}
	c.advance()
	c.progress.update(func(p *progress) {
		p.version = version
		p.slot = max(p.slot, response.Slot)
	})
}

// advance switches to the next layout if its time has come and frees slots
// whose holders are gone. It runs on loop.
func (c *layoutController) advance() {
	previous := c.layouts.Current.Version
	switched, ready := c.layouts.Tick(c.host.Now())
	freed := c.layouts.TakeFreed()
	for _, slot := range freed {
		events.Log(events.SlotFreed, "shard", slot.Shard, "searcher", slot.EndpointID, "why", slot.Reason)
	}
	if switched {
		events.Log(events.LayoutSwitched, "from", previous, "to", c.layouts.Current.Version, "ready", ready)
	}
	if switched || len(freed) > 0 {
		c.publish()
	}
}

// publish puts a snapshot of the current layout in force for the requests to
// come. Before the node knows the endpoints and the rollouts it publishes
// none: requests would miss endpoints, or reach a version that is held back.
// It runs on loop.
func (c *layoutController) publish() {
	routes := c.routeTables[c.layouts.Current.Version]
	if routes == nil {
		return
	}
	c.pruneRouteTables()
	for name, service := range routes.Services {
		c.endpoints.SetConnectionLimit(name, int(service.ConnectionLimit))
	}
	if c.table == nil || c.progress.load().rolloutSlot < 0 {
		return
	}
	snapshot := &frontend.Snapshot{RouteTable: routes, Holders: map[string]map[string][]string{}, TrafficSplits: c.trafficSplits}
	for _, shard := range c.layouts.Current.Shards {
		snapshot.Holders[shard] = c.layouts.HoldersByVersion(shard)
	}
	c.frontend.SetSnapshot(snapshot)
	if routes.Version != c.currentVersion {
		c.currentVersion, c.currentSince = routes.Version, c.host.Now()
		c.onVersion(routes.Version)
	}
	if !c.host.Draining.Load() && c.ready.CompareAndSwap(false, true) {
		events.Log(events.FrontReady, "version", routes.Version, "searchers", len(c.table.Endpoints))
	}
}

// pruneRouteTables drops the tables of layouts that are neither in force nor next.
func (c *layoutController) pruneRouteTables() {
	for version := range c.routeTables {
		isNext := c.layouts.Next != nil && version == c.layouts.Next.Version
		if version != c.layouts.Current.Version && (version < c.layouts.Current.Version || !isNext) {
			delete(c.routeTables, version)
		}
	}
}

// onHealthy notes that an endpoint answers.
func (c *layoutController) onHealthy(id string) {
	c.loop.Submit(func() {
		c.layouts.OnHealthy(id, c.host.Now())
		c.advance()
	})
}

// onUnhealthy notes that an endpoint stopped answering.
func (c *layoutController) onUnhealthy(id string) {
	c.loop.Submit(func() {
		c.layouts.OnUnhealthy(id, c.host.Now())
		c.advance()
	})
}

// run drives the timers: often while a layout waits to be switched to, seldom
// otherwise.
func (c *layoutController) run() {
	for {
		wait := c.host.Heartbeats(tickHeartbeats)
		c.loop.Call(func() {
			c.advance()
			if c.layouts.Next != nil {
				wait = config.Milliseconds(c.host.Settings().Bounds.ConfigEffectMs, switchTickRatio)
			}
		})
		c.endpoints.PruneIdle(time.Now())
		select {
		case <-c.host.Stopping:
			return
		case <-time.After(wait):
		}
	}
}
