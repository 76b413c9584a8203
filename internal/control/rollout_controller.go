package control

import (
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/rollout"
)

const (
	// rolloutStepHeartbeats, in heartbeats, is the pause between two steps of the controller.
	rolloutStepHeartbeats = 0.15
	// totalsCallHeartbeats, in heartbeats, bounds the call that sends totals to the lease holder.
	totalsCallHeartbeats = 0.5
	// clockPersistHeartbeats, in heartbeats, is how often clock is persisted.
	clockPersistHeartbeats = 1
	// laggingTTLHeartbeats, in heartbeats, is how long another control node's count of
	// lagging fronts is used.
	laggingTTLHeartbeats = 1
	// evaluationDelayHeartbeats, in heartbeats, is how long an attempt takes from a front to the charts.
	evaluationDelayHeartbeats = 0.6
	// settleRatio, of Bounds.ConfigEffectMs, bounds the wait for lagging fronts
	// before a promotion is completed.
	settleRatio = 0.5
	// phaseProposalRatio, of Bounds.AcknowledgeMs, bounds the attempts to propose one phase.
	phaseProposalRatio = 0.3
)

// rolloutController carries the rollouts that run. Orders and their phases are
// decided in the log. Every control node adds up what the fronts that report to
// it saw; the holder of the poll lease merges the totals of all control nodes,
// runs the control charts over them and proposes the next phase.
//
// All fields but server are owned by Server.loop.
type rolloutController struct {
	server *Server

	// clock measures how much of each order's duration has elapsed.
	clock *rollout.Clock
	// totals holds what fronts reported here and what other control nodes sent.
	totals *rollout.Aggregator
	// evaluators run the control charts, by order.
	evaluators map[int64]*rollout.Evaluator
	// phaseKnownAt is when this incarnation learned an order's current phase.
	phaseKnownAt map[int64]knownPhase
	// reportFilters drop late and repeated reports, by front.
	reportFilters map[string]*rollout.ReportFilter
	// peerReports hold what other control nodes sent last about their fronts, by identity.
	peerReports map[string]peerReport
	// frontReports hold what each front reported last of all that it has counted.
	frontReports map[string]frontReport
	// withoutLeaseAt is when this node last lacked the lease while an order ran.
	withoutLeaseAt time.Duration
	// sequence numbers the totals that this incarnation sent or merged.
	sequence int64
	// clockPersistedAt is when clock was last written to disk.
	clockPersistedAt time.Duration
}

// knownPhase is a phase, by the slot that decided it, and when it was learned.
type knownPhase struct {
	slot int64
	at   time.Duration
}

// rolloutStep is what one step found due: phases to propose on the lease holder,
// totals to send to the holder on every other node.
type rolloutStep struct {
	phases   []consensus.Rollout
	totals   *nodeapi.RolloutTotals
	holderIP string
}

func newRolloutController(s *Server, stored rollout.ClockRecord, now time.Duration) *rolloutController {
	return &rolloutController{
		server:        s,
		clock:         rollout.NewClock(stored, time.Now(), now),
		totals:        rollout.NewAggregator(),
		evaluators:    map[int64]*rollout.Evaluator{},
		phaseKnownAt:  map[int64]knownPhase{},
		reportFilters: map[string]*rollout.ReportFilter{},
		peerReports:   map[string]peerReport{},
		frontReports:  map[string]frontReport{},
	}
}

// run performs a step at every interval until the node stops.
func (c *rolloutController) run() {
	host := c.server.host
	for {
		select {
		case <-host.Stopping:
			return
		case <-time.After(host.Heartbeats(rolloutStepHeartbeats)):
		}
		var step rolloutStep
		c.server.loop.Call(func() { step = c.step() })
		if step.totals != nil && step.holderIP != "" {
			go c.sendTotals(step.holderIP, *step.totals)
		}
		for _, phase := range step.phases {
			c.proposePhase(phase)
		}
	}
}

