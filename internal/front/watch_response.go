package front

import (
	"time"

	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/upstream"
)

// onWatchResponse applies what a control node announced to the controllers. It
// runs on the loop.
func (s *Server) onWatchResponse(answered watchAnswer, delta *endpoints.Delta) {
	ip, response := answered.ip, answered.response
	// A control node that lags behind this node lists outdated members.
	isCurrent := response.Slot >= s.progress.load().slot
	if isCurrent && len(response.ControlNodes) > 0 {
		s.setControlNodes(response.ControlNodes)
	}
	s.applyRoster(&response)
	s.applyUnreachable(ip, &response)
	if !response.LacksMajority {
		s.majority.record()
		if !response.Unconfirmed {
			s.keys.onNewest(answered.newestVersion(), s.layouts.currentVersion)
		}
	}
	if isCurrent && response.ControlNodes != nil {
		s.setCacheNodes(&response)
	}
	s.applyPurges(&response)
	if !answered.request.Locate {
		s.rollouts.onWatchResponse(&response)
	}
	delete(s.watcher.unresponsiveUntil, ip)
	s.applyFrontCounts(ip, &response)
	s.applyTableDelta(delta)
	s.progress.update(func(p *progress) {
		if response.Version <= p.version {
			p.slot = max(p.slot, response.Slot)
		}
	})
}

// setControlNodes takes the agreed control nodes, also into the partial view.
func (s *Server) setControlNodes(nodes []nodeapi.ControlNode) {
	s.watcher.setControlNodes(nodes)
	for _, node := range nodes {
		s.host.ViewLoop.Submit(func() {
			// Nodes of all versions know a control node's entry by this name.
			s.host.View.Add(peersampling.Node{Name: "hut-" + node.IP, IP: node.IP, Zone: node.Zone, IsControl: true})
		})
	}
}

// applyRoster takes the fronts of other zones that relay requests.
func (s *Server) applyRoster(response *nodeapi.WatchResponse) {
	if response.Roster == nil {
		return
	}
	s.watcher.rosterReceivedAt.Store(int64(s.host.Now()))
	if s.relays != nil {
		s.relays.SetFronts(response.Roster, s.host.Settings().NodeName)
	}
}

// applyUnreachable takes the endpoints that other fronts get no answer from.
func (s *Server) applyUnreachable(ip string, response *nodeapi.WatchResponse) {
	if len(response.UnreachableOrdinals) > 0 && s.options.ShareUnreachable {
		s.endpoints.MarkUnreachable(response.UnreachableOrdinals, time.Now().Add(s.host.UnreachableTTL()))
	}
	if s.watcher.primary() == ip {
		s.watcher.unreachableRevision.Store(response.UnreachableRevision)
	}
}

// setCacheNodes takes the agreed list of cache nodes. The endpoints' slots are
// shared among them as among fronts.
func (s *Server) setCacheNodes(response *nodeapi.WatchResponse) {
	s.cacheNodes.set(response.CacheNodes)
	if s.isCacheNode {
		s.endpoints.SetFrontCounts(upstream.FrontCounts{All: len(response.CacheNodes)})
	}
}

// applyPurges takes the purges that this node has missed. The first number may
// come only from a control node that was asked for the whole state.
func (s *Server) applyPurges(response *nodeapi.WatchResponse) {
	known := s.progress.load().knownPurge
	if response.PurgeSeq <= known || known < 0 && len(response.ControlNodes) == 0 {
		return
	}
	s.cacheHandler.ApplyPurges(response.PurgeSeq, response.CompactedPurgeSeq, response.Purges)
	s.progress.update(func(p *progress) { p.knownPurge = response.PurgeSeq })
}

// applyFrontCounts adapts the node's shares of the endpoints' slots and of the
// retry budget to the number of fronts.
func (s *Server) applyFrontCounts(ip string, response *nodeapi.WatchResponse) {
	most := s.watcher.recordFrontCounts(ip, upstream.FrontCounts{
		All:    response.FrontCount,
		Region: response.FrontsInRegion,
		Zone:   response.FrontsInZone,
	})
	if s.watcher.frontCount.Swap(int64(most.All)) != int64(most.All) {
		s.retryBudget.SetNodes(most.All)
	}
	if !s.isCacheNode {
		s.endpoints.SetFrontCounts(most)
	}
}

// applyTableDelta brings the endpoint table forward. A delta that starts from
// another table than the current one is ignored: the next response follows the
// stamp that the node then reports.
func (s *Server) applyTableDelta(delta *endpoints.Delta) {
	current := s.layouts.table
	if delta == nil || current != nil && !current.Stamp.Before(delta.To) {
		return
	}
	if table, err := current.ApplyDelta(delta); err == nil {
		s.setTable(table)
	}
}

// setTable puts a newer endpoint table in force.
func (s *Server) setTable(table *endpoints.Table) {
	s.layouts.setTable(table)
	s.rollouts.applyTrafficSplits()
	s.layouts.advance()
	s.layouts.publish()
}
