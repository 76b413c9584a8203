package lodge

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/upstream"
)

// The front's part of rollouts: it follows the phases that the log decides,
// keeps to its share of a new version, counts what it sees of both versions
// and tells the hut that it watches first.

// scout is what a front knows of rollouts. All but watches and tally belongs
// to the trail's desk.
type scout struct {
	orders map[string]consensus.Rollout
	lanes  map[string]*rollout.Lane
	// until is when a trial ends here, by order.
	until  map[int64]time.Duration
	halted map[int64]bool
	// watches are the services with a rollout under way.
	watches atomic.Pointer[map[string]watched]
	tally   rollout.Tally
	judges  map[int64]*rollout.Judge
	life    int64
	seq     int64
}

// watched is a service of which both versions are counted.
type watched struct {
	order        int64
	from, target string
	// many: the new version has too many searchers to tell each apart.
	many bool
	term time.Duration
}

func (s *scout) reset() {
	s.orders, s.until, s.halted, s.judges = map[string]consensus.Rollout{}, map[int64]time.Duration{}, map[int64]bool{}, map[int64]*rollout.Judge{}
	s.life = rand.Int64()
}

// clock tells steady time and how long no hut in touch with a majority has answered.
func (t *trail) clock() (now, heard time.Duration) {
	now = t.n.steady()
	return now, now - time.Duration(t.heardAt.Load())
}

// deaf is how long a node may hear of no majority before it keeps to settled versions.
func (n *Node) deaf() time.Duration {
	b := n.set().Bounds
	if b.RollbackMs > 0 {
		return config.Milliseconds(b.RollbackMs, 0.4)
	}
	return config.Milliseconds(b.InTouchMs, 0.4)
}

