package control

import (
	"slices"
	"strings"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/relay"
)

// rosterCallTimeout, in heartbeats, bounds the fetch of another control node's roster.
const rosterCallTimeout = 0.8

// rosterState is the state of this node's roster as it was last sent.
type rosterState struct {
	fronts []relay.Front
	// bootID tells the revisions of this run of the process from those of any
	// other; revision counts within it.
	bootID   int64
	revision int64
}

// peerRoster is the roster of another control node.
type peerRoster struct {
	nodeapi.FrontRoster
	// fetching: a newer one is being fetched.
	fetching bool
}

// ownRoster lists the watchers heard lately of which this node is the primary.
// It runs on loop.
func (f *frontRegistry) ownRoster() nodeapi.FrontRoster {
	now := f.host.Now()
	var fronts []relay.Front
	for name, w := range f.watchers {
		if w.primary && now < w.overdueAt {
			fronts = append(fronts, relay.Front{Name: name, IP: w.ip, Zone: w.zone, NotReady: !w.ready, CacheNode: w.isCacheNode})
		}
	}
	slices.SortFunc(fronts, func(a, b relay.Front) int { return strings.Compare(a.Name, b.Name) })
	if !slices.Equal(fronts, f.roster.fronts) {
		f.roster.fronts = slices.Clone(fronts)
		f.roster.revision++
	}
	return nodeapi.FrontRoster{Revision: f.roster.bootID + f.roster.revision, Fronts: fronts}
}

// onRosterRevision takes the revision of another control node's roster, and has
// the roster fetched if it changed. It runs on loop.
func (f *frontRegistry) onRosterRevision(ip string, revision int64) {
	roster := f.peerRosters[ip]
	if roster.Revision == revision || roster.fetching {
		return
	}
	roster.fetching = true
	f.peerRosters[ip] = roster
	go f.fetchRoster(ip)
}

// fetchRoster fetches the roster of another control node. If that fails, the
// roster held stays, and the next heartbeat has it fetched again.
func (f *frontRegistry) fetchRoster(ip string) {
	var roster nodeapi.FrontRoster
	address := f.host.Settings().InternalAddress(ip)
	err := f.host.Client.CallJSON(address, nodeapi.PathFrontRoster, struct{}{}, &roster, f.host.Heartbeats(rosterCallTimeout))
	f.loop.Submit(func() {
		if err != nil {
			roster = f.peerRosters[ip].FrontRoster
		}
		f.peerRosters[ip] = peerRoster{FrontRoster: roster}
	})
}

// forgetPeer drops the roster of a control node that was not heard for long. It
// runs on loop.
func (f *frontRegistry) forgetPeer(ip string) { delete(f.peerRosters, ip) }
