package control

import (
	"slices"
	"strings"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// The hut's part of rollouts: orders and their phases are decided in the log;
// the node with the duty merges what all huts were told, runs the charts and
// proposes the next phase.

// rolloutController is a hut's table of rollouts; it belongs to the hut's desk.
type rolloutController struct {
	clock      *rollout.Clock
	totals     *rollout.Aggregator
	evaluators map[int64]*rollout.Judge
	// phaseKnownAt is when this life of the node learned an order's present phase.
	phaseKnownAt map[int64]knownPhase
	// orderKnownAt is when this life of the node learned the slots of orders.
	orderKnownAt map[int64]time.Duration
	// reporters is the last tally of each front.
	reporters map[string]*rollout.ReportFilter
	// laggingReports is how many fronts lag behind a phase, as other huts told.
	laggingReports map[string]laggingReport
	// frontEvidence is what each front reported last of what it has counted.
	frontEvidence map[string]frontEvidence
	// withoutLeaseAt is when this node last lacked the lease while an order ran.
	withoutLeaseAt time.Duration
	sequence       int64
	termsNotedAt   time.Duration
}

type knownPhase struct {
	slot int64
	at   time.Duration
}

type laggingReport struct {
	at       time.Duration
	orders   map[int64]int
	evidence map[int64]rollout.Evidence
}

type frontEvidence struct {
	at     time.Duration
	orders []rollout.FrontEvidence
}

func newRolloutController(n rollout.Noted, now time.Duration) rolloutController {
	return rolloutController{
		clock: rollout.NewClock(n, time.Now(), now), totals: rollout.NewAggregator(), evaluators: map[int64]*rollout.Judge{},
		phaseKnownAt: map[int64]knownPhase{}, orderKnownAt: map[int64]time.Duration{}, reporters: map[string]*rollout.ReportFilter{}, laggingReports: map[string]laggingReport{}, frontEvidence: map[string]frontEvidence{},
	}
}

// rolloutRunning tells whether an order is not settled; it runs on the desk.
func (h *Server) rolloutRunning(order int64) bool {
	return slices.ContainsFunc(h.acceptor.State.Rollouts, func(r consensus.Rollout) bool { return r.OrderSlot == order && r.Running() })
}

// applyRollouts takes the orders as they were decided; it runs on the desk.
func (h *Server) applyRollouts() {
	now, known := h.host.Now(), h.rollouts.phaseKnownAt
	h.rollouts.phaseKnownAt = map[int64]knownPhase{}
	ordered := h.rollouts.orderKnownAt
	h.rollouts.orderKnownAt = map[int64]time.Duration{}
	for _, o := range h.acceptor.State.PastOrders {
		at, ok := ordered[o.Slot]
		if !ok {
			at = now
		}
		h.rollouts.orderKnownAt[o.Slot] = at
	}
	for _, r := range h.acceptor.State.Rollouts {
		if k := known[r.OrderSlot]; k.slot == r.Slot {
			h.rollouts.phaseKnownAt[r.OrderSlot] = k
			continue
		}
		h.rollouts.phaseKnownAt[r.OrderSlot] = knownPhase{r.Slot, now}
		if r.Running() {
			h.rollouts.clock.Hear(r.OrderSlot, time.Duration(r.ElapsedMs)*time.Millisecond, now)
			h.persistTerms(now)
		}
		if r.Phase == consensus.PhaseCanary {
			events.Log(events.RolloutAccepted, "service", r.Service, "from", r.FromVersion, "to", r.TargetVersion, "term", time.Duration(r.DurationMs)*time.Millisecond, "order", r.OrderSlot)
		} else {
			events.Log(events.RolloutPhaseChanged, "service", r.Service, "to", r.TargetVersion, "phase", r.Phase, "spent", time.Duration(r.ElapsedMs)*time.Millisecond, "asked", r.TargetAttempts, "of", r.TotalAttempts, "why", r.Reason, "order", r.OrderSlot)
		}
	}
}

// persistTerms keeps on disk how much of the terms is over; it runs on the desk.
func (h *Server) persistTerms(now time.Duration) {
	h.rollouts.termsNotedAt = now
	h.writeRecord(records.KeyTerms, h.rollouts.clock.Note(h.rolloutRunning, time.Now(), now), nil)
}

// onRolloutReport takes what a front saw; it runs on the desk.
func (h *Server) onRolloutReport(m nodeapi.RolloutReport) {
	if h.rollouts.reporters[m.Name] == nil {
		h.rollouts.reporters[m.Name] = &rollout.ReportFilter{}
	}
	if !h.rollouts.reporters[m.Name].Accept(m.Incarnation, m.Seq) {
		return
	}
	m.Entries = slices.DeleteFunc(m.Entries, func(e rollout.Entry) bool { return !h.rolloutRunning(e.Order) })
	h.rollouts.totals.Add(m.Entries)
	h.rollouts.frontEvidence[m.Name] = frontEvidence{h.host.Now(), m.Evidence}
}

// onRolloutTotals takes all that another hut was told; it runs on the desk.
func (h *Server) onRolloutTotals(m nodeapi.RolloutTotals) {
	h.rollouts.laggingReports[m.ID] = laggingReport{h.host.Now(), m.FrontsBehind, m.Evidence}
	h.evaluate(h.rollouts.totals.Merge(m.ID, m.Incarnation, m.Seq, m.Entries))
}

// evaluate gives what is new to the judges; it runs on the desk.
func (h *Server) evaluate(news []rollout.Entry) {
	byOrder := map[int64][]rollout.Entry{}
	for _, e := range news {
		byOrder[e.Order] = append(byOrder[e.Order], e)
	}
	for _, r := range h.acceptor.State.Rollouts {
		if r.Running() && len(byOrder[r.OrderSlot]) > 0 {
			h.evaluator(r).Add(byOrder[r.OrderSlot])
		}
	}
}

func (h *Server) evaluator(r consensus.Rollout) *rollout.Judge {
	j := h.rollouts.evaluators[r.OrderSlot]
	if j == nil {
		j = rollout.NewJudge(h.host.Options.Rollout, time.Duration(r.DurationMs)*time.Millisecond, h.host.Now())
		h.rollouts.evaluators[r.OrderSlot] = j
	}
	return j
}

// laggingFronts counts, by order, the fronts that this hut heard lately and that do
// not know the present phase; it runs on the desk.
func (h *Server) laggingFronts() map[int64]int {
	out := map[int64]int{}
	now := h.host.Now()
	for _, r := range h.acceptor.State.Rollouts {
		if !r.Running() {
			continue
		}
		for _, f := range h.fronts {
			if f.rolloutSlot < r.Slot && now < f.overdueAt {
				out[r.OrderSlot]++
			}
		}
	}
	return out
}

// evidenceTTL, in heartbeats, is how long a front's report counts: longer than
// a front may stall.
const evidenceTTL = 4

// evidence sums up, by order, what the fronts that reported to this node
// lately have counted. It runs on the server's loop.
func (h *Server) evidence() map[int64]rollout.Evidence {
	out := map[int64]rollout.Evidence{}
	now := h.host.Now()
	for _, report := range h.rollouts.frontEvidence {
		if now-report.at >= h.host.Heartbeats(evidenceTTL) {
			continue
		}
		for _, front := range report.orders {
			if h.rolloutRunning(front.Order) {
				out[front.Order] = out[front.Order].Add(front)
			}
		}
	}
	return out
}

// rolloutLoop carries the orders that run.
func (h *Server) rolloutLoop() {
	for {
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(h.host.Heartbeats(0.15)):
		}
		var steps []consensus.Rollout
		var send *nodeapi.RolloutTotals
		to := ""
		h.loop.Call(func() {
			steps, send, to = h.rolloutStep()
		})
		if send != nil && to != "" {
			go func() {
				_ = h.host.Client.CallJSON(h.host.Settings().InternalAddress(to), nodeapi.PathRolloutTotals, *send, nil, h.host.Heartbeats(0.5))
			}()
		}
		for _, r := range steps {
			h.proposePhase(r)
		}
	}
}

