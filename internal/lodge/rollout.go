package lodge

import (
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/transport"
)

// The hut's part of rollouts: orders and their phases are decided in the log;
// the node with the duty merges what all huts were told, runs the charts and
// proposes the next phase.

// course is a hut's table of rollouts; it belongs to the hut's desk.
type course struct {
	clock  *rollout.Clock
	ledger *rollout.Ledger
	judges map[int64]*rollout.Judge
	// known is when this life of the node learned an order's present phase.
	known map[int64]phaseKnown
	// ordered is when this life of the node learned the slots of orders.
	ordered map[int64]time.Duration
	// told is the last tally of each front.
	told map[string]*rollout.Teller
	// behind is how many fronts lag behind a phase, as other huts told.
	behind map[string]behindAt
	seq    int64
	noted  time.Duration
}

type phaseKnown struct {
	slot int64
	at   time.Duration
}

type behindAt struct {
	at     time.Duration
	orders map[int64]int
}

func newCourse(n rollout.Noted, now time.Duration) course {
	return course{
		clock: rollout.NewClock(n, time.Now(), now), ledger: rollout.NewLedger(), judges: map[int64]*rollout.Judge{},
		known: map[int64]phaseKnown{}, ordered: map[int64]time.Duration{}, told: map[string]*rollout.Teller{}, behind: map[string]behindAt{},
	}
}

// isRollout tells whether a path is one of the operator's for rollouts.
func isRollout(path string) bool {
	return path == pathRollout || strings.HasPrefix(path, pathRollout+"/")
}

// runs tells whether an order is not settled; it runs on the desk.
func (h *hut) runs(order int64) bool {
	return slices.ContainsFunc(h.acc.State.Rollouts, func(r consensus.Rollout) bool { return r.N == order && r.Running() })
}

// follow takes the orders as they were decided; it runs on the desk.
func (h *hut) follow() {
	now, known := h.n.steady(), h.course.known
	h.course.known = map[int64]phaseKnown{}
	ordered := h.course.ordered
	h.course.ordered = map[int64]time.Duration{}
	for _, o := range h.acc.State.Ordered {
		at, ok := ordered[o.Slot]
		if !ok {
			at = now
		}
		h.course.ordered[o.Slot] = at
	}
	for _, r := range h.acc.State.Rollouts {
		if k := known[r.N]; k.slot == r.Slot {
			h.course.known[r.N] = k
			continue
		}
		h.course.known[r.N] = phaseKnown{r.Slot, now}
		if r.Running() {
			h.course.clock.Hear(r.N, time.Duration(r.SpentMs)*time.Millisecond, now)
			h.noteTerms(now)
		}
		if r.Phase == consensus.Canary {
			events.Log(events.RolloutAccepted, "service", r.Service, "from", r.From, "to", r.Target, "term", time.Duration(r.DurationMs)*time.Millisecond, "order", r.N)
		} else {
			events.Log(events.RolloutPhaseChanged, "service", r.Service, "to", r.Target, "phase", r.Phase, "spent", time.Duration(r.SpentMs)*time.Millisecond, "asked", r.Asked, "of", r.Of, "why", r.Why, "order", r.N)
		}
	}
}

// noteTerms keeps on disk how much of the terms is over; it runs on the desk.
func (h *hut) noteTerms(now time.Duration) {
	h.course.noted = now
	h.record(recTerms, h.course.clock.Note(h.runs, time.Now(), now), nil)
}

// takeTally takes what a front saw; it runs on the desk.
func (h *hut) takeTally(m tally) {
	if h.course.told[m.Name] == nil {
		h.course.told[m.Name] = &rollout.Teller{}
	}
	if !h.course.told[m.Name].New(m.Life, m.Seq) {
		return
	}
	m.Entries = slices.DeleteFunc(m.Entries, func(e rollout.Entry) bool { return !h.runs(e.Order) })
	h.course.ledger.Add(m.Entries)
}

