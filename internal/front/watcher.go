package front

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/upstream"
)

// Periods of the watcher in heartbeat intervals.
const (
	// pollHeartbeats is how long the primary may hold a long poll, and
	// pollGraceHeartbeats how much longer the call itself may take.
	pollHeartbeats      = 1
	pollGraceHeartbeats = 0.8
	// confirmationPollRatio, of RevocationMs, bounds that hold where keys need
	// confirmations.
	confirmationPollRatio = 0.2
	// unresponsiveHeartbeats is how long a control node that did not answer
	// ranks behind the others.
	unresponsiveHeartbeats = 4
	// A failed poll is retried after minPollBackoffHeartbeats, doubled with
	// each failure up to maxPollBackoffHeartbeats.
	minPollBackoffHeartbeats = 0.02
	maxPollBackoffHeartbeats = 0.25
	// locateRetryHeartbeats is the pause before asking for the control nodes again.
	locateRetryHeartbeats = 0.1
	// primaryHeadStartHeartbeats is how long another target waits for the
	// primary to bring what it announces.
	primaryHeadStartHeartbeats = 0.05
	// configurationRetryHeartbeats is the pause between attempts to fetch an
	// announced configuration.
	configurationRetryHeartbeats = 0.02
	// rosterHeartbeats is the period of asking for the fronts of other zones.
	rosterHeartbeats = 5
)

const (
	// maxConfigurationFetches bounds the attempts after one announcement; the
	// next poll announces it again.
	maxConfigurationFetches = 20
	// unresponsiveFailures is how many polls in a row fail before the control
	// node counts as unresponsive, discoveryFailures how many before others
	// are looked for in the partial view.
	unresponsiveFailures = 2
	discoveryFailures    = 3
	// maxDiscoveredNodes bounds the control nodes that discovery adds.
	maxDiscoveredNodes = 12
	// maxBackoffDoublings keeps the doubling of the backoff within bounds.
	maxBackoffDoublings = 4
)

// controlWatcher keeps a long poll open to some control nodes, its targets.
// The first target is the primary, which sends changes of the endpoint table;
// the others announce what is new, so that the loss of the primary is noticed
// and bridged at once.
//
// loop owns the fields below it, up to the atomics.
type controlWatcher struct {
	host           *host.Host
	endpoints      *upstream.Pool
	progress       *progressTracker
	layouts        *layoutController
	configurations *configurationFetcher
	isCacheNode    bool
	// onResponse applies a response to the server's controllers. It runs on loop.
	onResponse func(answered watchAnswer, delta *endpoints.Delta)

	loop *commandloop.Loop
	// controlNodes are the control nodes known.
	controlNodes []nodeapi.ControlNode
	// targets are the addresses to watch, the primary first. watching holds
	// those for which a goroutine runs; one that is no target any more ends
	// with its current poll.
	targets  []string
	watching map[string]bool
	// unresponsiveUntil holds the control nodes that did not answer lately.
	unresponsiveUntil map[string]time.Duration
	// frontCounts is what each target last said of the number of fronts.
	frontCounts map[string]upstream.FrontCounts

	// located: a control node has said where the control nodes are, so the
	// nearest are known.
	located atomic.Bool
	// unreachableRevision is the revision of the unreachable endpoints that
	// the primary sent last.
	unreachableRevision atomic.Int64
	// rosterReceivedAt is when the fronts of other zones were last received, 0 to
	// ask for them now.
	rosterReceivedAt atomic.Int64
	// frontCount is the greatest number of fronts that any target knows of.
	frontCount atomic.Int64
}

