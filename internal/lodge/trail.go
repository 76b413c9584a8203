package lodge

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/shardmap"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"
)

// Options are the project's defaults that an operator may change on the
// command line. All but Slots are ratios.
type Options struct {
	// Role says what the node does beside what its settings tell: RoleLarder
	// makes a node with a disk keep copies instead of state.
	Role string
	// Shelf, a part of MemoryMb, is what a front's own copies may take;
	// LarderShelf what those of a larder may.
	Shelf, LarderShelf float64
	// Slots is R, how many searchers hold a slot of one shard at most.
	Slots int
	// SwitchWait, a part of ConfigEffectMs, is how long an old cut may serve on.
	SwitchWait float64
	// LeaseBeats is a slot's lease in heartbeats.
	LeaseBeats float64
	// HedgeAt, a part of the target, is when a straggler gets company.
	HedgeAt float64
	// Soft, a part of the target, is when a partial answer is weighed.
	Soft float64
	// Late is what a late answer is taken to be worth beside one in time.
	Late float64
	// BudgetKeep is the part of the retry budget that is used at most.
	BudgetKeep float64
	// FarPenalty, a part of the target, is what a searcher in another zone must be faster by.
	FarPenalty float64
	// Crowd, times its slots, is how much a searcher may have to do before requests of the highest priority are refused.
	Crowd float64
	// Saddle: shards without a searcher in this zone are gathered by a front in another.
	Saddle bool
	// Rollout says how new versions are tried and judged.
	Rollout rollout.Options
	// Hearsay: fronts tell each other, by way of huts, which searchers do not answer.
	Hearsay bool
}

// RoleLarder is the role of nodes that keep copies.
const RoleLarder = "larder"

// Roles are the roles that there are; the others follow from the settings.
var Roles = []string{"hut", "trail", RoleLarder}

// DefaultOptions are the defaults.
func DefaultOptions() Options {
	return Options{Shelf: 0.1, LarderShelf: 0.35, Slots: 6, SwitchWait: 0.4, LeaseBeats: 2, HedgeAt: 0.5, Soft: 0.89, Late: 0.35, BudgetKeep: 0.85, FarPenalty: 1, Crowd: 2, Saddle: true, Hearsay: true, Rollout: rollout.Defaults()}
}

// Check tells which option is out of its range, and what is allowed.
func (o Options) Check() error {
	if o.Slots < 1 {
		return fmt.Errorf("--slots is %d: it must be at least 1", o.Slots)
	}
	for _, r := range []struct {
		name           string
		v, least, most float64
	}{
		{"shelf", o.Shelf, 0, 0.8}, {"larder-shelf", o.LarderShelf, 0, 0.8},
		{"switch-wait", o.SwitchWait, 0, 0.8}, {"lease-beats", o.LeaseBeats, 0.1, 100},
		{"hedge-at", o.HedgeAt, 0.01, 10}, {"soft", o.Soft, 0.01, 1}, {"late-worth", o.Late, 0, 1},
		{"budget-keep", o.BudgetKeep, 0, 1}, {"far-penalty", o.FarPenalty, 0, 10}, {"crowd", o.Crowd, 0.1, 1000},
	} {
		// Written so that what is no number is out of range too.
		if !(r.v >= r.least && r.v <= r.most) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.v, r.least, r.most)
		}
	}
	return o.Rollout.Check()
}

// trail is the part of a node that serves clients. Its tables belong to one desk.
type trail struct {
	n    *Node
	opt  Options
	desk *desk

	rng    *upstream.Range
	ledger *ratelimit.Ledger
	head   *frontend.Head
	pool   *ants.Pool
	choice *relay.Choice
	ready  atomic.Bool
	// larder: the node serves no clients, it keeps copies.
	larder  bool
	pantry  *frontend.Pantry
	kitchen *kitchen
	larders atomic.Pointer[larders]
	ways    *relay.Choice
	// heardAt is when a hut last answered; fronts is how many fronts there are.
	heardAt atomic.Int64
	fronts  atomic.Int64

	// Owned by the desk.
	board   *shardmap.Board
	maps    map[int64]*routing.Map
	table   *endpoints.Table
	huts    []hutAt
	watched map[string]bool
	// picked are the huts that this node watches, the first before the
	// others; bad are those that did not answer, until when.
	picked []string
	bad    map[string]time.Duration
	counts map[string]upstream.Fronts
	// held is what the watchers tell the huts that this node holds.
	held     atomic.Pointer[holds]
	fetching atomic.Bool
	// config is the newest configuration that was fetched.
	config atomic.Pointer[config.Configuration]

	// placed: the node knows where the huts are, and so which is the nearest.
	placed atomic.Bool
	// heard is the last hearsay that the hut watched first told; missed wakes
	// the loop that tells it of searchers that did not answer.
	heard  atomic.Int64
	missed chan struct{}
	// rosterAt is when the node last asked for other fronts.
	rosterAt atomic.Int64

	scout scout

	ln   atomic.Pointer[net.Listener]
	gate transport.ConnTracker
	// def are the limits for clients where the operator gives none.
	def routing.Limits
}