// takeLedger takes all that another hut was told; it runs on the desk.
func (h *hut) takeLedger(m ledger) {
	h.course.behind[m.ID] = behindAt{h.n.steady(), m.Behind}
	h.weigh(h.course.ledger.Merge(m.ID, m.Life, m.Seq, m.Entries))
}

// weigh gives what is new to the judges; it runs on the desk.
func (h *hut) weigh(news []rollout.Entry) {
	byOrder := map[int64][]rollout.Entry{}
	for _, e := range news {
		byOrder[e.Order] = append(byOrder[e.Order], e)
	}
	for _, r := range h.acc.State.Rollouts {
		if r.Running() && len(byOrder[r.N]) > 0 {
			h.judge(r).Add(byOrder[r.N])
		}
	}
}

func (h *hut) judge(r consensus.Rollout) *rollout.Judge {
	j := h.course.judges[r.N]
	if j == nil {
		j = rollout.NewJudge(h.n.options.Rollout, time.Duration(r.DurationMs)*time.Millisecond, h.n.steady())
		h.course.judges[r.N] = j
	}
	return j
}

// lagging counts, by order, the fronts that this hut heard lately and that do
// not know the present phase; it runs on the desk.
func (h *hut) lagging() map[int64]int {
	out := map[int64]int{}
	now := h.n.steady()
	for _, r := range h.acc.State.Rollouts {
		if !r.Running() {
			continue
		}
		for _, f := range h.fronts {
			if f.rolled < r.Slot && now < f.until {
				out[r.N]++
			}
		}
	}
	return out
}

// rolloutLoop carries the orders that run.
func (h *hut) rolloutLoop() {
	for {
		select {
		case <-h.n.stop:
			return
		case <-time.After(h.n.heartbeat(0.15)):
		}
		var steps []consensus.Rollout
		var send *ledger
		to := ""
		h.desk.ask(func() {
			steps, send, to = h.carry()
		})
		if send != nil && to != "" {
			go func() {
				_ = h.n.call.CallJSON(h.n.set().InternalAddress(to), pathLedger, *send, nil, h.n.heartbeat(0.5))
			}()
		}
		for _, r := range steps {
			h.decide(r)
		}
	}
}

// carry does what is due now: it notes the time, tells the node with the duty
// what was seen, or, on that node, gives the phases to propose. It runs on the desk.
func (h *hut) carry() (steps []consensus.Rollout, send *ledger, to string) {
	now, c := h.n.steady(), &h.course
	running := slices.DeleteFunc(slices.Clone(h.acc.State.Rollouts), func(r consensus.Rollout) bool { return !r.Running() })
	if len(running) == 0 {
		if len(c.judges)+len(c.told) > 0 {
			c.ledger.Forget(h.runs)
			clear(c.judges)
			clear(c.told)
			clear(c.behind)
		}
		return nil, nil, ""
	}
	if now-c.noted >= h.n.heartbeat(1) {
		h.noteTerms(now)
	}
	c.seq++
	c.ledger.Forget(h.runs)
	own := c.ledger.Own()
	if !h.duty.Holds(now) {
		for ip, o := range h.others {
			if o.id == h.duty.ObservedHolder {
				to = ip
			}
		}
		return nil, &ledger{h.acc.ID, h.life, c.seq, own, h.lagging()}, to
	}
	h.weigh(c.ledger.Merge(h.acc.ID, h.life, c.seq, own))
	lag := h.lagging()
	for _, r := range running {
		j := h.judge(r)
		j.Loaded = r.Phase != consensus.Canary
		for _, a := range j.Step(now) {
			if a.Bad {
				events.Log(events.CUSUMAlarm, "service", r.Service, "version", r.Target, "metric", a.Metric, "route", a.Route)
			} else {
				events.Log(events.CUSUMAlarmDismissed, "service", r.Service, "version", r.Target, "metric", a.Metric, "route", a.Route, "better", a.Better)
			}
		}
		f := rollout.Facts{
			Rollout: r, Spent: c.clock.Spent(r.N, now), Since: now - c.known[r.N].at, Bad: j.Bad(), Rate: j.Rate(now), New: j.New, Good: j.Good,
			Behind: lag[r.N], Report: h.n.heartbeat(0.6), Settle: config.Milliseconds(h.n.set().Bounds.ConfigEffectMs, 0.5),
		}
		for _, b := range c.behind {
			if now-b.at < h.n.heartbeat(1) {
				f.Behind += b.orders[r.N]
			}
		}
		f.Ready, f.Old = h.capacity(r)
		if s := rollout.Decide(f, h.n.options.Rollout, h.n.exposure()); s.Phase != "" {
			steps = append(steps, consensus.Rollout{N: r.N, Service: r.Service, Target: r.Target, Phase: s.Phase, SpentMs: f.Spent.Milliseconds(), ForMs: s.For.Milliseconds(), Asked: j.New, Of: j.New + j.Old, Why: s.Why})
		}
	}
	return steps, nil, ""
}