// newControlWatcher makes a watcher without control nodes. The caller sets
// onResponse before start.
func newControlWatcher(h *host.Host, loop *commandloop.Loop, pool *upstream.Pool, tracker *progressTracker, layouts *layoutController, isCacheNode bool) *controlWatcher {
	return &controlWatcher{
		host:              h,
		endpoints:         pool,
		progress:          tracker,
		layouts:           layouts,
		configurations:    &configurationFetcher{host: h, loop: loop, progress: tracker, layouts: layouts},
		isCacheNode:       isCacheNode,
		loop:              loop,
		watching:          map[string]bool{},
		unresponsiveUntil: map[string]time.Duration{},
		frontCounts:       map[string]upstream.FrontCounts{},
	}
}

// start begins to watch the seeds.
func (w *controlWatcher) start() {
	w.loop.Call(func() {
		for _, ip := range w.host.Settings().SeedIPs() {
			w.controlNodes = append(w.controlNodes, nodeapi.ControlNode{IP: ip})
		}
		w.pickTargets()
	})
}

// controlIPs returns the addresses of the control nodes known.
func (w *controlWatcher) controlIPs() (ips []string) {
	w.loop.Call(func() {
		for _, node := range w.controlNodes {
			ips = append(ips, node.IP)
		}
	})
	return ips
}

// primary returns the address of the primary, empty if there is none. It runs on loop.
func (w *controlWatcher) primary() string {
	if len(w.targets) == 0 {
		return ""
	}
	return w.targets[0]
}

// pickTargets chooses the control nodes to watch: one more than the losses
// that the cluster tolerates, the nearest first and those that did not answer
// lately last. A front holds that many long polls whatever the size of the
// cluster. Until it has a configuration it watches all, since whoever answers
// first will do. It runs on loop.
func (w *controlWatcher) pickTargets() {
	ranked := w.rankControlNodes()
	count := max(2, int(w.host.Settings().ToleratedLosses.GetMachines())+1)
	if !w.layouts.hasConfiguration() {
		count = len(ranked)
	}
	w.targets = nil
	for _, node := range ranked[:min(count, len(ranked))] {
		w.targets = append(w.targets, node.IP)
		if !w.watching[node.IP] {
			w.watching[node.IP] = true
			go w.watch(node.IP)
		}
	}
}

// rankControlNodes orders the control nodes by responsiveness, then distance,
// then by a hash of both nodes, which spreads the fronts over the control
// nodes of a zone. It runs on loop.
func (w *controlWatcher) rankControlNodes() []nodeapi.ControlNode {
	now := w.host.Now()
	rank := func(node nodeapi.ControlNode) (unresponsive, distance int, hash uint64) {
		if now < w.unresponsiveUntil[node.IP] {
			unresponsive = 1
		}
		return unresponsive, w.host.Distance(node.Zone), upstream.HashString(w.host.Settings().NodeName + " " + node.IP)
	}
	ranked := slices.Clone(w.controlNodes)
	slices.SortFunc(ranked, func(a, b nodeapi.ControlNode) int {
		unresponsiveA, distanceA, hashA := rank(a)
		unresponsiveB, distanceB, hashB := rank(b)
		return cmp.Or(cmp.Compare(unresponsiveA, unresponsiveB), cmp.Compare(distanceA, distanceB), cmp.Compare(hashA, hashB))
	})
	return ranked
}

// setControlNodes replaces the control nodes known by the agreed ones. It runs on loop.
func (w *controlWatcher) setControlNodes(nodes []nodeapi.ControlNode) {
	w.controlNodes = nodes
	w.located.Store(true)
	w.pickTargets()
}

// recordFrontCounts notes a target's counts of fronts and returns the greatest
// of all targets: one that was partitioned counts too few. It runs on loop.
func (w *controlWatcher) recordFrontCounts(ip string, counts upstream.FrontCounts) upstream.FrontCounts {
	w.frontCounts[ip] = counts
	most := upstream.FrontCounts{All: 1}
	for _, c := range w.frontCounts {
		most.All = max(most.All, c.All)
		most.Region = max(most.Region, c.Region)
		most.Zone = max(most.Zone, c.Zone)
	}
	return most
}