// holds is what a node has of all that the huts tell; it is never changed.
type holds struct {
	slot, version, purge, rolled int64
	stamp                        endpoints.Stamp
}

func newTrail(n *Node, opt Options) (*trail, error) {
	s := n.set()
	b := s.Bounds
	pool, err := ants.NewPool(int(max(256, s.Limits.FileDescriptors/2)), ants.WithNonblocking(true), ants.WithExpiryDuration(n.heartbeat(8)))
	if err != nil {
		return nil, err
	}
	t := &trail{n: n, opt: opt, desk: newDesk(), pool: pool, maps: map[int64]*routing.Map{}, watched: map[string]bool{}, bad: map[string]time.Duration{}, counts: map[string]upstream.Fronts{}, missed: make(chan struct{}, 1)}
	t.def = routing.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: config.Milliseconds(b.InTouchMs, 1), Idle: config.Milliseconds(b.InTouchMs, 3)}
	t.rng = upstream.New(upstream.Options{
		Distance: n.distance, UserTimeout: n.userTimeout(), DialWithin: config.Milliseconds(b.InTouchMs, 0.125), MaxBody: n.maxMessage(),
		KeepIdle: config.Milliseconds(b.InTouchMs, 1), Settle: config.Milliseconds(b.InTouchMs, 0.05), FailsOut: 3, OutFor: config.Milliseconds(b.InTouchMs, 0.2),
		FarPenalty: opt.FarPenalty, Many: 5, Self: s.NodeName, Forget: config.Milliseconds(b.InTouchMs, 0.75),
	})
	t.ledger = ratelimit.New(ratelimit.Rules{
		Ratio: b.RetryBudgetRatio, Slack: b.RetryBudgetSlack, Window: config.Seconds(b.RetryWindowS, 1), Keep: opt.BudgetKeep, Young: 0.3,
	}, n.steady())
	guide := &scatter.Guide{Range: t.rng, Ledger: t.ledger, Pool: pool, Steady: n.steady, HedgeAt: opt.HedgeAt}
	t.head = frontend.New(frontend.Options{Soft: opt.Soft, Hard: 0.97, Late: opt.Late, RetryIn: 0.25, WriteWithin: n.userTimeout(), Hold: n.heartbeat(0.5), Crowd: opt.Crowd, Clock: t.clock, Deaf: n.deaf()}, guide)
	if opt.Saddle {
		t.choice = relay.NewChoice(n.heartbeat(1))
		t.head.SetAcross(t.choice, func(ip string, ask relay.Ask, say *relay.Say, within time.Duration) error {
			err := n.call.CallJSON(n.set().InternalAddress(ip), pathSaddle, ask, say, within)
			if err != nil {
				// Others may do better.
				t.rosterAt.Store(0)
			}
			return err
		})
	}
	t.larder = opt.Role == RoleLarder
	t.ways = relay.NewChoice(n.heartbeat(1))
	memory := s.Limits.MemoryMb * (1 << 20)
	if memory <= 0 {
		memory = 256 << 20
	}
	t.pantry = frontend.NewPantry(int(memory*opt.Shelf), n.steady, t)
	t.head.SetPantry(t.pantry)
	if t.larder {
		t.kitchen = newKitchen(n, t, int(memory*opt.LarderShelf))
		n.kitchen = t.kitchen
	} else {
		t.kitchen = newKitchen(n, t, int(memory*opt.Shelf/4))
	}
	t.board = shardmap.New(shardmap.Options{
		R: opt.Slots, Least: 2, Lease: n.heartbeat(opt.LeaseBeats), Wait: config.Milliseconds(b.ConfigEffectMs, opt.SwitchWait),
	})
	t.held.Store(&holds{slot: -1, purge: -1, rolled: -1})
	t.rng.Full = func(id string) {
		t.desk.post(func() { t.board.Answered(id, n.steady()); t.tick() })
	}
	t.rng.Silent = func(id string) {
		t.desk.post(func() { t.board.Silent(id, n.steady()); t.tick() })
	}
	t.scout.reset()
	t.rng.Seen = t.seen
	t.rng.Miss = func() {
		select {
		case t.missed <- struct{}{}:
		default:
		}
	}
	return t, nil
}

