package front

import (
	"math/rand/v2"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/rollout"
)

// Periods of the rollout reports in heartbeat intervals.
const (
	rolloutReportHeartbeats     = 0.15
	rolloutReportCallHeartbeats = 0.5
)

// rolloutReporter reports to the primary control node, while a rollout runs,
// what this node counted. Its goroutine owns unsent and sequence.
type rolloutReporter struct {
	host     *host.Host
	loop     *commandloop.Loop
	watcher  *controlWatcher
	follower *rolloutFollower

	// unsent holds the entries of reports that were not acknowledged. They go
	// with the next report, to whichever node is the primary by then.
	unsent rollout.Recorder
	// incarnation and sequence identify a report. The incarnation is random:
	// a front has no disk, and the time of day may jump.
	incarnation int64
	sequence    int64
}

func newRolloutReporter(h *host.Host, loop *commandloop.Loop, watcher *controlWatcher, follower *rolloutFollower) *rolloutReporter {
	return &rolloutReporter{host: h, loop: loop, watcher: watcher, follower: follower, incarnation: rand.Int64()}
}

// run reports until the node stops. The period is jittered so that the fronts
// do not report all at once.
func (r *rolloutReporter) run() {
	for {
		jitter := 0.8 + 0.4*rand.Float64()
		select {
		case <-r.host.Stopping:
			return
		case <-time.After(time.Duration(float64(r.host.Heartbeats(rolloutReportHeartbeats)) * jitter)):
		}
		if observed := r.follower.observed.Load(); observed != nil && len(*observed) > 0 {
			r.report()
		}
	}
}

// report evaluates what was counted since the last report and sends it.
func (r *rolloutReporter) report() {
	entries := r.follower.recorder.Drain()
	report := nodeapi.RolloutReport{
		Name:        r.host.Settings().NodeName,
		Incarnation: r.incarnation,
		Entries:     append(r.unsent.Drain(), entries...),
	}
	r.sequence++
	report.Seq = r.sequence
	var primary string
	alarm := false
	r.loop.Call(func() {
		if len(entries) > 0 {
			r.follower.evaluate(entries)
		}
		report.Evidence, alarm = r.follower.evidence()
		primary = r.watcher.primary()
	})
	if len(report.Entries) == 0 && !alarm {
		return
	}
	if !r.send(primary, report) {
		for _, entry := range report.Entries {
			r.unsent.Record(entry.Cell, entry.Sample)
		}
	}
}

func (r *rolloutReporter) send(primary string, report nodeapi.RolloutReport) bool {
	if primary == "" {
		return false
	}
	address := r.host.Settings().InternalAddress(primary)
	return r.host.Client.CallJSON(address, nodeapi.PathRolloutReport, report, nil, r.host.Heartbeats(rolloutReportCallHeartbeats)) == nil
}
