package front

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/shardmap"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/panjf2000/ants/v2"
)

// Server is the part of a node that serves clients. Its tables belong to one desk.
type Server struct {
	host    *host.Host
	options host.Options
	loop    *commandloop.Loop

	endpoints   *upstream.Pool
	retryBudget *ratelimit.RetryBudget
	frontend    *frontend.Handler
	pool        *ants.Pool
	relays      *relay.Balancer
	ready       atomic.Bool
	// cacheNode: the node serves no clients, it keeps copies.
	cacheNode       bool
	cacheHandler    *frontend.CacheHandler
	fetcher         *cachenode.Fetcher
	cacheNodes      atomic.Pointer[cacheNodeList]
	cacheNodeHealth *relay.Balancer
	// majorityHeardAt is when a hut last answered; fronts is how many fronts there are.
	majorityHeardAt atomic.Int64
	frontCount      atomic.Int64

	// Owned by the desk.
	layouts      *shardmap.State
	routeTables  map[int64]*routing.Table
	table        *endpoints.Table
	controlNodes []nodeapi.ControlNode
	watching     map[string]bool
	// watchTargets are the huts that this node watches, the first before the
	// others; bad are those that did not answer, until when.
	watchTargets      []string
	unresponsiveUntil map[string]time.Duration
	frontCounts       map[string]upstream.FrontCounts
	// progress is what the watchers tell the huts that this node holds.
	progress atomic.Pointer[progress]
	fetching atomic.Bool
	// configuration is the newest configuration that was fetched.
	configuration atomic.Pointer[config.Configuration]

	// locatedControl: the node knows where the huts are, and so which is the nearest.
	locatedControl atomic.Bool
	// unreachableRevision is the last hearsay that the hut watched first told; missed wakes
	// the loop that tells it of searchers that did not answer.
	unreachableRevision atomic.Int64
	endpointMissed      chan struct{}
	// rosterAskedAt is when the node last asked for other fronts.
	rosterAskedAt atomic.Int64

	rollouts rolloutFollower

	listener atomic.Pointer[net.Listener]
	gate     transport.ConnTracker
	// defaultLimits are the limits for clients where the operator gives none.
	defaultLimits routing.Limits
}

// progress is what a node has of all that the huts tell; it is never changed.
type progress struct {
	slot, version, purge, rolloutSlot int64
	stamp                             endpoints.Stamp
}