// sendTotals sends this node's totals to the lease holder. One that is lost
// needs no retry: the next one holds all that it held.
func (c *rolloutController) sendTotals(ip string, totals nodeapi.RolloutTotals) {
	host := c.server.host
	address := host.Settings().InternalAddress(ip)
	_ = host.Client.CallJSON(address, nodeapi.PathRolloutTotals, totals, nil, host.Heartbeats(totalsCallHeartbeats))
}

// step does what is due now. It runs on Server.loop.
func (c *rolloutController) step() rolloutStep {
	host := c.server.host
	now := host.Now()
	running := c.running()
	if len(running) == 0 {
		c.reset()
		return rolloutStep{}
	}
	if now-c.clockPersistedAt >= host.Heartbeats(clockPersistHeartbeats) {
		c.persistClock(now)
	}
	totals := c.gather()
	if !c.server.pollLease.Holds(now) {
		c.withoutLeaseAt = now
		return rolloutStep{totals: &totals, holderIP: c.holderIP()}
	}
	c.evaluate(c.totals.Merge(totals.ID, totals.Incarnation, totals.Seq, totals.Entries))
	return rolloutStep{phases: c.decide(running, totals, now)}
}

// gather adds up what this node's fronts reported, under the next sequence number.
func (c *rolloutController) gather() nodeapi.RolloutTotals {
	c.sequence++
	c.totals.Retain(c.isRunning)
	return nodeapi.RolloutTotals{
		ID:           c.server.acceptor.ID,
		Incarnation:  c.server.incarnation,
		Seq:          c.sequence,
		Entries:      c.totals.OwnTotals(),
		FrontsBehind: c.laggingFronts(),
		Evidence:     c.evidence(),
	}
}

// holderIP is the address of the lease holder, empty where it is not known.
func (c *rolloutController) holderIP() (holder string) {
	for ip, peer := range c.server.peers.byIP {
		if peer.id == c.server.pollLease.ObservedHolder {
			holder = ip
		}
	}
	return holder
}

// evaluate passes new entries to the charts of the orders that run.
func (c *rolloutController) evaluate(entries []rollout.Entry) {
	byOrder := rollout.GroupByOrder(entries)
	for _, r := range c.server.acceptor.State.Rollouts {
		if r.Running() && len(byOrder[r.OrderSlot]) > 0 {
			c.evaluator(r).Add(byOrder[r.OrderSlot])
		}
	}
}

// evaluator returns the charts of an order, and starts them with the first call.
func (c *rolloutController) evaluator(r consensus.Rollout) *rollout.Evaluator {
	e := c.evaluators[r.OrderSlot]
	if e == nil {
		host := c.server.host
		e = rollout.NewEvaluator(host.Options.Rollout, time.Duration(r.DurationMs)*time.Millisecond, host.Now())
		c.evaluators[r.OrderSlot] = e
	}
	return e
}

// decide returns the phases that are due. own are this node's totals.
func (c *rolloutController) decide(running []consensus.Rollout, own nodeapi.RolloutTotals, now time.Duration) (phases []consensus.Rollout) {
	host := c.server.host
	for _, r := range running {
		c.runCharts(r, now)
		facts := c.facts(r, own, now)
		next := rollout.Decide(facts, host.Options.Rollout, host.RolloutExposure())
		if next.Phase == "" {
			continue
		}
		e := c.evaluator(r)
		phases = append(phases, consensus.Rollout{
			OrderSlot:      r.OrderSlot,
			Service:        r.Service,
			TargetVersion:  r.TargetVersion,
			Phase:          next.Phase,
			ElapsedMs:      facts.Elapsed.Milliseconds(),
			TrialMs:        next.TrialDuration.Milliseconds(),
			TargetAttempts: e.NewAttempts,
			TotalAttempts:  e.NewAttempts + e.OldAttempts,
			Reason:         next.Reason,
		})
	}
	return phases
}