// rolloutStep does what is due now: it notes the time, tells the node with the duty
// what was seen, or, on that node, gives the phases to propose. It runs on the desk.
func (h *Server) rolloutStep() (steps []consensus.Rollout, send *nodeapi.RolloutTotals, to string) {
	now, c := h.host.Now(), &h.rollouts
	running := slices.DeleteFunc(slices.Clone(h.acceptor.State.Rollouts), func(r consensus.Rollout) bool { return !r.Running() })
	if len(running) == 0 {
		if len(c.evaluators)+len(c.reporters) > 0 {
			c.totals.Retain(h.rolloutRunning)
			clear(c.evaluators)
			clear(c.reporters)
			clear(c.laggingReports)
			clear(c.frontEvidence)
		}
		return nil, nil, ""
	}
	if now-c.termsNotedAt >= h.host.Heartbeats(1) {
		h.persistTerms(now)
	}
	c.sequence++
	c.totals.Retain(h.rolloutRunning)
	own := c.totals.OwnTotals()
	if !h.pollLease.Holds(now) {
		c.withoutLeaseAt = now
		for ip, o := range h.peers.byIP {
			if o.id == h.pollLease.ObservedHolder {
				to = ip
			}
		}
		return nil, &nodeapi.RolloutTotals{ID: h.acceptor.ID, Incarnation: h.incarnation, Seq: c.sequence, Entries: own, FrontsBehind: h.laggingFronts(), Evidence: h.evidence()}, to
	}
	h.evaluate(c.totals.Merge(h.acceptor.ID, h.incarnation, c.sequence, own))
	lag, evidence := h.laggingFronts(), h.evidence()
	for _, r := range running {
		j := h.evaluator(r)
		j.Loaded = r.Phase != consensus.PhaseCanary
		for _, a := range j.Step(now) {
			if a.Bad {
				events.Log(events.CUSUMAlarm, "service", r.Service, "version", r.TargetVersion, "metric", a.Metric, "route", a.Route)
			} else {
				events.Log(events.CUSUMAlarmDismissed, "service", r.Service, "version", r.TargetVersion, "metric", a.Metric, "route", a.Route, "better", a.Better)
			}
		}
		f := rollout.Facts{
			Rollout: r, Spent: c.clock.Spent(r.OrderSlot, now), Since: now - c.phaseKnownAt[r.OrderSlot].at, Bad: j.Bad(), Rate: j.Rate(now), New: j.New, Good: j.Good,
			Behind: lag[r.OrderSlot], Report: h.host.Heartbeats(0.6), Settle: config.Milliseconds(h.host.Settings().Bounds.ConfigEffectMs, 0.5),
		}
		for _, b := range c.laggingReports {
			if now-b.at < h.host.Heartbeats(1) {
				f.Behind += b.orders[r.OrderSlot]
			}
			if now-b.at < h.host.Heartbeats(evidenceTTL) {
				evidence[r.OrderSlot] = evidence[r.OrderSlot].Merge(b.evidence[r.OrderSlot])
			}
		}
		f.Evidence = evidence[r.OrderSlot]
		f.Successor = now-c.withoutLeaseAt < f.Settle
		f.Ready, f.Old = h.capacity(r)
		if s := rollout.Decide(f, h.host.Options.Rollout, h.host.RolloutExposure()); s.Phase != "" {
			steps = append(steps, consensus.Rollout{OrderSlot: r.OrderSlot, Service: r.Service, TargetVersion: r.TargetVersion, Phase: s.Phase, ElapsedMs: f.Spent.Milliseconds(), TrialMs: s.For.Milliseconds(), TargetAttempts: j.New, TotalAttempts: j.New + j.Old, Reason: s.Why})
		}
	}
	return steps, nil, ""
}

