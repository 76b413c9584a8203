package control

import (
	"math/rand/v2"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/storage"
)

const (
	// watcherGracePeriod, in heartbeats, is how late a long poll may come before
	// its sender counts as overdue.
	watcherGracePeriod = 1
	// alwaysRecount is up to how many watchers the fronts are counted anew with
	// every call; with more, a count serves all calls within recountInterval
	// heartbeats: many poll at once, and each would count them all.
	alwaysRecount   = 32
	recountInterval = 0.1
	// holdPolls is how often, within the time to wait for fronts, they are looked at.
	holdPolls = 25
	// maxRosterPerZone is how many fronts of each other zone a front is sent.
	maxRosterPerZone = 4
)

// frontRegistry knows the fronts and the cache nodes: those that watch this
// node by long polls, those on the rosters of other control nodes, and how many
// fronts there are in all.
//
// All fields below loop are owned by loop; methods that need it say so.
type frontRegistry struct {
	host  *host.Host
	store *storage.Store
	loop  *commandloop.Loop

	// peers tells when another control node was heard, which is how recent its roster is.
	peers *peerTable
	// watchers are the fronts and cache nodes that watch this node, by name.
	watchers map[string]watcher
	// known are the fronts that this node or another control node heard within
	// the window of the retry budget, by name.
	known map[string]knownFront
	// count is the last count of the known fronts, taken at countedAt.
	count     int
	countedAt time.Duration
	// inheritedCount is what an earlier incarnation of this node, or another
	// control node, counted. persistedCount is the count on disk.
	inheritedCount int
	persistedCount int
	// roster lists the watchers of which this node is the primary.
	roster rosterState
	// peerRosters are the rosters of other control nodes, by address.
	peerRosters map[string]peerRoster
}

// watcher is what the last long poll of a front or cache node reported.
type watcher struct {
	heardAt time.Duration
	// overdueAt is when the next long poll must have come.
	overdueAt time.Duration
	ip        string
	zone      string
	// slot is the last decided slot whose configuration the watcher holds,
	// rolloutSlot the slot up to which it knows the rollouts.
	slot        int64
	rolloutSlot int64
	// ready: fronts of other zones may relay requests to it.
	ready bool
	// unreachableCount is how many endpoints it gets no answer from.
	unreachableCount int
	// primary: this node is the watcher's primary control node.
	primary bool
	// isCacheNode: it serves no clients.
	isCacheNode bool
}

// knownFront is when a front was last heard by any control node, and its zone.
type knownFront struct {
	heardAt time.Duration
	zone    string
}

// frontCounts counts fronts in a zone and in the region around it.
type frontCounts struct {
	region, zone int
}

// newFrontRegistry starts with the count of an earlier incarnation. Revisions
// of the roster count up from bootID.
func newFrontRegistry(s *Server, inheritedCount int) *frontRegistry {
	return &frontRegistry{
		host:           s.host,
		store:          s.store,
		loop:           s.loop,
		peers:          &s.peers,
		watchers:       map[string]watcher{},
		known:          map[string]knownFront{},
		inheritedCount: inheritedCount,
		persistedCount: inheritedCount,
		roster:         rosterState{bootID: s.bootID},
		peerRosters:    map[string]peerRoster{},
	}
}

// onWatch notes a long poll that is held until a time at the latest. It runs on loop.
func (f *frontRegistry) onWatch(request nodeapi.WatchRequest, heldUntil time.Duration) {
	f.watchers[request.Name] = watcher{
		heardAt:          f.host.Now(),
		overdueAt:        heldUntil + f.host.Heartbeats(watcherGracePeriod),
		ip:               request.IP,
		zone:             request.Zone,
		slot:             request.Slot,
		rolloutSlot:      request.RolloutSlot,
		ready:            request.Ready,
		unreachableCount: request.UnreachableCount,
		primary:          request.Primary,
		isCacheNode:      request.IsCacheNode,
	}
}

// missEndpoints reports whether fronts heard lately get no answer from some
// endpoints. It runs on loop.
func (f *frontRegistry) missEndpoints() bool {
	now := f.host.Now()
	for _, w := range f.watchers {
		if w.unreachableCount > 0 && now < w.overdueAt {
			return true
		}
	}
	return false
}

// behindRollout counts the watchers heard lately that do not know the rollouts
// up to a slot. It runs on loop.
func (f *frontRegistry) behindRollout(slot int64) (behind int) {
	now := f.host.Now()
	for _, w := range f.watchers {
		if w.rolloutSlot < slot && now < w.overdueAt {
			behind++
		}
	}
	return behind
}

// slots lists the last decided slot that each watcher holds. It runs on loop.
func (f *frontRegistry) slots() map[string]int64 {
	slots := map[string]int64{}
	for name, w := range f.watchers {
		slots[name] = w.slot
	}
	return slots
}

// allHold reports whether every watcher heard lately holds a slot. It runs on loop.
func (f *frontRegistry) allHold(slot int64) bool {
	now := f.host.Now()
	for _, w := range f.watchers {
		if w.slot < slot && now < w.overdueAt {
			return false
		}
	}
	return true
}