// runCharts advances the charts of an order and logs their alarms.
func (c *rolloutController) runCharts(r consensus.Rollout, now time.Duration) {
	e := c.evaluator(r)
	e.UnderLoad = r.Phase != consensus.PhaseCanary
	for _, alarm := range e.Step(now) {
		if alarm.Confirmed {
			events.Log(events.CUSUMAlarm, "service", r.Service, "version", r.TargetVersion, "metric", alarm.Metric, "route", alarm.Route)
		} else {
			events.Log(events.CUSUMAlarmDismissed, "service", r.Service, "version", r.TargetVersion, "metric", alarm.Metric, "route", alarm.Route, "better", alarm.Better)
		}
	}
}

// facts collects what the decision on an order rests on: this node's own
// totals, and what the other control nodes reported lately.
func (c *rolloutController) facts(r consensus.Rollout, own nodeapi.RolloutTotals, now time.Duration) rollout.Facts {
	host := c.server.host
	e := c.evaluator(r)
	capacity := c.server.versionCapacity(r)
	facts := rollout.Facts{
		Rollout:       r,
		Elapsed:       c.clock.Elapsed(r.OrderSlot, now),
		PhaseAge:      now - c.phaseKnownAt[r.OrderSlot].at,
		Finding:       e.Finding(),
		RequestRate:   e.RequestRate(now),
		GoodAnswers:   e.GoodAnswers,
		Evidence:      own.Evidence[r.OrderSlot],
		ReadySlots:    capacity.targetWarm,
		OldSlots:      capacity.from,
		LaggingNodes:  own.FrontsBehind[r.OrderSlot],
		ReportDelay:   host.Heartbeats(evaluationDelayHeartbeats),
		SettleTimeout: config.Milliseconds(host.Settings().Bounds.ConfigEffectMs, settleRatio),
	}
	// Shortly after the lease changed hands, not all fronts may have reported here.
	facts.LeaseJustAcquired = now-c.withoutLeaseAt < facts.SettleTimeout
	for _, report := range c.peerReports {
		if now-report.at < host.Heartbeats(laggingTTLHeartbeats) {
			facts.LaggingNodes += report.lagging[r.OrderSlot]
		}
		if now-report.at < host.Heartbeats(evidenceTTL) {
			facts.Evidence = facts.Evidence.Merge(report.evidence[r.OrderSlot])
		}
	}
	return facts
}

// versionCapacity counts the slots of the endpoints of the two versions of a
// rollout: those of the target that are warm, and all of the version it replaces.
type versionCapacity struct {
	targetWarm, from int
}

// versionCapacity counts by the endpoint table, without endpoints that drain.
// It runs on the loop.
func (s *Server) versionCapacity(r consensus.Rollout) (capacity versionCapacity) {
	if s.tables.current == nil {
		return capacity
	}
	for _, e := range s.tables.current.Endpoints {
		if e.Service != r.Service || e.Draining {
			continue
		}
		slots := max(1, e.Slots)
		switch {
		case e.Version == r.TargetVersion && !e.WarmingUp:
			capacity.targetWarm += slots
		case e.Version == r.FromVersion:
			capacity.from += slots
		}
	}
	return capacity
}

// proposePhase proposes a phase. Whoever proposes it, the log takes only a later
// phase of the same order, so two nodes that both believe to hold the lease do no harm.
func (c *rolloutController) proposePhase(phase consensus.Rollout) {
	s := c.server
	if !s.proposalLock.TryLock() {
		return
	}
	defer s.proposalLock.Unlock()
	until := time.Now().Add(config.Milliseconds(s.host.Settings().Bounds.AcknowledgeMs, phaseProposalRatio))
	for attempt := 0; time.Now().Before(until); attempt++ {
		state := s.State()
		current, known := state.Rollout(phase.Service)
		if !known || current.OrderSlot != phase.OrderSlot || !current.Running() || current.Phase == phase.Phase || !state.IsVoter(s.acceptor.ID) {
			return
		}
		if !s.propose(state, &consensus.Value{Rollout: &phase}) {
			s.backOff(attempt)
		}
	}
}