func New(n *host.Host, opt host.Options) (*Server, error) {
	s := n.Settings()
	b := s.Bounds
	pool, err := ants.NewPool(int(max(256, s.Limits.FileDescriptors/2)), ants.WithNonblocking(true), ants.WithExpiryDuration(n.Heartbeats(8)))
	if err != nil {
		return nil, err
	}
	t := &Server{host: n, options: opt, loop: commandloop.New(), pool: pool, routeTables: map[int64]*routing.Table{}, watching: map[string]bool{}, unresponsiveUntil: map[string]time.Duration{}, frontCounts: map[string]upstream.FrontCounts{}, endpointMissed: make(chan struct{}, 1)}
	t.defaultLimits = routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: config.Milliseconds(b.InTouchMs, 1), IdleTimeout: config.Milliseconds(b.InTouchMs, 3)}
	t.endpoints = upstream.New(upstream.Options{
		Distance: n.Distance, TCPUserTimeout: n.TCPUserTimeout(), DialTimeout: config.Milliseconds(b.InTouchMs, 0.125), MaxBodyBytes: n.MaxMessageBytes(),
		IdleTimeout: config.Milliseconds(b.InTouchMs, 1), SettleTime: config.Milliseconds(b.InTouchMs, 0.05), ConsecutiveFailures: 3, BaseEjectionTime: config.Milliseconds(b.InTouchMs, 0.2),
		DistancePenalty: opt.RemoteZonePenalty, TwoChoicesThreshold: 5, NodeName: s.NodeName, DecayTime: config.Milliseconds(b.InTouchMs, 0.75),
	})
	t.retryBudget = ratelimit.NewRetryBudget(ratelimit.BudgetOptions{
		Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: config.Seconds(b.RetryWindowS, 1), Utilization: opt.RetryBudgetUse, FirstWindowShare: 0.3,
	}, n.Now())
	guide := &scatter.Gatherer{Upstream: t.endpoints, RetryBudget: t.retryBudget, Workers: pool, Now: n.Now, HedgeAfter: opt.HedgeAfter}
	t.frontend = frontend.New(frontend.Options{PartialResponseAfter: opt.PartialAnswerAfter, GiveUpAfter: 0.97, LateResponseValue: opt.LateAnswerValue, RetryAfterRatio: 0.25, WriteTimeout: n.TCPUserTimeout(), StartupWait: n.Heartbeats(0.5), OverloadFactor: opt.OverloadFactor, Clock: t.clock, MajorityTimeout: n.MajorityTimeout()}, guide)
	if opt.Relay {
		t.relays = relay.NewBalancer(n.Heartbeats(1))
		t.frontend.SetRelays(t.relays, func(ip string, ask relay.Request, say *relay.Response, within time.Duration) error {
			err := n.Client.CallJSON(n.Settings().InternalAddress(ip), nodeapi.PathRelay, ask, say, within)
			if err != nil {
				// Others may do better.
				t.rosterAskedAt.Store(0)
			}
			return err
		})
	}
	t.cacheNode = opt.Role == host.RoleCache
	t.cacheNodeHealth = relay.NewBalancer(n.Heartbeats(1))
	memory := s.Limits.MemoryMb * (1 << 20)
	if memory <= 0 {
		memory = 256 << 20
	}
	t.cacheHandler = frontend.NewCacheHandler(int(memory*opt.FrontCacheRatio), n.Now, t)
	t.frontend.SetCacheHandler(t.cacheHandler)
	if t.cacheNode {
		t.fetcher = cachenode.NewFetcher(n, t, t.endpoints, t.cacheHandler, int(memory*opt.CacheNodeRatio))
	} else {
		t.fetcher = cachenode.NewFetcher(n, t, t.endpoints, t.cacheHandler, int(memory*opt.FrontCacheRatio/4))
	}
	t.layouts = shardmap.New(shardmap.Options{
		SlotsPerShard: opt.MaxSlotHolders, MinReady: 2, LeaseDuration: n.Heartbeats(opt.SlotLeaseHeartbeats), SwitchWait: config.Milliseconds(b.ConfigEffectMs, opt.LayoutSwitchWait),
	})
	t.progress.Store(&progress{slot: -1, purge: -1, rolloutSlot: -1})
	t.endpoints.OnHealthy = func(id string) {
		t.loop.Submit(func() { t.layouts.OnAnswer(id, n.Now()); t.advanceLayouts() })
	}
	t.endpoints.OnUnhealthy = func(id string) {
		t.loop.Submit(func() { t.layouts.OnSilent(id, n.Now()); t.advanceLayouts() })
	}
	t.rollouts.reset()
	t.endpoints.OnAttempt = t.recordAttempt
	t.endpoints.OnUnreachable = func() {
		select {
		case t.endpointMissed <- struct{}{}:
		default:
		}
	}
	return t, nil
}

func (t *Server) Start() {
	t.loop.Call(func() {
		for _, ip := range t.host.Settings().SeedIPs() {
			t.controlNodes = append(t.controlNodes, nodeapi.ControlNode{IP: ip})
		}
		t.pickWatchTargets()
	})
	go t.fetcher.Run()
	if t.cacheNode {
		go t.fetcher.JoinLoop()
	} else {
		t.serveClients()
		go t.serveReadiness()
		if t.options.ShareUnreachable {
			go t.reportUnreachableLoop()
		}
	}
	go t.tickLoop()
	go t.reportLoop()
}

func (t *Server) ControlIPs() (out []string) {
	t.loop.Call(func() {
		for _, h := range t.controlNodes {
			out = append(out, h.IP)
		}
	})
	return out
}