// capacity counts the slots of the new version's warm searchers, and those of
// the old version's; it runs on the desk.
func (h *Server) capacity(r consensus.Rollout) (ready, old int) {
	if h.tables.current == nil {
		return 0, 0
	}
	for _, s := range h.tables.current.Endpoints {
		if s.Service != r.Service || s.Draining {
			continue
		}
		switch slots := max(1, s.Slots); {
		case s.Version == r.TargetVersion && !s.WarmingUp:
			ready += slots
		case s.Version == r.FromVersion:
			old += slots
		}
	}
	return ready, old
}

// proposePhase proposes a phase. Whoever proposes what, the log takes only a later
// phase of the same order.
func (h *Server) proposePhase(r consensus.Rollout) {
	if !h.proposalLock.TryLock() {
		return
	}
	defer h.proposalLock.Unlock()
	until := time.Now().Add(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.3))
	for try := 0; time.Now().Before(until); try++ {
		s := h.State()
		now, ok := s.Rollout(r.Service)
		if !ok || now.OrderSlot != r.OrderSlot || !now.Running() || now.Phase == r.Phase || !s.IsVoter(h.acceptor.ID) {
			return
		}
		if !h.propose(s, &consensus.Value{Rollout: &r}) {
			h.backOff(try)
		}
	}
}

// maxRolloutBytes bounds an order in bytes.
const maxRolloutBytes = 16 << 10

// RolloutStatus is what the operator is told of an order.
type RolloutStatus struct {
	Service       string          `json:"Service"`
	State         string          `json:"State"`
	TargetVersion string          `json:"TargetVersion"`
	FromVersion   string          `json:"FromVersion,omitempty"`
	Phase         consensus.Phase `json:"Phase"`
	DurationS     float64         `json:"DurationS"`
	// RemainingS is how much of the term is left, where the order runs.
	RemainingS float64 `json:"LeftS,omitempty"`
	// TargetAttempts of all tries Of that were seen went to the new version.
	TargetAttempts int64  `json:"Asked,omitempty"`
	TotalAttempts  int64  `json:"Of,omitempty"`
	Reason         string `json:"Why,omitempty"`
}

// duplicateOrderWindow is for how long, of AcknowledgeMs, a copy of an earlier order is
// taken for one that was long on its way.
const duplicateOrderWindow = 3

