package control

import (
	"slices"
	"time"

	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
)

const (
	// unreachableReportTTLHeartbeats, in heartbeats, is how long a front's report counts.
	unreachableReportTTLHeartbeats = 2
	// announceInterval, in heartbeats, is how long changes are collected
	// before the watchers are woken: many fronts report at the same moment.
	announceInterval = 0.1
	// maxReportedEndpoints bounds the endpoints that reports are kept of.
	maxReportedEndpoints = 4096
	// frontsPerReporter: one of so many fronts of a zone must report.
	frontsPerReporter = 20
	minReporters      = 2
)

// requiredReporters is how many fronts of a zone must report an endpoint before
// it counts as unreachable, of those that there are: a front that is slow itself
// must not speak for the others.
func requiredReporters(fronts int) int {
	return max(minReporters, (fronts+frontsPerReporter-1)/frontsPerReporter)
}

// unreachableTable collects the fronts' reports of endpoints that do not answer.
// With a request in a second or two each front would find out late, and by its
// own failed requests; what several fronts report to their primary control
// node is passed on to all that watch it.
//
// It is owned by the server's command loop.
type unreachableTable struct {
	// reports holds, by endpoint, when each front last reported it.
	reports map[int64]map[string]time.Duration
	// unreachableUntil holds, by endpoint, until when it counts as unreachable.
	unreachableUntil map[int64]time.Duration
	// revision numbers the changes that were announced. Each run of the process
	// begins at another one.
	revision int64
	// announcing: an announcement is scheduled.
	announcing bool
}

func newUnreachableTable(revision int64) *unreachableTable {
	return &unreachableTable{
		reports:          map[int64]map[string]time.Duration{},
		unreachableUntil: map[int64]time.Duration{},
		revision:         revision,
	}
}

// onReport takes a front's report and returns whether there is something new to
// announce. required is how many fronts must report an endpoint, each within
// reportTTL; it then counts as unreachable for unreachableTTL.
func (t *unreachableTable) onReport(report nodeapi.UnreachableReport, required int, now, reportTTL, unreachableTTL time.Duration) bool {
	changed := false
	for _, endpoint := range report.UnreachableOrdinals {
		if t.reports[endpoint] == nil {
			if len(t.reports) >= maxReportedEndpoints {
				continue
			}
			t.reports[endpoint] = map[string]time.Duration{}
		}
		t.reports[endpoint][report.Name] = now
		t.dropExpired(endpoint, now, reportTTL)
		// What was announced is announced again only when it is about to lapse.
		if len(t.reports[endpoint]) >= required && t.unreachableUntil[endpoint]-now < unreachableTTL/2 {
			t.unreachableUntil[endpoint] = now + unreachableTTL
			changed = true
		}
	}
	return changed
}

// dropExpired drops the reports of an endpoint that no longer count.
func (t *unreachableTable) dropExpired(endpoint int64, now, reportTTL time.Duration) {
	for front, at := range t.reports[endpoint] {
		if now-at > reportTTL {
			delete(t.reports[endpoint], front)
		}
	}
}

// current lists the endpoints that count as unreachable, and forgets those that
// no longer do.
func (t *unreachableTable) current(now, reportTTL time.Duration) (unreachable []int64) {
	for endpoint, until := range t.unreachableUntil {
		if now >= until {
			delete(t.unreachableUntil, endpoint)
			continue
		}
		unreachable = append(unreachable, endpoint)
	}
	for endpoint := range t.reports {
		t.dropExpired(endpoint, now, reportTTL)
		if len(t.reports[endpoint]) == 0 {
			delete(t.reports, endpoint)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// onUnreachableReport takes a front's report. Changes that come close together
// are announced as one. It runs on the loop.
func (s *Server) onUnreachableReport(report nodeapi.UnreachableReport) {
	now := s.host.Now()
	zone := s.fronts.around(s.fronts.zoneOf(report.Name)).zone
	reportTTL := s.host.Heartbeats(unreachableReportTTLHeartbeats)
	changed := s.unreachable.onReport(report, requiredReporters(zone), now, reportTTL, s.host.UnreachableTTL())
	if !changed || s.unreachable.announcing {
		return
	}
	s.unreachable.announcing = true
	time.AfterFunc(s.host.Heartbeats(announceInterval), func() { s.loop.Submit(s.announceUnreachable) })
}

// announceUnreachable wakes the watchers for a new revision of the unreachable
// endpoints. It runs on the loop.
func (s *Server) announceUnreachable() {
	s.unreachable.announcing = false
	s.unreachable.revision++
	events.Log(events.UnreachableReported, "searchers", len(s.unreachable.unreachableUntil))
	s.notifyWatchers()
}