// pickWatchTargets chooses the huts to watch: one more than may be lost at once, the
// nearest first, those that did not answer lately last. However many fronts
// and huts there are, a front holds that many calls. It runs on the desk.
func (t *Server) pickWatchTargets() {
	n, now := t.host, t.host.Now()
	order := slices.Clone(t.controlNodes)
	rank := func(h nodeapi.ControlNode) (int, int, uint64) {
		bad := 0
		if now < t.unresponsiveUntil[h.IP] {
			bad = 1
		}
		return bad, n.Distance(h.Zone), upstream.HashString(n.Settings().NodeName + " " + h.IP)
	}
	slices.SortFunc(order, func(a, b nodeapi.ControlNode) int {
		ab, ad, ah := rank(a)
		bb, bd, bh := rank(b)
		return cmp.Or(cmp.Compare(ab, bb), cmp.Compare(ad, bd), cmp.Compare(ah, bh))
	})
	most := max(2, int(n.Settings().ToleratedLosses.GetMachines())+1)
	if t.layouts.LastBuilt == 0 {
		// At the start whoever answers first will do.
		most = len(order)
	}
	t.watchTargets = nil
	for _, h := range order[:min(most, len(order))] {
		t.watchTargets = append(t.watchTargets, h.IP)
		if !t.watching[h.IP] {
			t.watching[h.IP] = true
			go t.watch(h.IP)
		}
	}
}

// watch keeps asking one hut for news, as long as it is one of those picked.
func (t *Server) watch(ip string) {
	n := t.host
	brief := true
	fails := 0
	hold := n.Heartbeats(1)
	for {
		select {
		case <-n.Stopping:
			return
		default:
		}
		stay, first := false, false
		t.loop.Call(func() {
			at := slices.Index(t.watchTargets, ip)
			if stay, first = at >= 0, at == 0; !stay {
				delete(t.watching, ip)
				delete(t.frontCounts, ip)
			}
		})
		if !stay {
			return
		}
		h := t.progress.Load()
		ask := nodeapi.WatchRequest{
			Name: n.Settings().NodeName, IP: n.Settings().IpAddress, Slot: h.slot, PurgeSeq: h.purge, RolloutSlot: h.rolloutSlot, Stamp: h.stamp, OmitTable: brief && !first,
			Zone: n.Settings().Zone, Ready: t.ready.Load() && !n.Draining.Load(), UnreachableCount: t.endpoints.UnhealthyCount(), MaxHoldMs: hold.Milliseconds(),
			Primary: first, IsCacheNode: t.cacheNode, WantRoster: first && t.rosterDue(), Locate: !t.locatedControl.Load(), UnreachableRevision: t.unreachableRevision.Load(),
		}
		var say nodeapi.WatchResponse
		err := n.Client.CallJSON(n.Settings().InternalAddress(ip), nodeapi.PathWatch, ask, &say, hold+n.Heartbeats(0.8))
		if err != nil {
			fails++
			hold = n.Heartbeats(1)
			t.loop.Call(func() {
				delete(t.frontCounts, ip)
				if fails >= 2 {
					t.unresponsiveUntil[ip] = n.Now() + n.Heartbeats(4)
					t.pickWatchTargets()
				}
			})
			// A hut that starts together with this node is there in a moment.
			time.Sleep(time.Duration(float64(min(n.Heartbeats(0.02)<<min(fails, 4), n.Heartbeats(0.25))) * (0.5 + rand.Float64())))
			if fails > 2 {
				t.discoverControlNodes()
			}
			continue
		}
		fails = 0
		var d *endpoints.Delta
		if say.Delta != nil {
			if d, err = nodeapi.UnpackTableDelta(say.Delta, n.MaxMessageBytes()); err != nil {
				events.Log(events.MessageRejected, "from", ip, "path", nodeapi.PathWatch, "err", err)
				d = nil
			}
		}
		t.loop.Call(func() { t.onWatchResponse(ip, ask, say, d) })
		if ask.Locate {
			if !t.locatedControl.Load() {
				time.Sleep(n.Heartbeats(0.1))
			}
			continue
		}
		behind := func() bool { return t.progress.Load().stamp.Before(say.Stamp) }
		late := func() bool { return t.progress.Load().version < say.Version }
		if !first && (behind() || late()) {
			// The hut watched first brings it cheaper, if it is there.
			time.Sleep(n.Heartbeats(0.05))
		}
		brief = !behind()
		// The others are asked for news only: they may hold the call for longer.
		if hold = n.Heartbeats(1); !first {
			hold = n.LongPollTimeout()
		}
		for i := 0; late() && i < 20; i++ {
			t.fetchConfiguration(ip)
			if late() {
				time.Sleep(n.Heartbeats(0.02))
			}
		}
	}
}