// HandleRollout takes the operator's calls.
func (h *Server) HandleRollout(c *app.RequestContext, path string, until time.Time) {
	if string(c.Request.Header.Method()) == "GET" {
		h.answerRollouts(c, strings.Trim(strings.TrimPrefix(path, nodeapi.PathRollouts), "/"), until)
		return
	}
	if len(c.Request.Body()) > maxRolloutBytes {
		transport.WriteError(c, 413, "the order is too large")
		return
	}
	o, err := config.ParseRolloutRequest(c.Request.Body())
	if err != nil {
		events.Log(events.RolloutRejected, "why", err)
		transport.WriteError(c, 400, err.Error())
		return
	}
	status, why := h.decideOrder(consensus.Rollout{Service: o.Service, TargetVersion: o.TargetVersion, DurationMs: int64(max(1, o.DurationS*1000))}, until)
	if status == 200 && !h.waitReplicated(until) {
		status, why = 503, "too few nodes hold it yet"
	}
	if status != 200 {
		events.Log(events.RolloutRejected, "service", o.Service, "status", status, "why", why)
	}
	switch status {
	case 200:
		transport.WriteJSON(c, 200, map[string]string{"Service": o.Service, "TargetVersion": o.TargetVersion})
	case 503:
		h.host.WriteUnavailable(c, why)
	default:
		transport.WriteError(c, status, why)
	}
}

// decideOrder settles an order: acknowledged once a majority has chosen it. Past
// its caller's patience nothing is proposed, and what was taken earlier starts
// nothing again. It is refused only for what a majority knows.
func (h *Server) decideOrder(o consensus.Rollout, until time.Time) (status int, why string) {
	h.proposalLock.Lock()
	defer h.proposalLock.Unlock()
	fresh := false
	for try := 0; ; try++ {
		s := h.State()
		old, known := s.Rollout(o.Service)
		switch {
		case known && old.SameOrder(o):
			return 200, ""
		case time.Now().After(until):
			return 503, "no majority agreed in time"
		case h.isolated():
			return 503, "no majority can be reached"
		case h.isDuplicateOrder(s, o):
			events.Log(events.RolloutOrderStale, "service", o.Service, "to", o.TargetVersion)
			return 200, ""
		}
		runs := known && old.Running()
		if runs || !hasService(s, o.Service) {
			switch {
			case fresh && runs:
				return 409, "Service has another rollout under way, to " + old.TargetVersion
			case fresh:
				return 400, "Service is not in the configuration"
			}
			// This node may be behind: a majority knows.
			if _, fresh = h.readDuringProposal(until); !fresh {
				h.backOff(try)
			}
			continue
		}
		if o.FromVersion = old.ActiveVersion(); !known {
			h.loop.Call(func() {
				if h.tables.current != nil {
					o.FromVersion = h.tables.current.InitialVersions[o.Service]
				}
			})
		}
		if time.Now().After(until) {
			continue
		}
		if !h.proposeUntil(s, &consensus.Value{Rollout: &o}, until) {
			h.backOff(try)
		}
	}
}

// isDuplicateOrder tells whether an order is a copy of an earlier one of its service
// that was decided so lately that it may only now have arrived.
func (h *Server) isDuplicateOrder(s consensus.State, o consensus.Rollout) bool {
	slot, ok := s.EarlierOrder(o)
	if !ok {
		return false
	}
	at := time.Duration(0)
	h.loop.Call(func() { at = h.rollouts.orderKnownAt[slot] })
	return h.host.Now()-at < config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, duplicateOrderWindow)
}

// hasService tells whether the configuration in force names a service.
func hasService(s consensus.State, service string) bool {
	c, err := config.DecodeConfiguration([]byte(s.Body))
	return err == nil && slices.ContainsFunc(c.Services, func(x *config.Service) bool { return x.Name == service })
}

// answerRollouts answers with the last order of a service, or with all.
func (h *Server) answerRollouts(c *app.RequestContext, service string, until time.Time) {
	h.answerRead(c, until, func(s consensus.State) {
		all := h.rolloutStatuses(s)
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
		transport.WriteError(c, 404, "no rollout was ever ordered for this service")
	})
}

// rolloutStatuses tells how far the orders are, the last changed first.
func (h *Server) rolloutStatuses(s consensus.State) []RolloutStatus {
	out := []RolloutStatus{}
	h.loop.Call(func() {
		for _, r := range slices.Backward(s.Rollouts) {
			x := RolloutStatus{Service: r.Service, State: r.Status(), TargetVersion: r.TargetVersion, FromVersion: r.FromVersion, Phase: r.Phase, DurationS: float64(r.DurationMs) / 1000, TargetAttempts: r.TargetAttempts, TotalAttempts: r.TotalAttempts, Reason: r.Reason}
			if r.Running() {
				x.RemainingS = max(0, x.DurationS-h.rollouts.clock.Spent(r.OrderSlot, h.host.Now()).Seconds())
			}
			out = append(out, x)
		}
	})
	return out
}
