package nodeapi

import "swiftswitch/internal/rollout"

// RolloutReport is sent by a front to the control node that is its primary, on
// PathRolloutReport, about every 0.15 heartbeat intervals while a rollout runs:
// the outcomes of its requests to the old and the new version since its last
// report. The receiver adds them up. Entries of a report that was not answered
// go with the next one.
type RolloutReport struct {
	// Name is the front's node name.
	Name string `json:"Name"`
	// Incarnation and Seq identify the report, so that the receiver counts
	// one that arrives twice only once.
	Incarnation int64           `json:"Life"`
	Seq         int64           `json:"Seq"`
	Entries     []rollout.Entry `json:"Entries"`
	// Evidence is what the front has counted since the orders began, whole
	// in each report.
	Evidence []rollout.FrontEvidence `json:"Views,omitempty"`
}

// RolloutTotals is sent by each control node to the holder of the polling
// lease, which evaluates rollouts, on PathRolloutTotals: all that fronts have
// reported to the sender about running orders. Totals are cumulative: a lost
// message is made good by the next.
type RolloutTotals struct {
	// ID is the sender's identity; Incarnation and Seq order its messages.
	ID          string          `json:"ID"`
	Incarnation int64           `json:"Life"`
	Seq         int64           `json:"Seq"`
	Entries     []rollout.Entry `json:"Entries"`
	// FrontsBehind is the number of fronts, heard lately by the sender, that
	// do not know an order's last phase yet, by the order's number.
	FrontsBehind map[int64]int `json:"Behind,omitempty"`
	// Evidence sums up, by the order's number, what the fronts that reported
	// to the sender lately have counted.
	Evidence map[int64]rollout.Evidence `json:"Evidence,omitempty"`
}
