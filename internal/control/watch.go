package control

import (
	"math/rand/v2"
	"slices"
	"strings"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/relay"
)

// What huts tell the fronts that watch them.

type frontState struct {
	heardAt time.Duration
	// overdueAt is when it must have been heard again.
	overdueAt time.Duration
	slot      int64
	ip        string
	zone      string
	// ready: other fronts may ask it.
	ready bool
	// silentEndpoints is how many searchers have fallen silent for it.
	silentEndpoints int
	// primary: it watches this hut before others. larder: it serves no clients.
	primary, cacheNode bool
	// rolloutSlot is the slot up to which it knows the rollouts.
	rolloutSlot int64
}

// knownFront is a front that this hut or another heard at a time.
type knownFront struct {
	heardAt time.Duration
	zone    string
}

type peerRoster struct {
	nodeapi.FrontRoster
	fetching bool
}

// handleWatch waits for news that the asker lacks, at most for a heartbeat.
func (h *Server) handleWatch(m nodeapi.WatchRequest) nodeapi.WatchResponse {
	hold := max(h.host.Heartbeats(0.2), min(h.host.LongPollTimeout(), time.Duration(m.MaxHoldMs)*time.Millisecond))
	until := time.NewTimer(hold)
	defer until.Stop()
	for late := false; ; {
		var say nodeapi.WatchResponse
		var changed chan struct{}
		news := false
		h.loop.Call(func() {
			h.onWatch(m, h.host.Now()+hold)
			say, news = h.watchResponse(m)
			changed = h.changed
		})
		if m.Locate {
			return say
		}
		if news && m.OmitTable && !late {
			// Whoever is watched first brings it sooner; what follows goes along.
			select {
			case <-time.After(h.host.Heartbeats(0.1)):
			case <-h.host.Stopping:
			}
			late = true
			continue
		}
		if news || late || h.host.Draining.Load() {
			return say
		}
		select {
		case <-changed:
		case <-until.C:
			late = true
		case <-h.host.Stopping:
			return say
		}
	}
}

// onWatch notes a node that watches; it runs on the desk.
func (h *Server) onWatch(m nodeapi.WatchRequest, until time.Duration) {
	h.fronts[m.Name] = frontState{h.host.Now(), until + h.host.Heartbeats(1), m.Slot, m.IP, m.Zone, m.Ready, m.UnreachableCount, m.Primary, m.IsCacheNode, m.RolloutSlot}
}

// watchResponse tells a watcher what it lacks; it runs on the desk.
func (h *Server) watchResponse(m nodeapi.WatchRequest) (say nodeapi.WatchResponse, news bool) {
	now := h.host.Now()
	s := h.acceptor.State
	say = nodeapi.WatchResponse{Zone: h.host.Settings().Zone, Slot: s.Slot, Version: s.Version, FrontCount: h.countFronts(now), PurgeSeq: s.PurgeSeq, CompactedPurgeSeq: s.CompactedPurgeSeq()}
	say.FrontsInRegion, say.FrontsInZone = h.frontsAround(m.Zone)
	say.LacksMajority = h.lacksMajority(now)
	if m.WantRoster || m.Locate || s.Slot > m.Slot {
		for _, v := range s.Voters {
			say.ControlNodes = append(say.ControlNodes, nodeapi.ControlNode{IP: v.IP, Zone: h.zoneOf(v.IP)})
		}
		say.CacheNodes = s.CacheNodes
	}
	if m.WantRoster {
		say.Roster = h.roster(now, m.Zone)
	}
	if say.RolloutSlot = s.Slot; !m.Locate && s.Slot > m.RolloutSlot {
		say.Rollouts = s.RolloutsAfter(m.RolloutSlot)
		news = len(say.Rollouts) > 0
	}
	if m.PurgeSeq >= 0 {
		say.Purges = s.PurgesAfter(m.PurgeSeq)
	}
	if say.UnreachableRevision = h.unreachable.revision; m.Primary && !m.Locate && m.UnreachableRevision != say.UnreachableRevision {
		say.UnreachableOrdinals = h.unreachable.current(now, h.host.Heartbeats(2))
		news = news || len(say.UnreachableOrdinals) > 0
	}
	if h.tables.current != nil {
		say.Stamp = h.tables.current.Stamp
		if m.Stamp.Before(h.tables.current.Stamp) {
			news = true
			if !m.OmitTable && !m.Locate {
				say.Delta = h.tables.delta(m.Stamp)
			}
		}
	}
	return say, news || s.Slot > m.Slot && s.Version > 0
}

func (h *Server) zoneOf(ip string) string {
	if ip == h.host.Settings().IpAddress {
		return h.host.Settings().Zone
	}
	return h.peers.byIP[ip].zone
}

// frontRoster lists the fronts that watch this hut first; it runs on the desk.
func (h *Server) frontRoster() nodeapi.FrontRoster {
	now := h.host.Now()
	r := nodeapi.FrontRoster{}
	for name, f := range h.fronts {
		if f.primary && now < f.overdueAt {
			r.Fronts = append(r.Fronts, relay.Front{Name: name, IP: f.ip, Zone: f.zone, NotReady: !f.ready, CacheNode: f.cacheNode})
		}
	}
	slices.SortFunc(r.Fronts, func(a, b relay.Front) int { return strings.Compare(a.Name, b.Name) })
	if !slices.Equal(r.Fronts, h.lastRoster) {
		h.lastRoster = slices.Clone(r.Fronts)
		h.rosterRevision++
	}
	// Another life of this hut must not be taken for this one.
	r.Revision = h.bootID + h.rosterRevision
	return r
}