// rosterDue tells whether it is time to ask for other fronts.
func (t *Server) rosterDue() bool {
	last := time.Duration(t.rosterAskedAt.Load())
	return last == 0 || t.host.Now()-last > t.host.Heartbeats(5)
}

// discoverControlNodes looks for huts in the view when those known don't answer.
func (t *Server) discoverControlNodes() {
	var found []string
	t.host.ViewLoop.Call(func() { found = t.host.View.ControlIPs() })
	found = append(found, t.host.Settings().SeedIPs()...)
	t.loop.Call(func() {
		for _, ip := range found {
			if len(t.controlNodes) < 12 && !slices.ContainsFunc(t.controlNodes, func(h nodeapi.ControlNode) bool { return h.IP == ip }) {
				t.controlNodes = append(t.controlNodes, nodeapi.ControlNode{IP: ip})
			}
		}
		t.pickWatchTargets()
	})
}

// onWatchResponse takes what a hut said; it runs on the desk.
func (t *Server) onWatchResponse(ip string, ask nodeapi.WatchRequest, say nodeapi.WatchResponse, d *endpoints.Delta) {
	if len(say.ControlNodes) > 0 && say.Slot >= t.progress.Load().slot {
		t.controlNodes = say.ControlNodes
		t.locatedControl.Store(true)
		t.pickWatchTargets()
		for _, h := range say.ControlNodes {
			t.host.ViewLoop.Submit(func() {
				t.host.View.Add(peersampling.Node{Name: "hut-" + h.IP, IP: h.IP, Zone: h.Zone, IsControl: true})
			})
		}
	}
	if say.Roster != nil {
		t.rosterAskedAt.Store(int64(t.host.Now()))
		if t.relays != nil {
			t.relays.SetFronts(say.Roster, t.host.Settings().NodeName)
		}
	}
	if len(say.UnreachableOrdinals) > 0 && t.options.ShareUnreachable {
		t.endpoints.MarkUnreachable(say.UnreachableOrdinals, time.Now().Add(t.host.UnreachableTTL()))
	}
	if len(t.watchTargets) > 0 && t.watchTargets[0] == ip {
		t.unreachableRevision.Store(say.UnreachableRevision)
	}
	if !say.LacksMajority {
		t.majorityHeardAt.Store(int64(t.host.Now()))
	}
	if say.ControlNodes != nil && say.Slot >= t.progress.Load().slot {
		t.setCacheNodes(say.CacheNodes)
	}
	if h := t.progress.Load(); say.PurgeSeq > h.purge && (h.purge >= 0 || len(say.ControlNodes) > 0) {
		t.cacheHandler.ApplyPurges(say.PurgeSeq, say.CompactedPurgeSeq, say.Purges)
		t.updateProgress(func(h *progress) { h.purge = say.PurgeSeq })
	}
	if !ask.Locate {
		t.onRollouts(say)
	}
	delete(t.unresponsiveUntil, ip)
	t.frontCounts[ip] = upstream.FrontCounts{All: say.FrontCount, Region: say.FrontsInRegion, Zone: say.FrontsInZone}
	most := upstream.FrontCounts{All: 1}
	for _, c := range t.frontCounts {
		most.All, most.Region, most.Zone = max(most.All, c.All), max(most.Region, c.Region), max(most.Zone, c.Zone)
	}
	if t.frontCount.Swap(int64(most.All)) != int64(most.All) {
		t.retryBudget.SetNodes(most.All)
	}
	if !t.cacheNode {
		t.endpoints.SetFrontCounts(most)
	}
	if d != nil && (t.table == nil || t.table.Stamp.Before(d.To)) {
		if table, err := t.table.ApplyDelta(d); err == nil {
			t.setTable(table)
		}
	}
	t.updateProgress(func(h *progress) {
		if say.Version <= h.version {
			h.slot = max(h.slot, say.Slot)
		}
	})
}