// capacity counts the slots of the new version's warm searchers, and those of
// the old version's; it runs on the desk.
func (h *hut) capacity(r consensus.Rollout) (ready, old int) {
	if h.table == nil {
		return 0, 0
	}
	for _, s := range h.table.Searchers {
		if s.Service != r.Service || s.Drains {
			continue
		}
		switch slots := max(1, s.Slots); {
		case s.Version == r.Target && !s.Cold:
			ready += slots
		case s.Version == r.From:
			old += slots
		}
	}
	return ready, old
}

// decide proposes a phase. Whoever proposes what, the log takes only a later
// phase of the same order.
func (h *hut) decide(r consensus.Rollout) {
	if !h.proposing.TryLock() {
		return
	}
	defer h.proposing.Unlock()
	until := time.Now().Add(config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.3))
	for try := 0; time.Now().Before(until); try++ {
		s := h.state()
		now, ok := s.Rollout(r.Service)
		if !ok || now.N != r.N || !now.Running() || now.Phase == r.Phase || !s.Votes(h.acc.ID) {
			return
		}
		if !h.round(s, &consensus.Value{Rollout: &r}) {
			h.pause(try)
		}
	}
}

// rolloutSize bounds an order in bytes.
const rolloutSize = 16 << 10

// rolloutSay is what the operator is told of an order.
type rolloutSay struct {
	Service       string
	State         string
	TargetVersion string
	FromVersion   string `json:",omitempty"`
	Phase         consensus.Phase
	DurationS     float64
	// LeftS is how much of the term is left, where the order runs.
	LeftS float64 `json:",omitempty"`
	// Asked of all tries Of that were seen went to the new version.
	Asked int64  `json:",omitempty"`
	Of    int64  `json:",omitempty"`
	Why   string `json:",omitempty"`
}

// lateOrder is for how long, of AcknowledgeMs, a copy of an earlier order is
// taken for one that was long on its way.
const lateOrder = 3

// handleRollout takes the operator's calls.
func (h *hut) handleRollout(c *app.RequestContext, path string, until time.Time) {
	if string(c.Request.Header.Method()) == "GET" {
		h.tellRollouts(c, strings.Trim(strings.TrimPrefix(path, pathRollout), "/"), until)
		return
	}
	if len(c.Request.Body()) > rolloutSize {
		transport.WriteJSON(c, 413, map[string]string{"Error": "the order is too large"})
		return
	}
	o, err := config.ParseRolloutRequest(c.Request.Body())
	if err != nil {
		events.Log(events.RolloutRejected, "why", err)
		transport.WriteJSON(c, 400, map[string]string{"Error": err.Error()})
		return
	}
	status, why := h.takeOrder(consensus.Rollout{Service: o.Service, Target: o.TargetVersion, DurationMs: int64(max(1, o.DurationS*1000))}, until)
	if status == 200 && !h.grown(until) {
		status, why = 503, "too few nodes hold it yet"
	}
	if status != 200 {
		events.Log(events.RolloutRejected, "service", o.Service, "status", status, "why", why)
	}
	switch status {
	case 200:
		transport.WriteJSON(c, 200, map[string]string{"Service": o.Service, "TargetVersion": o.TargetVersion})
	case 503:
		h.n.unsettled(c, why)
	default:
		transport.WriteJSON(c, status, map[string]string{"Error": why})
	}
}