// fetchRoster brings the roll of another hut.
func (h *Server) fetchRoster(ip string) {
	var r nodeapi.FrontRoster
	err := h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathFrontRoster, struct{}{}, &r, h.host.Heartbeats(0.8))
	h.loop.Submit(func() {
		if err != nil {
			r = h.peerRosters[ip].FrontRoster
		}
		h.peerRosters[ip] = peerRoster{FrontRoster: r}
	})
}

// maxRosterPerZone is how many fronts of a zone one front is told of.
const maxRosterPerZone = 4

// roster lists some fronts of every other zone that are ready; it runs on the desk.
func (h *Server) roster(now time.Duration, but string) []relay.Front {
	all := h.frontRoster().Fronts
	for ip, r := range h.peerRosters {
		if now-h.peers.byIP[ip].heardAt < config.Milliseconds(h.host.Settings().Bounds.InTouchMs, 1) {
			all = append(all, r.Fronts...)
		}
	}
	count := map[string]int{}
	seen := map[string]bool{}
	out := []relay.Front{}
	for _, i := range rand.Perm(len(all)) {
		f := all[i]
		if !f.NotReady && !f.CacheNode && f.Zone != but && !seen[f.Name] && count[f.Zone] < maxRosterPerZone {
			count[f.Zone]++
			seen[f.Name] = true
			out = append(out, f)
		}
	}
	return out
}

// frontsMissEndpoints tells whether fronts heard lately miss searchers; it runs on the desk.
func (h *Server) frontsMissEndpoints() bool {
	now := h.host.Now()
	for _, f := range h.fronts {
		if f.silentEndpoints > 0 && now < f.overdueAt {
			return true
		}
	}
	return false
}

// alwaysRecount fronts are counted anew for each that asks.
const alwaysRecount = 32

// countFronts counts the fronts that this hut or another heard within the
// window of the retry budget. A hut that just started goes by what it counted
// in its life before: after a loss of everything the fronts must not think
// that each of them is alone. It runs on the desk.
func (h *Server) countFronts(now time.Duration) int {
	window := config.Seconds(h.host.Settings().Bounds.RetryWindowS, 1)
	if h.frontsCountedAt > 0 && now-h.frontsCountedAt < h.host.Heartbeats(0.1) && len(h.fronts) > alwaysRecount {
		// Many ask at once, and each would count them all.
		return h.frontCount
	}
	h.frontsCountedAt = now
	for name, f := range h.fronts {
		if !f.cacheNode {
			h.knownFronts[name] = knownFront{f.heardAt, f.zone}
		}
		if now-f.heardAt > window {
			delete(h.fronts, name)
		}
	}
	for ip, r := range h.peerRosters {
		for _, f := range r.Fronts {
			if f.CacheNode {
				continue
			}
			if at := h.peers.byIP[ip].heardAt; at > h.knownFronts[f.Name].heardAt {
				h.knownFronts[f.Name] = knownFront{at, f.Zone}
			}
		}
	}
	for name, k := range h.knownFronts {
		if now-k.heardAt > window {
			delete(h.knownFronts, name)
		}
	}
	n := len(h.knownFronts)
	if now < window {
		n = max(n, h.inheritedFrontCount)
	}
	if n != h.frontCount {
		h.frontCount, h.persistedFrontCount = n, n
		h.writeRecord(records.KeyFrontCount, n, nil)
	}
	return n
}

// frontsAround counts the known fronts in a zone and in its region; it runs on the desk.
func (h *Server) frontsAround(zone string) (region, here int) {
	zones := h.host.Settings().Zones
	for _, k := range h.knownFronts {
		if zones[k.zone] == zones[zone] {
			region++
		}
		if k.zone == zone {
			here++
		}
	}
	return region, here
}

// waitFrontsHold waits until every front that was heard lately holds slot, at most for the time given.
func (h *Server) waitFrontsHold(slot int64, within time.Duration) {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		missing := false
		h.loop.Call(func() {
			now := h.host.Now()
			for _, f := range h.fronts {
				if f.slot < slot && now < f.overdueAt {
					missing = true
				}
			}
		})
		if !missing {
			return
		}
		time.Sleep(within / 25)
	}
}

// packedVersion is an answer that is the same for all who hold one version.
type packedVersion struct {
	response nodeapi.VersionResponse
	body     []byte
}

// versionResponse gives the newest configuration, or the difference to the one held; it runs on the desk.
func (h *Server) versionResponse(m nodeapi.VersionRequest) (nodeapi.VersionResponse, []byte) {
	p, ok := h.packedVersions[m.Version]
	if !ok {
		raw := []byte(h.acceptor.State.Body)
		for _, b := range h.pastBodies {
			if b.Version != m.Version {
				continue
			}
			if d, ok := config.Diff([]byte(b.Body), raw); ok {
				p.response.BaseVersion, p.response.Removed, raw = m.Version, d.Removed, d.Changes
			}
		}
		p.body = codec.Gzip(raw)
		if len(h.packedVersions) < 2*maxPastBodies {
			h.packedVersions[m.Version] = p
		}
	}
	p.response.Slot, p.response.Version, p.response.AgeMs = h.acceptor.State.Slot, h.acceptor.State.Version, (h.host.Now() - h.versionLearnedAt).Milliseconds()
	return p.response, p.body
}