// setTable takes a newer table; it runs on the desk.
func (t *Server) setTable(table *endpoints.Table) {
	t.table = table
	t.updateProgress(func(h *progress) { h.stamp = table.Stamp })
	t.endpoints.SetTable(table)
	t.layouts.OnEndpoints(table, t.host.Now())
	t.applyTrafficSplits()
	t.advanceLayouts()
	t.publish()
}

// updateProgress changes what this node tells that it holds; it runs on the desk.
func (t *Server) updateProgress(change func(h *progress)) {
	h := *t.progress.Load()
	change(&h)
	t.progress.Store(&h)
}

// fetchConfiguration brings the newest configuration from a hut.
func (t *Server) fetchConfiguration(ip string) {
	if !t.fetching.CompareAndSwap(false, true) {
		return
	}
	defer t.fetching.Store(false)
	start := time.Now()
	have := t.configuration.Load()
	ask := nodeapi.VersionRequest{}
	if have != nil {
		ask.Version = have.Version
	}
	rep, err := t.host.Client.Do(t.host.Settings().InternalAddress(ip), "POST", nodeapi.PathVersion, nil, codec.MustEncode("version", ask), config.Milliseconds(t.host.Settings().Bounds.ConfigEffectMs, 0.3))
	if err != nil || rep.Status != 200 {
		return
	}
	var say nodeapi.VersionResponse
	if json.Unmarshal([]byte(rep.Header(nodeapi.HeaderVersion)), &say) != nil || say.Version <= t.progress.Load().version {
		return
	}
	// Large ones take a while to read: not on the desk.
	c, err := t.unpackConfiguration(rep.Body)
	if err == nil && say.BaseVersion > 0 {
		if have == nil || have.Version != say.BaseVersion {
			return
		}
		c = have.ApplyDelta(c, say.Removed)
	}
	if err != nil || c.Version != say.Version {
		events.Log(events.MessageRejected, "from", ip, "version", say.Version, "err", err)
		return
	}
	t.configuration.Store(c)
	t.loop.Call(func() { t.applyConfiguration(say, c, time.Since(start)) })
}

// unpackConfiguration reads a packed configuration.
func (t *Server) unpackConfiguration(body []byte) (*config.Configuration, error) {
	raw, err := codec.Gunzip(body, t.host.MaxMessageBytes())
	if err != nil {
		return nil, err
	}
	return config.DecodeConfiguration(raw)
}

// applyConfiguration puts decided state in its place; it runs on the desk. A node never
// goes back to an older version.
func (t *Server) applyConfiguration(say nodeapi.VersionResponse, c *config.Configuration, on time.Duration) {
	v := say.Version
	if v <= t.layouts.LastBuilt {
		return
	}
	defer t.updateProgress(func(h *progress) { h.version, h.slot = v, max(h.slot, say.Slot) })
	m := routing.Compile(c, t.defaultLimits)
	t.routeTables[v] = m
	age := time.Duration(say.AgeMs)*time.Millisecond + on
	if t.layouts.OnBuilt(shardmap.Layout{Version: v, Shards: m.Shards()}, age, t.host.Now()) {
		t.publish()
	} else {
		events.Log(events.LayoutPending, "version", v, "current", t.layouts.Current.Version)
	}
	t.advanceLayouts()
}