// takeOrder settles an order: acknowledged once a majority has chosen it. Past
// its caller's patience nothing is proposed, and what was taken earlier starts
// nothing again. It is refused only for what a majority knows.
func (h *hut) takeOrder(o consensus.Rollout, until time.Time) (status int, why string) {
	h.proposing.Lock()
	defer h.proposing.Unlock()
	fresh := false
	for try := 0; ; try++ {
		s := h.state()
		old, known := s.Rollout(o.Service)
		switch {
		case known && old.Same(o):
			return 200, ""
		case time.Now().After(until):
			return 503, "no majority agreed in time"
		case h.apart():
			return 503, "no majority can be reached"
		case h.cameLate(s, o):
			events.Log(events.RolloutOrderStale, "service", o.Service, "to", o.Target)
			return 200, ""
		}
		runs := known && old.Running()
		if runs || !serves(s, o.Service) {
			switch {
			case fresh && runs:
				return 409, "Service has another rollout under way, to " + old.Target
			case fresh:
				return 400, "Service is not in the configuration"
			}
			// This node may be behind: a majority knows.
			if _, fresh = h.readLocked(until); !fresh {
				h.pause(try)
			}
			continue
		}
		if o.From = old.InForce(); !known {
			h.desk.ask(func() {
				if h.table != nil {
					o.From = h.table.First[o.Service]
				}
			})
		}
		if time.Now().After(until) {
			continue
		}
		if !h.roundBy(s, &consensus.Value{Rollout: &o}, until) {
			h.pause(try)
		}
	}
}

// cameLate tells whether an order is a copy of an earlier one of its service
// that was decided so lately that it may only now have arrived.
func (h *hut) cameLate(s consensus.State, o consensus.Rollout) bool {
	slot, ok := s.EarlierOrder(o)
	if !ok {
		return false
	}
	at := time.Duration(0)
	h.desk.ask(func() { at = h.course.ordered[slot] })
	return h.n.steady()-at < config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, lateOrder)
}

// serves tells whether the configuration in force names a service.
func serves(s consensus.State, service string) bool {
	c, err := config.DecodeConfiguration([]byte(s.Body))
	return err == nil && slices.ContainsFunc(c.Services, func(x *config.Service) bool { return x.Name == service })
}

// tellRollouts answers with the last order of a service, or with all.
func (h *hut) tellRollouts(c *app.RequestContext, service string, until time.Time) {
	h.readFor(c, until, func(s consensus.State) {
		all := h.rollouts(s)
		if service == "" {
			transport.WriteJSON(c, 200, map[string]any{"Rollouts": all})
			return
		}
		for _, r := range all {
			if r.Service == service {
				transport.WriteJSON(c, 200, r)
				return
			}
		}
		transport.WriteJSON(c, 404, map[string]string{"Error": "no rollout was ever ordered for this service"})
	})
}

// rollouts tells how far the orders are, the last changed first.
func (h *hut) rollouts(s consensus.State) []rolloutSay {
	out := []rolloutSay{}
	h.desk.ask(func() {
		for _, r := range slices.Backward(s.Rollouts) {
			x := rolloutSay{Service: r.Service, State: r.State(), TargetVersion: r.Target, FromVersion: r.From, Phase: r.Phase, DurationS: float64(r.DurationMs) / 1000, Asked: r.Asked, Of: r.Of, Why: r.Why}
			if r.Running() {
				x.LeftS = max(0, x.DurationS-h.course.clock.Spent(r.N, h.n.steady()).Seconds())
			}
			out = append(out, x)
		}
	})
	return out
}