// rosterDue reports whether it is time to ask for the fronts of other zones.
func (w *controlWatcher) rosterDue() bool {
	last := time.Duration(w.rosterReceivedAt.Load())
	return last == 0 || w.host.Now()-last > w.host.Heartbeats(rosterHeartbeats)
}

// watchAnswer is the response of a control node to a poll.
type watchAnswer struct {
	ip       string
	request  nodeapi.WatchRequest
	response nodeapi.WatchResponse
	// sentAt is when the poll was sent, by the node's monotonic clock. What the
	// response says held at some time since then.
	sentAt time.Duration
}

// newestVersion is the version that the response announces, and when it was last
// certain to be the newest. The request arrived after it was sent.
func (a watchAnswer) newestVersion() newestVersion {
	afterArrival := time.Duration(a.response.ConfirmedAfterMs) * time.Millisecond
	return newestVersion{version: a.response.Version, at: a.sentAt + afterArrival}
}

// longPoll is the state of the polls to one target. Its goroutine owns it.
type longPoll struct {
	ip string
	// omitTable: the last response left the node with the newest table.
	omitTable bool
	failures  int
	hold      time.Duration
}

// watch polls one control node for as long as it is a target.
func (w *controlWatcher) watch(ip string) {
	poll := &longPoll{ip: ip, omitTable: true, hold: w.primaryHold()}
	for {
		select {
		case <-w.host.Stopping:
			return
		default:
		}
		isTarget, isPrimary := w.checkTarget(ip)
		if !isTarget {
			return
		}
		request := w.watchRequest(poll, isPrimary)
		sentAt := w.host.Now()
		var response nodeapi.WatchResponse
		timeout := poll.hold + w.host.Heartbeats(pollGraceHeartbeats)
		if err := w.host.Client.CallJSON(w.host.Settings().InternalAddress(ip), nodeapi.PathWatch, request, &response, timeout); err != nil {
			w.onPollFailure(poll)
			continue
		}
		poll.failures = 0
		delta := w.unpackDelta(ip, response.Delta)
		w.loop.Call(func() { w.onResponse(watchAnswer{ip, request, response, sentAt}, delta) })
		if request.Locate {
			if !w.located.Load() {
				time.Sleep(w.host.Heartbeats(locateRetryHeartbeats))
			}
			continue
		}
		w.catchUp(poll, &response, isPrimary)
	}
}

// primaryHold is how long the primary may hold a long poll. Its answers confirm
// the keys, which the settings may want often.
func (w *controlWatcher) primaryHold() time.Duration {
	hold := w.host.Heartbeats(pollHeartbeats)
	if bounds := w.host.Settings().Bounds; bounds.RevocationClosed {
		hold = min(hold, config.Milliseconds(bounds.RevocationMs, confirmationPollRatio))
	}
	return hold
}

// checkTarget reports whether a control node is a target, and the primary. If it
// is no target, the caller must end: the next pickTargets may start another
// goroutine for it.
func (w *controlWatcher) checkTarget(ip string) (isTarget, isPrimary bool) {
	w.loop.Call(func() {
		at := slices.Index(w.targets, ip)
		isTarget, isPrimary = at >= 0, at == 0
		if !isTarget {
			delete(w.watching, ip)
			delete(w.frontCounts, ip)
		}
	})
	return isTarget, isPrimary
}

func (w *controlWatcher) watchRequest(poll *longPoll, isPrimary bool) nodeapi.WatchRequest {
	settings, progress := w.host.Settings(), w.progress.load()
	return nodeapi.WatchRequest{
		Name:                settings.NodeName,
		IP:                  settings.IpAddress,
		Zone:                settings.Zone,
		Slot:                progress.slot,
		KnownPurge:          progress.knownPurge,
		RolloutSlot:         progress.rolloutSlot,
		Stamp:               progress.table,
		OmitTable:           poll.omitTable && !isPrimary,
		Ready:               w.layouts.ready.Load() && !w.host.Draining.Load(),
		UnreachableCount:    w.endpoints.UnhealthyCount(),
		MaxHoldMs:           poll.hold.Milliseconds(),
		Primary:             isPrimary,
		IsCacheNode:         w.isCacheNode,
		WantRoster:          isPrimary && w.rosterDue(),
		Locate:              !w.located.Load(),
		UnreachableRevision: w.unreachableRevision.Load(),
	}
}