// advanceLayouts moves the rollout on; it runs on the desk.
func (t *Server) advanceLayouts() {
	old := t.layouts.Current.Version
	switched, ready := t.layouts.Tick(t.host.Now())
	freed := t.layouts.TakeFreed()
	for _, f := range freed {
		events.Log(events.SlotFreed, "shard", f.Shard, "searcher", f.Endpoint, "why", f.Reason)
	}
	if switched {
		events.Log(events.LayoutSwitched, "from", old, "to", t.layouts.Current.Version, "ready", ready)
	}
	if switched || len(freed) > 0 {
		t.publish()
	}
}

// publish pins what is in force into a snapshot for the requests to come; it runs on the desk.
func (t *Server) publish() {
	m := t.routeTables[t.layouts.Current.Version]
	if m == nil {
		return
	}
	for v := range t.routeTables {
		if v < t.layouts.Current.Version || v != t.layouts.Current.Version && (t.layouts.Next == nil || v != t.layouts.Next.Version) {
			delete(t.routeTables, v)
		}
	}
	s := &frontend.Snapshot{RouteTable: m, Holders: map[string]map[string][]string{}, TrafficSplits: t.rollouts.splits}
	for _, shard := range t.layouts.Current.Shards {
		s.Holders[shard] = t.layouts.HoldersByVersion(shard)
	}
	for name, sv := range m.Services {
		t.endpoints.SetConnectionLimit(name, int(sv.ConnectionLimit))
	}
	if t.table == nil || t.progress.Load().rolloutSlot < 0 {
		return
	}
	t.frontend.SetSnapshot(s)
	if !t.host.Draining.Load() && t.ready.CompareAndSwap(false, true) {
		events.Log(events.FrontReady, "version", m.Version, "searchers", len(t.table.Endpoints))
	}
}

// serveClients starts the clients' listener. Until the node has a configuration and
// a table, requests wait at its head.
func (t *Server) serveClients() {
	lis := t.host.ServerOptions(t.defaultLimits.IdleTimeout)
	lis.MaxHeaderBytes = t.host.MaxMessageBytes() / 16
	lis.Tracker = &t.gate
	lis.Timeouts = func() (time.Duration, time.Duration) {
		if s := t.frontend.Snapshot(); s != nil {
			return s.RouteTable.Limits.HeaderTimeout, s.RouteTable.Limits.IdleTimeout
		}
		return t.defaultLimits.HeaderTimeout, t.defaultLimits.IdleTimeout
	}
	go func() {
		ln, err := transport.Listen(t.host.Settings().ListenAddresses.FrontAddress, t.host.TCPUserTimeout(), t.host.Heartbeats(0.1), t.host.Stopping)
		if err != nil {
			return
		}
		t.listener.Store(&ln)
		transport.Serve(ln, lis, t.frontend.Handle)
	}()
}

func (t *Server) serveReadiness() {
	ln, err := transport.Listen(t.host.Settings().ListenAddresses.ReadinessAddress, t.host.TCPUserTimeout(), t.host.Heartbeats(0.1), t.host.Stopping)
	if err != nil {
		return
	}
	transport.Serve(ln, t.host.ServerOptions(t.host.Heartbeats(8)), func(_ context.Context, c *app.RequestContext) {
		status := 503
		if t.ready.Load() && !t.host.Draining.Load() {
			status = 200
		}
		transport.WriteJSON(c, status, map[string]bool{"Ready": status == 200})
	})
}

// tickLoop ticks often while a cut waits, seldom otherwise.
func (t *Server) tickLoop() {
	for {
		wait := t.host.Heartbeats(0.4)
		t.loop.Call(func() {
			t.advanceLayouts()
			if t.layouts.Next != nil {
				wait = config.Milliseconds(t.host.Settings().Bounds.ConfigEffectMs, 0.02)
			}
		})
		t.endpoints.PruneIdle(time.Now())
		select {
		case <-t.host.Stopping:
			return
		case <-time.After(wait):
		}
	}
}