// exposure is what the settings allow a bad version.
func (n *Node) exposure() rollout.Exposure {
	b := n.set().Bounds
	return rollout.Exposure{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

// takeRollouts takes what a hut tells of the orders; it runs on the desk.
func (t *trail) takeRollouts(say watchSay) {
	if say.RolledTo <= t.held.Load().rolled {
		return
	}
	now := t.n.steady()
	for _, r := range say.Rollouts {
		old := t.scout.orders[r.Service]
		if r.Slot <= old.Slot {
			continue
		}
		t.scout.orders[r.Service] = r
		if r.Phase == consensus.Trial && now > t.n.heartbeat(4) {
			// One that has just started does not know how much of it is over.
			t.scout.until[r.N] = now + time.Duration(r.ForMs)*time.Millisecond
		}
	}
	first := t.held.Load().rolled < 0
	t.hold(func(h *holds) { h.rolled = say.RolledTo })
	if first || len(say.Rollouts) > 0 {
		t.setLanes()
		t.tick()
		t.publish()
	}
}

// setLanes works out where requests may go; it runs on the desk.
func (t *trail) setLanes() {
	lanes, versions, watches := map[string]*rollout.Lane{}, map[string][]string{}, map[string]watched{}
	if t.table != nil {
		for service, first := range t.table.First {
			lanes[service] = &rollout.Lane{From: first}
		}
	}
	o, e := t.opt.Rollout, t.n.exposure()
	for service, r := range t.scout.orders {
		l := &rollout.Lane{From: r.From, Target: r.Target, Phase: r.Phase, Share: o.CanaryShare(e), Trial: o.Trial, TrialUntil: t.scout.until[r.N], Halted: t.scout.halted[r.N]}
		if l.From == "" && lanes[service] != nil {
			l.From = lanes[service].From
		}
		lanes[service] = l
		if r.Running() {
			watches[service] = watched{r.N, l.From, r.Target, t.count(service, r.Target) > whoMost, time.Duration(r.DurationMs) * time.Millisecond}
		}
	}
	for service, l := range lanes {
		versions[service] = l.Versions()
	}
	t.scout.lanes = lanes
	t.scout.watches.Store(&watches)
	t.board.SetVersions(versions, t.n.steady())
	runs := map[int64]bool{}
	for _, w := range watches {
		runs[w.order] = true
	}
	gone := func(order int64) bool { return !runs[order] }
	maps.DeleteFunc(t.scout.until, func(order int64, _ time.Duration) bool { return gone(order) })
	maps.DeleteFunc(t.scout.halted, func(order int64, _ bool) bool { return gone(order) })
	maps.DeleteFunc(t.scout.judges, func(order int64, _ *rollout.Judge) bool { return gone(order) })
}

// whoMost is how many searchers of a new version are told apart one by one.
const whoMost = 8

func (t *trail) count(service, version string) (n int) {
	if t.table == nil {
		return 0
	}
	for _, s := range t.table.Searchers {
		if s.Service == service && s.Version == version && !s.Drains {
			n++
		}
	}
	return n
}

// choose picks a searcher for a request of this node's own, as its lane allows.
func (t *trail) choose(service string, aim time.Duration) (*upstream.Peer, time.Time) {
	var l *rollout.Lane
	if s := t.head.Current(); s != nil {
		l = s.Lanes[service]
	}
	now, heard := t.clock()
	w := l.Way(now, heard, t.n.deaf(), rand.Float64())
	for i, version := range []string{w.Once, w.Then, w.Else} {
		if version == "" && i != 1 {
			continue
		}
		if p, start := t.rng.Choose(upstream.Among{Service: service, Version: version}, nil, aim, false); p != nil {
			return p, start
		}
	}
	return nil, time.Now()
}

// seen counts a try at a service with a rollout under way.
func (t *trail) seen(p *upstream.Peer, r *upstream.Request, o *upstream.Outcome) {
	ws := t.scout.watches.Load()
	if ws == nil {
		return
	}
	w, ok := (*ws)[p.Service]
	if !ok || p.Version != w.from && p.Version != w.target {
		return
	}
	c := rollout.Cell{Order: w.order, New: p.Version == w.target, Route: r.Route, Far: p.Far()}
	if c.New {
		if c.Who = p.Entry; w.many {
			c.Who = p.Entry % whoMost
		}
	}
	if s, ok := sumOf(o, r.Aim); ok {
		t.scout.tally.Note(c, s)
	}
}

// sumOf is what one try tells of a version. A try that had less time than the
// aim tells nothing by its end.
func sumOf(o *upstream.Outcome, aim time.Duration) (rollout.Sum, bool) {
	late := errors.Is(o.Err, os.ErrDeadlineExceeded) || errors.Is(o.Err, context.DeadlineExceeded) || o.Status == 504
	if late && o.Took < aim {
		return rollout.Sum{}, false
	}
	s := rollout.Sum{N: 1}
	switch {
	case o.Verdict != upstream.Answered || o.Status >= 500 || o.Status < 300 && o.Stamp == "":
		s.Bad = 1
	case !o.Cold && o.Took > 0:
		x := math.Log(float64(o.Took) / float64(time.Millisecond))
		s.Timed, s.Log, s.Square = 1, x, x*x
	}
	return s, true
}

// tallyLoop tells the hut watched first what was seen, and judges it here as well.
func (t *trail) tallyLoop() {
	for {
		select {
		case <-t.n.stop:
			return
		case <-time.After(time.Duration(float64(t.n.heartbeat(0.15)) * (0.8 + 0.4*rand.Float64()))):
		}
		if ws := t.scout.watches.Load(); ws == nil || len(*ws) == 0 {
			continue
		}
		entries := t.scout.tally.Take()
		if len(entries) == 0 {
			continue
		}
		to, m := "", tally{Name: t.n.set().NodeName, Life: t.scout.life, Entries: entries}
		t.desk.ask(func() {
			t.judge(entries)
			t.scout.seq++
			m.Seq = t.scout.seq
			if len(t.picked) > 0 {
				to = t.picked[0]
			}
		})
		if to == "" || t.n.call.CallJSON(t.n.set().InternalAddress(to), pathTally, m, nil, t.n.heartbeat(0.5)) != nil {
			// It goes with the next, to whoever is watched first by then.
			for _, e := range entries {
				t.scout.tally.Note(e.Cell, e.Sum)
			}
		}
	}
}

// judge runs the charts over what this node saw itself; it runs on the desk.
func (t *trail) judge(entries []rollout.Entry) {
	now := t.n.steady()
	byOrder := map[int64][]rollout.Entry{}
	for _, e := range entries {
		byOrder[e.Order] = append(byOrder[e.Order], e)
	}
	for service, w := range *t.scout.watches.Load() {
		j := t.scout.judges[w.order]
		if j == nil {
			j = rollout.NewJudge(t.opt.Rollout, w.term, now)
			t.scout.judges[w.order] = j
		}
		j.Loaded = t.scout.orders[service].Phase != consensus.Canary
		j.Add(byOrder[w.order])
		j.Step(now)
		if j.Bad() != "" && !t.scout.halted[w.order] {
			t.scout.halted[w.order] = true
			events.Log(events.CanaryHalted, "service", service, "version", w.target, "why", j.Bad())
			t.setLanes()
			t.publish()
		}
	}
}