// unpackDelta returns the change of the endpoint table in a response, nil if
// there is none or it can't be read.
func (w *controlWatcher) unpackDelta(ip string, packed []byte) *endpoints.Delta {
	if packed == nil {
		return nil
	}
	delta, err := nodeapi.UnpackTableDelta(packed, w.host.MaxMessageBytes())
	if err != nil {
		events.Log(events.MessageRejected, "from", ip, "path", nodeapi.PathWatch, "err", err)
		return nil
	}
	return delta
}

// onPollFailure picks other targets if the control node keeps failing, and
// waits before the next poll.
func (w *controlWatcher) onPollFailure(poll *longPoll) {
	poll.failures++
	poll.hold = w.primaryHold()
	w.loop.Call(func() {
		delete(w.frontCounts, poll.ip)
		if poll.failures >= unresponsiveFailures {
			w.unresponsiveUntil[poll.ip] = w.host.Now() + w.host.Heartbeats(unresponsiveHeartbeats)
			w.pickTargets()
		}
	})
	// The first pauses are short: a control node that starts together with
	// this node answers in a moment.
	pause := min(w.host.Heartbeats(minPollBackoffHeartbeats)<<min(poll.failures, maxBackoffDoublings), w.host.Heartbeats(maxPollBackoffHeartbeats))
	time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
	if poll.failures >= discoveryFailures {
		w.discoverControlNodes()
	}
}

// catchUp fetches what a response announced and sets up the next poll.
func (w *controlWatcher) catchUp(poll *longPoll, response *nodeapi.WatchResponse, isPrimary bool) {
	lacksTable := func() bool { return w.progress.load().table.Before(response.Stamp) }
	lacksConfiguration := func() bool { return w.progress.load().version < response.Version }
	if !isPrimary && (lacksTable() || lacksConfiguration()) {
		// The primary, if it is reachable, brings it as a small delta.
		time.Sleep(w.host.Heartbeats(primaryHeadStartHeartbeats))
	}
	poll.omitTable = !lacksTable()
	// Targets that only announce may hold the poll for longer.
	if poll.hold = w.primaryHold(); !isPrimary {
		poll.hold = w.host.LongPollTimeout()
	}
	for i := 0; lacksConfiguration() && i < maxConfigurationFetches; i++ {
		w.configurations.fetch(poll.ip)
		if lacksConfiguration() {
			time.Sleep(w.host.Heartbeats(configurationRetryHeartbeats))
		}
	}
}

// discoverControlNodes adds the control nodes of the partial view and the
// seeds, because those known do not answer.
func (w *controlWatcher) discoverControlNodes() {
	var found []string
	w.host.ViewLoop.Call(func() { found = w.host.View.ControlIPs() })
	found = append(found, w.host.Settings().SeedIPs()...)
	w.loop.Call(func() {
		for _, ip := range found {
			isKnown := slices.ContainsFunc(w.controlNodes, func(node nodeapi.ControlNode) bool { return node.IP == ip })
			if len(w.controlNodes) < maxDiscoveredNodes && !isKnown {
				w.controlNodes = append(w.controlNodes, nodeapi.ControlNode{IP: ip})
			}
		}
		w.pickTargets()
	})
}

// currentPrimary returns the primary's address, empty if there is none. It must
// not be called from loop.
func (w *controlWatcher) currentPrimary() (ip string) {
	w.loop.Call(func() { ip = w.primary() })
	return ip
}