// apply follows the orders and phases of the state that was just decided. It runs on Server.loop.
func (c *rolloutController) apply() {
	now := c.server.host.Now()
	state := c.server.acceptor.State
	phaseKnownAt := map[int64]knownPhase{}
	previous := c.phaseKnownAt
	c.phaseKnownAt = phaseKnownAt
	for _, r := range state.Rollouts {
		if known := previous[r.OrderSlot]; known.slot == r.Slot {
			phaseKnownAt[r.OrderSlot] = known
			continue
		}
		phaseKnownAt[r.OrderSlot] = knownPhase{r.Slot, now}
		if r.Running() {
			c.clock.AtLeast(r.OrderSlot, time.Duration(r.ElapsedMs)*time.Millisecond, now)
			c.persistClock(now)
		}
		logPhase(r)
	}
}

// logPhase logs a phase that was learned.
func logPhase(r consensus.Rollout) {
	if r.Phase == consensus.PhaseCanary {
		duration := time.Duration(r.DurationMs) * time.Millisecond
		events.Log(events.RolloutAccepted, "service", r.Service, "from", r.FromVersion, "to", r.TargetVersion, "term", duration, "order", r.OrderSlot)
		return
	}
	elapsed := time.Duration(r.ElapsedMs) * time.Millisecond
	events.Log(events.RolloutPhaseChanged, "service", r.Service, "to", r.TargetVersion, "phase", r.Phase, "spent", elapsed, "asked", r.TargetAttempts, "of", r.TotalAttempts, "why", r.Reason, "order", r.OrderSlot)
}

// persistClock writes to disk how much of the durations has elapsed, so that a
// restart gives no order more time. It runs on Server.loop.
func (c *rolloutController) persistClock(now time.Duration) {
	c.clockPersistedAt = now
	records.RolloutClockRecord.Put(c.server.store, c.clock.Record(c.isRunning, time.Now(), now), nil)
}

// elapsedByOrder returns how many milliseconds of the running orders' durations
// have elapsed, by order. It runs on Server.loop.
func (c *rolloutController) elapsedByOrder() map[int64]int64 {
	return c.clock.Record(c.isRunning, time.Now(), c.server.host.Now()).ElapsedMs
}

// onElapsedByOrder takes what has elapsed by the clock of another control
// node: the most that any node knows counts. It runs on Server.loop.
func (c *rolloutController) onElapsedByOrder(elapsedMs map[int64]int64, now time.Duration) {
	for order, ms := range elapsedMs {
		if c.isRunning(order) {
			c.clock.AtLeast(order, time.Duration(ms)*time.Millisecond, now)
		}
	}
}

// running lists the orders that are not settled. It runs on Server.loop.
func (c *rolloutController) running() []consensus.Rollout {
	all := slices.Clone(c.server.acceptor.State.Rollouts)
	return slices.DeleteFunc(all, func(r consensus.Rollout) bool { return !r.Running() })
}

// isRunning reports whether an order is not settled. It runs on Server.loop.
func (c *rolloutController) isRunning(order int64) bool {
	return slices.ContainsFunc(c.server.acceptor.State.Rollouts, func(r consensus.Rollout) bool {
		return r.OrderSlot == order && r.Running()
	})
}

// reset drops what was collected for orders that are settled; called when none runs.
func (c *rolloutController) reset() {
	if len(c.evaluators)+len(c.reportFilters) == 0 {
		return
	}
	c.totals.Retain(c.isRunning)
	clear(c.evaluators)
	clear(c.reportFilters)
	clear(c.peerReports)
	clear(c.frontReports)
}