func (t *trail) start() {
	t.desk.ask(func() {
		for _, ip := range t.n.set().SeedIPs() {
			t.huts = append(t.huts, hutAt{IP: ip})
		}
		t.pick()
	})
	go t.kitchen.serve()
	if t.larder {
		go t.kitchen.enlistLoop()
	} else {
		t.open()
		go t.serveReadiness()
		if t.opt.Hearsay {
			go t.hearsayLoop()
		}
	}
	go t.tickLoop()
	go t.tallyLoop()
}

func (t *trail) hutIPs() (out []string) {
	t.desk.ask(func() {
		for _, h := range t.huts {
			out = append(out, h.IP)
		}
	})
	return out
}

// distance tells how far a zone is: this node's own, its region, or beyond.
func (n *Node) distance(zone string) int {
	s := n.set()
	if zone == s.Zone {
		return 0
	}
	if region, known := s.Zones[zone]; known && region == s.Region {
		return 1
	}
	return 2
}

// pick chooses the huts to watch: one more than may be lost at once, the
// nearest first, those that did not answer lately last. However many fronts
// and huts there are, a front holds that many calls. It runs on the desk.
func (t *trail) pick() {
	n, now := t.n, t.n.steady()
	order := slices.Clone(t.huts)
	rank := func(h hutAt) (int, int, uint64) {
		bad := 0
		if now < t.bad[h.IP] {
			bad = 1
		}
		return bad, n.distance(h.Zone), upstream.Draw(n.set().NodeName + " " + h.IP)
	}
	slices.SortFunc(order, func(a, b hutAt) int {
		ab, ad, ah := rank(a)
		bb, bd, bh := rank(b)
		return cmp.Or(cmp.Compare(ab, bb), cmp.Compare(ad, bd), cmp.Compare(ah, bh))
	})
	most := max(2, int(n.set().ToleratedLosses.GetMachines())+1)
	if t.board.LastBuilt == 0 {
		// At the start whoever answers first will do.
		most = len(order)
	}
	t.picked = nil
	for _, h := range order[:min(most, len(order))] {
		t.picked = append(t.picked, h.IP)
		if !t.watched[h.IP] {
			t.watched[h.IP] = true
			go t.watch(h.IP)
		}
	}
}

// watch keeps asking one hut for news, as long as it is one of those picked.
func (t *trail) watch(ip string) {
	n := t.n
	brief := true
	fails := 0
	hold := n.heartbeat(1)
	for {
		select {
		case <-n.stop:
			return
		default:
		}
		stay, first := false, false
		t.desk.ask(func() {
			at := slices.Index(t.picked, ip)
			if stay, first = at >= 0, at == 0; !stay {
				delete(t.watched, ip)
				delete(t.counts, ip)
			}
		})
		if !stay {
			return
		}
		h := t.held.Load()
		ask := watchAsk{
			Name: n.set().NodeName, IP: n.set().IpAddress, Slot: h.slot, Purge: h.purge, Rolled: h.rolled, Stamp: h.stamp, Brief: brief && !first,
			Zone: n.set().Zone, Ready: t.ready.Load() && !n.leaving.Load(), Out: t.rng.Out(), HoldMs: hold.Milliseconds(),
			First: first, Larder: t.larder, Roster: first && t.rosterDue(), Hello: !t.placed.Load(), Heard: t.heard.Load(),
		}
		var say watchSay
		err := n.call.CallJSON(n.set().InternalAddress(ip), pathWatch, ask, &say, hold+n.heartbeat(0.8))
		if err != nil {
			fails++
			hold = n.heartbeat(1)
			t.desk.ask(func() {
				delete(t.counts, ip)
				if fails >= 2 {
					t.bad[ip] = n.steady() + n.heartbeat(4)
					t.pick()
				}
			})
			// A hut that starts together with this node is there in a moment.
			time.Sleep(time.Duration(float64(min(n.heartbeat(0.02)<<min(fails, 4), n.heartbeat(0.25))) * (0.5 + rand.Float64())))
			if fails > 2 {
				t.more()
			}
			continue
		}
		fails = 0
		var d *endpoints.Delta
		if say.Delta != nil {
			if d, err = unpackDelta(say.Delta, n.maxMessage()); err != nil {
				events.Log(events.MessageRejected, "from", ip, "path", pathWatch, "err", err)
				d = nil
			}
		}
		t.desk.ask(func() { t.news(ip, ask, say, d) })
		if ask.Hello {
			if !t.placed.Load() {
				time.Sleep(n.heartbeat(0.1))
			}
			continue
		}
		behind := func() bool { return t.held.Load().stamp.Before(say.Stamp) }
		late := func() bool { return t.held.Load().version < say.Version }
		if !first && (behind() || late()) {
			// The hut watched first brings it cheaper, if it is there.
			time.Sleep(n.heartbeat(0.05))
		}
		brief = !behind()
		// The others are asked for news only: they may hold the call for longer.
		if hold = n.heartbeat(1); !first {
			hold = n.longHold()
		}
		for i := 0; late() && i < 20; i++ {
			t.fetch(ip)
			if late() {
				time.Sleep(n.heartbeat(0.02))
			}
		}
	}
}

