package front

import (
	"time"

	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/upstream"
)

// Periods of the reports of unreachable endpoints in heartbeat intervals.
const (
	// unreachableBatchHeartbeats is how long a report waits for further
	// endpoints: the attempts of one request fail together.
	unreachableBatchHeartbeats = 0.05
	// unreachableAgeHeartbeats is how long ago an endpoint may have failed to
	// be reported.
	unreachableAgeHeartbeats = 1
	// unreachablePauseHeartbeats is the least time between two reports.
	unreachablePauseHeartbeats = 0.2
	unreachableCallHeartbeats  = 0.5
)

// unreachableReporter reports endpoints that gave no answer to the primary
// control node, which announces them to all fronts once several reported them.
type unreachableReporter struct {
	host      *host.Host
	endpoints *upstream.Pool
	watcher   *controlWatcher
	// wakeup has room for one signal; further ones are dropped.
	wakeup chan struct{}
}

// onUnreachable wakes the reporter. It never blocks.
func (r *unreachableReporter) onUnreachable() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// run reports until the node stops.
func (r *unreachableReporter) run() {
	for {
		select {
		case <-r.host.Stopping:
			return
		case <-r.wakeup:
		}
		time.Sleep(r.host.Heartbeats(unreachableBatchHeartbeats))
		ordinals := r.endpoints.UnreachableOrdinals(r.host.Heartbeats(unreachableAgeHeartbeats))
		primary := r.watcher.currentPrimary()
		if len(ordinals) == 0 || primary == "" {
			continue
		}
		report := nodeapi.UnreachableReport{Name: r.host.Settings().NodeName, UnreachableOrdinals: ordinals}
		// A report that is lost is made good by the next failed attempt.
		_ = r.host.Client.CallJSON(r.host.Settings().InternalAddress(primary), nodeapi.PathUnreachable, report, nil, r.host.Heartbeats(unreachableCallHeartbeats))
		time.Sleep(r.host.Heartbeats(unreachablePauseHeartbeats))
	}
}