// Drain lets the platform send its clients elsewhere, then ends what is under way.
func (t *Server) Drain(start time.Time, grace time.Duration) {
	events.Log(events.FrontNotReady, "why", "leaving")
	t.frontend.Drain()
	time.Sleep(time.Until(start.Add(grace / 2)))
	if ln := t.listener.Load(); ln != nil {
		(*ln).Close()
	}
	// Connections at rest are ended unread; the others end with their answer.
	t.gate.Drain()
	ended := false
	for time.Since(start) < grace*92/100 && (t.gate.Active() > 0 || t.frontend.InFlight() > 0) {
		if !ended && time.Since(start) > grace*65/100 {
			ended = true
			t.frontend.CancelWaiting()
		}
		time.Sleep(grace / 200)
	}
}

// Status is the trail's part of the status.
type Status struct {
	Ready      bool            `json:"Ready"`
	Slot       int64           `json:"Slot"`
	LastBuilt  int64           `json:"LastBuilt"`
	Current    int64           `json:"Current"`
	Next       int64           `json:"Next,omitempty"`
	TableStamp endpoints.Stamp `json:"Table"`
	Endpoints  int             `json:"Searchers"`
	FrontCount int             `json:"Fronts"`
	// Connections to searchers, and how many of these do not answer.
	Connections upstream.Stats `json:"Connections"`
	InFlight    int64          `json:"Busy"`
	// Relayed counts the requests in which this front gathered for another.
	Relayed      int64               `json:"Helped"`
	ShardHolders map[string][]string `json:"Slots"`
	// CachedObjects and CopyBytes are what is kept, Purge the last purge known;
	// Fetched counts fetches, Part is this node's part of the ceilings.
	CachedObjects int     `json:"Copies"`
	CachedBytes   int     `json:"CopyBytes"`
	KnownPurge    int64   `json:"Purge"`
	Fetches       int64   `json:"Fetched"`
	QuotaShare    float64 `json:"Part"`
}

func (t *Server) Status() *Status {
	st := &Status{Ready: t.ready.Load(), InFlight: t.frontend.InFlight(), Relayed: t.frontend.Relayed(), ShardHolders: map[string][]string{}}
	st.Connections = t.endpoints.Stats()
	st.CachedObjects, st.CachedBytes = t.cacheHandler.Usage()
	if t.cacheNode {
		st.CachedObjects, st.CachedBytes = t.fetcher.Usage()
	}
	st.Fetches, st.KnownPurge = t.fetcher.Fetches(), t.cacheHandler.KnownPurge()
	st.QuotaShare, _ = t.QuotaShare()
	t.loop.Call(func() {
		st.Slot, st.LastBuilt, st.Current, st.FrontCount = t.progress.Load().slot, t.layouts.LastBuilt, t.layouts.Current.Version, int(t.frontCount.Load())
		if t.layouts.Next != nil {
			st.Next = t.layouts.Next.Version
		}
		if t.table != nil {
			st.TableStamp, st.Endpoints = t.table.Stamp, len(t.table.Endpoints)
		}
		for _, s := range t.layouts.Current.Shards {
			st.ShardHolders[s] = t.layouts.Holders(s)
		}
	})
	return st
}

// Close ends the clients' listener at once.
func (t *Server) Close() {
	if ln := t.listener.Load(); ln != nil {
		_ = (*ln).Close()
	}
}

// Snapshot is what requests are routed by now, nil while the front is not ready.
func (t *Server) Snapshot() *frontend.Snapshot { return t.frontend.Snapshot() }

// Ready tells whether the front has a configuration and a table of endpoints.
func (t *Server) Ready() bool { return t.ready.Load() }

// Listening tells whether clients can connect.
func (t *Server) Listening() bool { return t.listener.Load() != nil }

// Progress is the newest version and endpoint table that the front holds.
func (t *Server) Progress() (version int64, table endpoints.Stamp) {
	held := t.progress.Load()
	return held.version, held.stamp
}