// rosterDue tells whether it is time to ask for other fronts.
func (t *trail) rosterDue() bool {
	last := time.Duration(t.rosterAt.Load())
	return last == 0 || t.n.steady()-last > t.n.heartbeat(5)
}

// more looks for huts in the view when those known don't answer.
func (t *trail) more() {
	var found []string
	t.n.view.ask(func() { found = t.n.way.ControlIPs() })
	found = append(found, t.n.set().SeedIPs()...)
	t.desk.ask(func() {
		for _, ip := range found {
			if len(t.huts) < 12 && !slices.ContainsFunc(t.huts, func(h hutAt) bool { return h.IP == ip }) {
				t.huts = append(t.huts, hutAt{IP: ip})
			}
		}
		t.pick()
	})
}

// news takes what a hut said; it runs on the desk.
func (t *trail) news(ip string, ask watchAsk, say watchSay, d *endpoints.Delta) {
	if len(say.Huts) > 0 && say.Slot >= t.held.Load().slot {
		t.huts = say.Huts
		t.placed.Store(true)
		t.pick()
		for _, h := range say.Huts {
			t.n.view.post(func() { t.n.way.Add(peersampling.Node{Name: "hut-" + h.IP, IP: h.IP, Zone: h.Zone, Hut: true}) })
		}
	}
	if say.Roster != nil {
		t.rosterAt.Store(int64(t.n.steady()))
		if t.choice != nil {
			t.choice.Set(say.Roster, t.n.set().NodeName)
		}
	}
	if len(say.Dark) > 0 && t.opt.Hearsay {
		t.rng.Tell(say.Dark, time.Now().Add(t.n.hearsayLasts()))
	}
	if len(t.picked) > 0 && t.picked[0] == ip {
		t.heard.Store(say.Heard)
	}
	if !say.Lone {
		t.heardAt.Store(int64(t.n.steady()))
	}
	if say.Huts != nil && say.Slot >= t.held.Load().slot {
		t.setLarders(say.Larders)
	}
	if h := t.held.Load(); say.Purge > h.purge && (h.purge >= 0 || len(say.Huts) > 0) {
		t.pantry.Take(say.Purge, say.Floor, say.Purges)
		t.hold(func(h *holds) { h.purge = say.Purge })
	}
	if !ask.Hello {
		t.takeRollouts(say)
	}
	delete(t.bad, ip)
	t.counts[ip] = upstream.Fronts{All: say.Fronts, Region: say.Around, Zone: say.Here}
	most := upstream.Fronts{All: 1}
	for _, c := range t.counts {
		most.All, most.Region, most.Zone = max(most.All, c.All), max(most.Region, c.Region), max(most.Zone, c.Zone)
	}
	if t.fronts.Swap(int64(most.All)) != int64(most.All) {
		t.ledger.SetNodes(most.All)
	}
	if !t.larder {
		t.rng.SetShare(most)
	}
	if d != nil && (t.table == nil || t.table.Stamp.Before(d.To)) {
		from := t.table
		if d.From == (endpoints.Stamp{}) {
			from = nil
		}
		if table := from.Apply(d); table != nil {
			t.setTable(table)
		}
	}
	t.hold(func(h *holds) {
		if say.Version <= h.version {
			h.slot = max(h.slot, say.Slot)
		}
	})
}

