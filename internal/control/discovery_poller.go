package control

import (
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
)

// Poll intervals. The ratios are of DrainMs, the time in which the fronts must
// know that an instance drains.
const (
	pollIntervalRatio = 0.25
	// urgentPollIntervalRatio holds while fronts get no answer from endpoints:
	// replacements are looked for more often.
	urgentPollIntervalRatio = 0.08
	// pollLeaseCheckHeartbeats is how often a node without the lease checks for
	// it, beside the signal that it was acquired.
	pollLeaseCheckHeartbeats = 0.2
	// tableCatchUpRetryHeartbeats is when a table that could not be fetched is
	// asked for again.
	tableCatchUpRetryHeartbeats = 0.05
)

// discoveryPoller polls the platform's discovery API while this node holds the
// lease of the poller role, and merges what it reads into the endpoint table.
// Its fields are not assigned after the start.
type discoveryPoller struct {
	host   *host.Host
	loop   *commandloop.Loop
	lease  *leaseController
	tables *tableController
	client discoveryClient

	// peerIPs lists the other control nodes, and frontsMissEndpoints tells
	// whether fronts get no answer from endpoints. Both run on loop.
	peerIPs             func() []string
	frontsMissEndpoints func() bool
	// removeSilentCacheNodes is called after each poll, with its epoch, outside loop.
	removeSilentCacheNodes func(epoch int64)
}

func newDiscoveryPoller(s *Server) *discoveryPoller {
	return &discoveryPoller{
		host:                   s.host,
		loop:                   s.loop,
		lease:                  s.pollLease,
		tables:                 s.tables,
		client:                 discoveryClient{settings: s.host.Settings, client: s.host.Client},
		peerIPs:                s.peerIPs,
		frontsMissEndpoints:    s.fronts.missEndpoints,
		removeSilentCacheNodes: s.cacheNodes.removeSilent,
	}
}

// run polls until the node stops.
func (p *discoveryPoller) run() {
	for {
		wait := p.pass()
		select {
		case <-p.host.Stopping:
			return
		case <-time.After(wait):
		case <-p.lease.acquired:
		}
	}
}

// pass polls once if this node holds the lease, and returns when to try next.
func (p *discoveryPoller) pass() (wait time.Duration) {
	var epoch int64
	var urgent, holds bool
	p.loop.Call(func() {
		urgent = p.frontsMissEndpoints()
		if !p.host.Draining.Load() {
			epoch, holds = p.lease.FencingToken(p.host.Now())
		}
	})
	if !holds {
		return p.host.Heartbeats(pollLeaseCheckHeartbeats)
	}
	if !p.catchUpTable(epoch) {
		return p.host.Heartbeats(tableCatchUpRetryHeartbeats)
	}
	p.pollOnce(epoch)
	p.removeSilentCacheNodes(epoch)
	ratio := pollIntervalRatio
	if urgent {
		ratio = urgentPollIntervalRatio
	}
	return config.Milliseconds(p.host.Settings().Bounds.DrainMs, ratio)
}

// catchUpTable fetches the newest table that a voter held when it granted the
// epoch, and reports whether this node has it now. What is polled under the
// epoch must build on that table: it is the newest that an earlier holder may
// have made known to a majority. A voter that died since is not waited for.
func (p *discoveryPoller) catchUpTable(epoch int64) bool {
	var base endpoints.Stamp
	var ip string
	var newest grantorTable
	p.loop.Call(func() {
		base = p.tables.stamp()
		ip, newest = p.lease.newestGrantorTable(epoch, base)
	})
	if ip == "" {
		return true
	}
	delta, err := p.fetchTable(ip, base)
	if err != nil {
		events.Log(events.TableSyncFailed, "voter", newest.voterID, "err", err)
		return false
	}
	reached := base
	p.loop.Call(func() { reached = p.tables.applyDelta(delta) })
	return !reached.Before(newest.stamp)
}

// fetchTable fetches from another control node what changed since the table
// with the stamp base.
func (p *discoveryPoller) fetchTable(ip string, base endpoints.Stamp) (*endpoints.Delta, error) {
	var response nodeapi.TableFetchResponse
	err := p.host.Client.CallJSON(p.host.Settings().InternalAddress(ip), nodeapi.PathTableFetch,
		nodeapi.TableFetchRequest{Stamp: base}, &response, p.host.Heartbeats(tableCallHeartbeats))
	if err != nil {
		return nil, err
	}
	return nodeapi.UnpackTableDelta(response.Delta, p.host.MaxMessageBytes())
}

// pollOnce reads the complete list of instances and merges it under the epoch.
// The lease must be held from before the reading until after it: a list that
// was read outside it could be older than what the next holder read.
func (p *discoveryPoller) pollOnce(epoch int64) {
	list, err := p.client.fetchInstances()
	if err != nil {
		events.Log(events.DiscoveryFailed, "err", err)
		return
	}
	p.loop.Call(func() {
		if now, holds := p.lease.FencingToken(p.host.Now()); !holds || now != epoch {
			events.Log(events.DiscoveryDiscarded, "epoch", epoch)
			return
		}
		p.mergeList(list, epoch)
	})
}

// mergeList makes the next table from a list that was read under the epoch and,
// if it differs from the current one, sends it to the other control nodes. It
// runs on loop.
func (p *discoveryPoller) mergeList(list []endpoints.Endpoint, epoch int64) {
	previous := p.tables.stamp()
	stamp := endpoints.Stamp{Epoch: epoch, Holder: p.lease.Self, Sequence: 1}
	if previous.Epoch == stamp.Epoch && previous.Holder == stamp.Holder {
		stamp.Sequence = previous.Sequence + 1
	}
	table, changed := endpoints.NextTable(p.tables.current, list, stamp)
	if !changed {
		return
	}
	events.Log(events.EndpointsChanged, "searchers", len(table.Endpoints), "epoch", stamp.Epoch, "seq", stamp.Sequence)
	p.tables.set(table)
	for _, ip := range p.peerIPs() {
		p.tables.send(ip, previous)
	}
}
