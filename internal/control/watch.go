package control

import (
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
)

// Times of long polls, in heartbeats.
const (
	// minWatchHoldHeartbeats is the least time for which a long poll is held.
	minWatchHoldHeartbeats = 0.2
	// announceDelayHeartbeats is how long an update is held back from a watcher that wants no
	// table: its primary brings the table sooner, and what follows goes along.
	announceDelayHeartbeats = 0.1
)

// watchHandler answers the long polls of fronts and cache nodes: a poll is held
// until this node knows something that the watcher lacks.
type watchHandler struct {
	server *Server
	// changed is closed, and replaced, when there may be an update for watchers. It
	// is owned by Server.loop.
	changed chan struct{}
}

func newWatchHandler(s *Server) *watchHandler {
	return &watchHandler{server: s, changed: make(chan struct{})}
}

// notify wakes the polls that wait for a change. It runs on Server.loop.
func (w *watchHandler) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// notifyWatchers wakes the long polls that wait for a change. It runs on the loop.
func (s *Server) notifyWatchers() { s.watch.notify() }

// handle answers a long poll with what the watcher lacks, or when the time to
// hold it is over, or at once while the node drains.
func (w *watchHandler) handle(request nodeapi.WatchRequest) nodeapi.WatchResponse {
	host := w.server.host
	arrivedAt := host.Now()
	hold := time.Duration(request.MaxHoldMs) * time.Millisecond
	hold = max(host.Heartbeats(minWatchHoldHeartbeats), min(host.LongPollTimeout(), hold))
	expired := time.NewTimer(hold)
	defer expired.Stop()
	for last := false; ; {
		var response nodeapi.WatchResponse
		var changed chan struct{}
		var hasUpdate bool
		w.server.loop.Call(func() {
			w.server.fronts.onWatch(request, host.Now()+hold)
			response, hasUpdate = w.response(request)
			w.addConfirmation(&response, arrivedAt)
			changed = w.changed
		})
		if request.Locate {
			return response
		}
		if hasUpdate && request.OmitTable && !last {
			select {
			case <-time.After(host.Heartbeats(announceDelayHeartbeats)):
			case <-host.Stopping:
			}
			last = true
			continue
		}
		if hasUpdate || last || host.Draining.Load() {
			return response
		}
		select {
		case <-changed:
		case <-expired.C:
			last = true
		case <-host.Stopping:
			return response
		}
	}
}

// response holds what a watcher lacks. hasUpdate reports whether it should be sent
// before the time to hold the poll is over. It runs on Server.loop.
func (w *watchHandler) response(request nodeapi.WatchRequest) (response nodeapi.WatchResponse, hasUpdate bool) {
	s := w.server
	now := s.host.Now()
	state := s.acceptor.State
	response = nodeapi.WatchResponse{
		Zone:                s.host.Settings().Zone,
		LacksMajority:       s.lacksMajority(now),
		Slot:                state.Slot,
		Version:             state.Version,
		FrontCount:          s.fronts.countAll(now),
		PurgeSeq:            state.PurgeSeq,
		CompactedPurgeSeq:   state.CompactedPurgeSeq(),
		RolloutSlot:         state.Slot,
		UnreachableRevision: s.unreachable.revision,
	}
	counts := s.fronts.around(request.Zone)
	response.FrontsInRegion, response.FrontsInZone = counts.region, counts.zone
	if request.WantRoster || request.Locate || state.Slot > request.Slot {
		response.ControlNodes = w.controlNodes(state)
		response.CacheNodes = state.CacheNodes
	}
	if request.WantRoster {
		response.Roster = s.fronts.sample(request.Zone, now)
	}
	if request.KnownPurge >= 0 {
		response.Purges = state.PurgesAfter(request.KnownPurge)
	}
	if !request.Locate && state.Slot > request.RolloutSlot {
		response.Rollouts = state.RolloutsAfter(request.RolloutSlot)
		hasUpdate = len(response.Rollouts) > 0
	}
	if request.Primary && !request.Locate && request.UnreachableRevision != s.unreachable.revision {
		response.UnreachableOrdinals = s.unreachable.current(now, s.host.Heartbeats(unreachableReportTTLHeartbeats))
		hasUpdate = hasUpdate || len(response.UnreachableOrdinals) > 0
	}
	if w.addTable(&response, request) {
		hasUpdate = true
	}
	return response, hasUpdate || state.Slot > request.Slot && state.Version > 0
}

// addConfirmation adds when this node's version was last certain to be the
// newest. It runs on Server.loop.
func (w *watchHandler) addConfirmation(response *nodeapi.WatchResponse, arrivedAt time.Duration) {
	confirmedAt, ok := w.server.stateConfirmedAt()
	if !ok {
		response.Unconfirmed = true
		return
	}
	// Rounded down: it may have been confirmed earlier, not later.
	response.ConfirmedAfterMs = (confirmedAt - arrivedAt).Milliseconds() - 1
}

// addTable adds the endpoint table's stamp, and the change of the table unless
// the watcher wants none. It reports whether the table changed.
func (w *watchHandler) addTable(response *nodeapi.WatchResponse, request nodeapi.WatchRequest) bool {
	tables := w.server.tables
	if tables.current == nil {
		return false
	}
	response.Stamp = tables.current.Stamp
	if !request.Stamp.Before(response.Stamp) {
		return false
	}
	if !request.OmitTable && !request.Locate {
		response.Delta = tables.delta(request.Stamp)
	}
	return true
}

// controlNodes lists the voters' nodes with their zones.
func (w *watchHandler) controlNodes(state consensus.State) (nodes []nodeapi.ControlNode) {
	settings := w.server.host.Settings()
	for _, voter := range state.Voters {
		zone := w.server.peers.byIP[voter.IP].zone
		if voter.IP == settings.IpAddress {
			zone = settings.Zone
		}
		nodes = append(nodes, nodeapi.ControlNode{IP: voter.IP, Zone: zone})
	}
	return nodes
}