// setTable takes a newer table; it runs on the desk.
func (t *trail) setTable(table *endpoints.Table) {
	t.table = table
	t.hold(func(h *holds) { h.stamp = table.Stamp })
	t.rng.SetTable(table)
	t.board.Listed(table, t.n.steady())
	t.setLanes()
	t.tick()
	t.publish()
}

// hold changes what this node tells that it holds; it runs on the desk.
func (t *trail) hold(change func(h *holds)) {
	h := *t.held.Load()
	change(&h)
	t.held.Store(&h)
}

// fetch brings the newest configuration from a hut.
func (t *trail) fetch(ip string) {
	if !t.fetching.CompareAndSwap(false, true) {
		return
	}
	defer t.fetching.Store(false)
	start := time.Now()
	have := t.config.Load()
	ask := versionAsk{}
	if have != nil {
		ask.Version = have.Version
	}
	rep, err := t.n.call.Do(t.n.set().InternalAddress(ip), "POST", pathVersion, nil, encode("version", ask), config.Milliseconds(t.n.set().Bounds.ConfigEffectMs, 0.3))
	if err != nil || rep.Status != 200 {
		return
	}
	var say versionSay
	if json.Unmarshal([]byte(rep.Header(headerVersion)), &say) != nil || say.Version <= t.held.Load().version {
		return
	}
	// Large ones take a while to read: not on the desk.
	c, err := t.unpackVersion(rep.Body)
	if err == nil && say.From > 0 {
		if have == nil || have.Version != say.From {
			return
		}
		c = have.ApplyDelta(c, say.Gone)
	}
	if err != nil || c.Version != say.Version {
		events.Log(events.MessageRejected, "from", ip, "version", say.Version, "err", err)
		return
	}
	t.config.Store(c)
	t.desk.ask(func() { t.take(say, c, time.Since(start)) })
}

// unpackVersion reads a packed configuration.
func (t *trail) unpackVersion(body []byte) (*config.Configuration, error) {
	raw, err := unpack(body, t.n.maxMessage())
	if err != nil {
		return nil, err
	}
	return config.DecodeConfiguration(raw)
}

// take puts decided state in its place; it runs on the desk. A node never
// goes back to an older version.
func (t *trail) take(say versionSay, c *config.Configuration, on time.Duration) {
	v := say.Version
	if v <= t.board.LastBuilt {
		return
	}
	defer t.hold(func(h *holds) { h.version, h.slot = v, max(h.slot, say.Slot) })
	m := routing.Compile(c, t.def)
	t.maps[v] = m
	age := time.Duration(say.AgeMs)*time.Millisecond + on
	if t.board.Built(shardmap.Cut{Version: v, Shards: m.Shards()}, age, t.n.steady()) {
		t.publish()
	} else {
		events.Log(events.LayoutPending, "version", v, "current", t.board.Current.Version)
	}
	t.tick()
}

// tick moves the rollout on; it runs on the desk.
func (t *trail) tick() {
	old := t.board.Current.Version
	switched, ready := t.board.Tick(t.n.steady())
	freed := t.board.TakeFreed()
	for _, f := range freed {
		events.Log(events.SlotFreed, "shard", f.Shard, "searcher", f.Searcher, "why", f.Why)
	}
	if switched {
		events.Log(events.LayoutSwitched, "from", old, "to", t.board.Current.Version, "ready", ready)
	}
	if switched || len(freed) > 0 {
		t.publish()
	}
}

// publish pins what is in force into a snapshot for the requests to come; it runs on the desk.
func (t *trail) publish() {
	m := t.maps[t.board.Current.Version]
	if m == nil {
		return
	}
	for v := range t.maps {
		if v < t.board.Current.Version || v != t.board.Current.Version && (t.board.Next == nil || v != t.board.Next.Version) {
			delete(t.maps, v)
		}
	}
	s := &frontend.Snapshot{Map: m, Holders: map[string]map[string][]string{}, Lanes: t.scout.lanes}
	for _, shard := range t.board.Current.Shards {
		s.Holders[shard] = t.board.Held(shard)
	}
	for name, sv := range m.Services {
		t.rng.SetLimit(name, int(sv.ConnectionLimit))
	}
	if t.table == nil || t.held.Load().rolled < 0 {
		return
	}
	t.head.Set(s)
	if !t.n.leaving.Load() && t.ready.CompareAndSwap(false, true) {
		events.Log(events.FrontReady, "version", m.Version, "searchers", len(t.table.Searchers))
	}
}

