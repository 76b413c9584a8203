// Package rollout decides how far a new version of a service's endpoints may
// go: canary analysis by control charts. Every front counts its attempts at
// both versions in a Recorder; control nodes merge the counts in an Aggregator;
// the holder of the polling lease runs charts (package cusum) over them in an
// Evaluator, and Decide proposes the next phase, which is agreed in the log
// (package consensus). A TrafficSplit tells each front to which version a
// request may go in the present phase.
//
// Everything here is pure: no clock, no network, no goroutine. The times given
// are those of the caller's monotonic clock. docs/design.md cites the source of
// the charts and what was changed.
package rollout
