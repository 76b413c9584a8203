package control

import (
	"slices"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/rollout"
)

// evidenceTTL, in heartbeats, is how long the evidence of a front, or of another
// control node, is used: longer than a front may stall.
const evidenceTTL = 4

// peerReport is what another control node sent about the fronts that report to
// it: by order, how many of them don't know the order's current phase, and what
// they have counted.
type peerReport struct {
	at       time.Duration
	lagging  map[int64]int
	evidence map[int64]rollout.Evidence
}

// frontReport is what a front has counted of each order since the order began.
type frontReport struct {
	at       time.Duration
	evidence []rollout.FrontEvidence
}

// onReport adds a front's report to this node's totals, unless it came late or
// twice. It runs on Server.loop.
func (c *rolloutController) onReport(report nodeapi.RolloutReport) {
	filter := c.reportFilters[report.Name]
	if filter == nil {
		filter = &rollout.ReportFilter{}
		c.reportFilters[report.Name] = filter
	}
	if !filter.Accept(report.Incarnation, report.Seq) {
		return
	}
	c.totals.Add(slices.DeleteFunc(report.Entries, func(e rollout.Entry) bool { return !c.isRunning(e.OrderSlot) }))
	c.frontReports[report.Name] = frontReport{c.server.host.Now(), report.Evidence}
}

// onTotals takes the totals of another control node. It runs on Server.loop.
func (c *rolloutController) onTotals(totals nodeapi.RolloutTotals) {
	c.peerReports[totals.ID] = peerReport{c.server.host.Now(), totals.FrontsBehind, totals.Evidence}
	c.evaluate(c.totals.Merge(totals.ID, totals.Incarnation, totals.Seq, totals.Entries))
}

// laggingFronts counts, by order, the fronts heard lately by this node that do
// not know the order's current phase.
func (c *rolloutController) laggingFronts() map[int64]int {
	lagging := map[int64]int{}
	for _, r := range c.running() {
		if n := c.server.fronts.behindRollout(r.Slot); n > 0 {
			lagging[r.OrderSlot] = n
		}
	}
	return lagging
}

// evidence adds up, by order, what the fronts that reported here lately have counted.
func (c *rolloutController) evidence() map[int64]rollout.Evidence {
	byOrder := map[int64]rollout.Evidence{}
	now := c.server.host.Now()
	for _, report := range c.frontReports {
		if now-report.at >= c.server.host.Heartbeats(evidenceTTL) {
			continue
		}
		for _, front := range report.evidence {
			if c.isRunning(front.OrderSlot) {
				byOrder[front.OrderSlot] = byOrder[front.OrderSlot].Add(front)
			}
		}
	}
	return byOrder
}