// waitHold waits until every watcher heard lately holds a slot, at most for the
// timeout. It must not be called on loop.
func (f *frontRegistry) waitHold(slot int64, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		held := false
		f.loop.Call(func() { held = f.allHold(slot) })
		if held {
			return
		}
		time.Sleep(timeout / holdPolls)
	}
}

// countAll counts the fronts that this or another control node heard within the
// window of the retry budget. A node that just started goes by what it counted
// in its incarnation before: after a power loss of the whole cluster no front
// must believe to be alone, and use the retry budget of all. It runs on loop.
func (f *frontRegistry) countAll(now time.Duration) int {
	if f.countedAt > 0 && now-f.countedAt < f.host.Heartbeats(recountInterval) && len(f.watchers) > alwaysRecount {
		return f.count
	}
	f.countedAt = now
	window := config.Seconds(f.host.Settings().Bounds.RetryWindowS, 1)
	f.noteWatchers(now, window)
	f.noteRosters()
	for name, front := range f.known {
		if now-front.heardAt > window {
			delete(f.known, name)
		}
	}
	count := len(f.known)
	if now < window {
		count = max(count, f.inheritedCount)
	}
	if count != f.count {
		f.count = count
		f.persistCount(count)
	}
	return count
}

// noteWatchers adds the watchers to the known fronts and forgets those that
// were not heard within the window.
func (f *frontRegistry) noteWatchers(now, window time.Duration) {
	for name, w := range f.watchers {
		if !w.isCacheNode {
			f.known[name] = knownFront{w.heardAt, w.zone}
		}
		if now-w.heardAt > window {
			delete(f.watchers, name)
		}
	}
}

// noteRosters adds the fronts on other control nodes' rosters to the known ones.
func (f *frontRegistry) noteRosters() {
	for ip, roster := range f.peerRosters {
		heardAt := f.peers.byIP[ip].heardAt
		for _, front := range roster.Fronts {
			if !front.CacheNode && heardAt > f.known[front.Name].heardAt {
				f.known[front.Name] = knownFront{heardAt, front.Zone}
			}
		}
	}
}

// persistCount writes the count to disk. It runs on loop.
func (f *frontRegistry) persistCount(count int) {
	f.persistedCount = count
	records.FrontCountRecord.Put(f.store, count, nil)
}

// onPeerCount takes how many fronts another control node counts. A node that no
// front watches, or that just started, goes by it. It runs on loop.
func (f *frontRegistry) onPeerCount(count int, now time.Duration) {
	if now < config.Seconds(f.host.Settings().Bounds.RetryWindowS, 1) {
		f.inheritedCount = max(f.inheritedCount, count)
	}
	if count > f.persistedCount {
		f.persistCount(count)
	}
}

// around counts the known fronts in a zone and its region. It runs on loop.
func (f *frontRegistry) around(zone string) (counts frontCounts) {
	regions := f.host.Settings().Zones
	for _, front := range f.known {
		if regions[front.zone] == regions[zone] {
			counts.region++
		}
		if front.zone == zone {
			counts.zone++
		}
	}
	return counts
}

// zoneOf is the zone of a watcher. It runs on loop.
func (f *frontRegistry) zoneOf(name string) string { return f.watchers[name].zone }

// cacheNodeHeardAt is when a cache node was last known to run: by its long polls
// here, or by the rosters of other control nodes. It runs on loop.
func (f *frontRegistry) cacheNodeHeardAt(ip string) (heardAt time.Duration) {
	for _, w := range f.watchers {
		if w.isCacheNode && w.ip == ip {
			heardAt = max(heardAt, w.overdueAt)
		}
	}
	for peer, roster := range f.peerRosters {
		for _, front := range roster.Fronts {
			if front.CacheNode && front.IP == ip {
				heardAt = max(heardAt, f.peers.byIP[peer].heardAt)
			}
		}
	}
	return heardAt
}

// sample draws some ready fronts of every zone but one. It runs on loop.
func (f *frontRegistry) sample(exceptZone string, now time.Duration) []relay.Front {
	all := f.ownRoster().Fronts
	inTouch := config.Milliseconds(f.host.Settings().Bounds.InTouchMs, 1)
	for ip, roster := range f.peerRosters {
		if now-f.peers.byIP[ip].heardAt < inTouch {
			all = append(all, roster.Fronts...)
		}
	}
	perZone := map[string]int{}
	drawn := map[string]bool{}
	sample := []relay.Front{}
	for _, i := range rand.Perm(len(all)) {
		front := all[i]
		if front.NotReady || front.CacheNode || front.Zone == exceptZone {
			continue
		}
		if drawn[front.Name] || perZone[front.Zone] >= maxRosterPerZone {
			continue
		}
		perZone[front.Zone]++
		drawn[front.Name] = true
		sample = append(sample, front)
	}
	return sample
}