// open starts the clients' listener. Until the node has a configuration and
// a table, requests wait at its head.
func (t *trail) open() {
	lis := t.n.listener(t.def.Idle)
	lis.MaxHeaderBytes = t.n.maxMessage() / 16
	lis.Tracker = &t.gate
	lis.Timeouts = func() (time.Duration, time.Duration) {
		if s := t.head.Current(); s != nil {
			return s.Map.Limits.HeaderTimeout, s.Map.Limits.Idle
		}
		return t.def.HeaderTimeout, t.def.Idle
	}
	go func() {
		ln, ok := transport.Listen(t.n.set().ListenAddresses.FrontAddress, t.n.userTimeout(), t.n.heartbeat(0.1), t.n.stop)
		if !ok {
			return
		}
		t.ln.Store(&ln)
		transport.Serve(ln, lis, t.head.Handle)
	}()
}

func (t *trail) serveReadiness() {
	ln, ok := transport.Listen(t.n.set().ListenAddresses.ReadinessAddress, t.n.userTimeout(), t.n.heartbeat(0.1), t.n.stop)
	if !ok {
		return
	}
	transport.Serve(ln, t.n.listener(t.n.heartbeat(8)), func(_ context.Context, c *app.RequestContext) {
		status := 503
		if t.ready.Load() && !t.n.leaving.Load() {
			status = 200
		}
		transport.WriteJSON(c, status, map[string]bool{"Ready": status == 200})
	})
}

// tickLoop ticks often while a cut waits, seldom otherwise.
func (t *trail) tickLoop() {
	for {
		wait := t.n.heartbeat(0.4)
		t.desk.ask(func() {
			t.tick()
			if t.board.Next != nil {
				wait = config.Milliseconds(t.n.set().Bounds.ConfigEffectMs, 0.02)
			}
		})
		t.rng.Sweep(time.Now())
		select {
		case <-t.n.stop:
			return
		case <-time.After(wait):
		}
	}
}

// leave lets the platform send its clients elsewhere, then ends what is under way.
func (t *trail) leave(start time.Time, grace time.Duration) {
	events.Log(events.FrontNotReady, "why", "leaving")
	t.head.Leave()
	time.Sleep(time.Until(start.Add(grace / 2)))
	if ln := t.ln.Load(); ln != nil {
		_ = (*ln).Close()
	}
	// Connections at rest are ended unread; the others end with their answer.
	t.gate.Drain()
	ended := false
	for time.Since(start) < grace*92/100 && (t.gate.Active() > 0 || t.head.Busy() > 0) {
		if !ended && time.Since(start) > grace*65/100 {
			ended = true
			t.head.End()
		}
		time.Sleep(grace / 200)
	}
}

// TrailStatus is the trail's part of the status.
type TrailStatus struct {
	Ready     bool
	Slot      int64
	LastBuilt int64
	Current   int64
	Next      int64 `json:",omitempty"`
	Table     endpoints.Stamp
	Searchers int
	Fronts    int
	// Connections to searchers, and how many of these do not answer.
	Connections upstream.Count
	Busy        int64
	// Helped counts the requests in which this front gathered for another.
	Helped int64
	Slots  map[string][]string
	// Copies and CopyBytes are what is kept, Purge the last purge known;
	// Fetched counts fetches, Part is this node's part of the ceilings.
	Copies    int
	CopyBytes int
	Purge     int64
	Fetched   int64
	Part      float64
}

func (t *trail) status() *TrailStatus {
	st := &TrailStatus{Ready: t.ready.Load(), Busy: t.head.Busy(), Helped: t.head.Lent(), Slots: map[string][]string{}}
	st.Connections = t.rng.Count()
	st.Copies, st.CopyBytes = t.pantry.Held()
	if t.larder {
		st.Copies, st.CopyBytes = t.kitchen.held()
	}
	st.Fetched, st.Purge = t.kitchen.count(), t.pantry.Known()
	st.Part, _ = t.parts()
	t.desk.ask(func() {
		st.Slot, st.LastBuilt, st.Current, st.Fronts = t.held.Load().slot, t.board.LastBuilt, t.board.Current.Version, int(t.fronts.Load())
		if t.board.Next != nil {
			st.Next = t.board.Next.Version
		}
		if t.table != nil {
			st.Table, st.Searchers = t.table.Stamp, len(t.table.Searchers)
		}
		for _, s := range t.board.Current.Shards {
			st.Slots[s] = t.board.Holders(s)
		}
	})
	return st
}
