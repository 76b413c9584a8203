package front

import (
	"context"
	"errors"
	"maps"
	"math"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/upstream"
)

const (
	// maxTrackedEndpoints is how many endpoints of a new version are counted
	// one by one. Those of a larger version share that many cells.
	maxTrackedEndpoints = 8
	// trialGraceHeartbeats: a node that started less than this many heartbeat
	// intervals ago cannot tell how much of a trial is over.
	trialGraceHeartbeats = 4
)

// rolloutFollower keeps the node's requests to the traffic splits that the
// decided phases of rollouts allow, and counts the outcomes of its attempts at
// both versions. It evaluates its own counts too, so that it stops sending
// requests to a bad version without waiting for a decision.
//
// loop owns the fields below it, up to observed.
type rolloutFollower struct {
	host     *host.Host
	options  rollout.Options
	progress *progressTracker
	layouts  *layoutController

	loop *commandloop.Loop
	// orders holds the newest rollout of each service.
	orders map[string]consensus.Rollout
	// By order: when a trial ends by this node's clock, whether this node's
	// evaluator has halted the rollout here, and the evaluator.
	trialUntil map[int64]time.Duration
	halted     map[int64]bool
	evaluators map[int64]*rollout.Evaluator

	// observed holds, by service, the rollouts under way. The map is never
	// changed once published.
	observed atomic.Pointer[map[string]observedRollout]
	// recorder counts the attempts of all requests.
	recorder rollout.Recorder
}

// observedRollout is a rollout whose two versions' attempts are counted.
type observedRollout struct {
	order        int64
	from, target string
	// aggregateEndpoints: the new version has more than maxTrackedEndpoints.
	aggregateEndpoints bool
	duration           time.Duration
}

func newRolloutFollower(h *host.Host, loop *commandloop.Loop, options rollout.Options, tracker *progressTracker, layouts *layoutController) *rolloutFollower {
	return &rolloutFollower{
		host:       h,
		options:    options,
		progress:   tracker,
		layouts:    layouts,
		loop:       loop,
		orders:     map[string]consensus.Rollout{},
		trialUntil: map[int64]time.Duration{},
		halted:     map[int64]bool{},
		evaluators: map[int64]*rollout.Evaluator{},
	}
}

// onWatchResponse takes the rollouts that a control node announced. It runs on loop.
func (f *rolloutFollower) onWatchResponse(response *nodeapi.WatchResponse) {
	known := f.progress.load().rolloutSlot
	if response.RolloutSlot <= known {
		return
	}
	now := f.host.Now()
	for _, order := range response.Rollouts {
		if order.Slot <= f.orders[order.Service].Slot {
			continue
		}
		f.orders[order.Service] = order
		if order.Phase == consensus.PhaseTrial && now > f.host.Heartbeats(trialGraceHeartbeats) {
			f.trialUntil[order.OrderSlot] = now + time.Duration(order.TrialMs)*time.Millisecond
		}
	}
	f.progress.update(func(p *progress) { p.rolloutSlot = response.RolloutSlot })
	if known < 0 || len(response.Rollouts) > 0 {
		f.applyTrafficSplits()
		f.layouts.advance()
		f.layouts.publish()
	}
}

// applyTrafficSplits derives from the orders and the endpoint table to which
// versions requests may go and which rollouts to observe. It runs on loop; the
// caller publishes.
func (f *rolloutFollower) applyTrafficSplits() {
	splits := f.trafficSplits()
	versions := map[string][]string{}
	for service, split := range splits {
		versions[service] = split.Versions()
	}
	observed := f.runningRollouts(splits)
	f.observed.Store(&observed)
	f.layouts.setTrafficSplits(splits, versions)
	f.forgetEndedOrders(observed)
}

// trafficSplits returns the traffic split of each service. A service without a
// rollout stays with the version that its endpoints were first listed with.
func (f *rolloutFollower) trafficSplits() map[string]*rollout.TrafficSplit {
	splits := map[string]*rollout.TrafficSplit{}
	if f.layouts.table != nil {
		for service, initial := range f.layouts.table.InitialVersions {
			splits[service] = &rollout.TrafficSplit{FromVersion: initial}
		}
	}
	canaryShare := f.options.CanaryShare(f.host.RolloutExposure())
	for service, order := range f.orders {
		split := &rollout.TrafficSplit{
			FromVersion:   order.FromVersion,
			TargetVersion: order.TargetVersion,
			Phase:         order.Phase,
			CanaryShare:   canaryShare,
			TrialShare:    f.options.TrialShare,
			TrialUntil:    f.trialUntil[order.OrderSlot],
			Halted:        f.halted[order.OrderSlot],
		}
		if initial := splits[service]; split.FromVersion == "" && initial != nil {
			split.FromVersion = initial.FromVersion
		}
		splits[service] = split
	}
	return splits
}

// runningRollouts returns, by service, the rollouts whose attempts count.
func (f *rolloutFollower) runningRollouts(splits map[string]*rollout.TrafficSplit) map[string]observedRollout {
	running := map[string]observedRollout{}
	for service, order := range f.orders {
		if !order.Running() {
			continue
		}
		running[service] = observedRollout{
			order:              order.OrderSlot,
			from:               splits[service].FromVersion,
			target:             order.TargetVersion,
			aggregateEndpoints: f.countEndpoints(service, order.TargetVersion) > maxTrackedEndpoints,
			duration:           time.Duration(order.DurationMs) * time.Millisecond,
		}
	}
	return running
}

// countEndpoints returns the number of a version's endpoints that are not draining.
func (f *rolloutFollower) countEndpoints(service, version string) (n int) {
	if f.layouts.table == nil {
		return 0
	}
	for _, endpoint := range f.layouts.table.Endpoints {
		if endpoint.Service == service && endpoint.Version == version && !endpoint.Draining {
			n++
		}
	}
	return n
}

// forgetEndedOrders drops the state of orders that run no more.
func (f *rolloutFollower) forgetEndedOrders(observed map[string]observedRollout) {
	running := map[int64]bool{}
	for _, r := range observed {
		running[r.order] = true
	}
	maps.DeleteFunc(f.trialUntil, func(order int64, _ time.Duration) bool { return !running[order] })
	maps.DeleteFunc(f.halted, func(order int64, _ bool) bool { return !running[order] })
	maps.DeleteFunc(f.evaluators, func(order int64, _ *rollout.Evaluator) bool { return !running[order] })
}

// recordAttempt counts an attempt at a service with a rollout under way. It is
// safe for concurrent use, and cheap while there is no rollout.
func (f *rolloutFollower) recordAttempt(endpoint *upstream.Endpoint, request *upstream.Request, attempt *upstream.Attempt) {
	observed := f.observed.Load()
	if observed == nil {
		return
	}
	r, ok := (*observed)[endpoint.Service]
	if !ok || endpoint.Version != r.from && endpoint.Version != r.target {
		return
	}
	cell := rollout.Cell{OrderSlot: r.order, Target: endpoint.Version == r.target, Route: request.Route, Distance: endpoint.Distance()}
	if cell.Target {
		cell.Endpoint = endpoint.Ordinal
		if r.aggregateEndpoints {
			cell.Endpoint %= maxTrackedEndpoints
		}
	}
	if sample, ok := attemptSample(attempt, request.TargetLatency); ok {
		f.recorder.Record(cell, sample)
	}
}

// attemptSample returns what an attempt adds to the counts of its version. An
// attempt that timed out before the latency target says nothing about it.
func attemptSample(attempt *upstream.Attempt, target time.Duration) (sample rollout.Sample, ok bool) {
	timedOut := errors.Is(attempt.Err, os.ErrDeadlineExceeded) || errors.Is(attempt.Err, context.DeadlineExceeded) || attempt.Status == http.StatusGatewayTimeout
	if timedOut && attempt.Duration < target {
		return rollout.Sample{}, false
	}
	sample.Attempts = 1
	switch {
	case attempt.Outcome != upstream.OutcomeAnswered,
		attempt.Status >= 500,
		attempt.Status < 300 && attempt.Stamp == "":
		sample.Failures = 1
	case !attempt.WarmingUp && attempt.Duration > 0:
		logMs := math.Log(float64(attempt.Duration) / float64(time.Millisecond))
		sample.Timed, sample.LogLatency, sample.LogLatencySquared = 1, logMs, logMs*logMs
	}
	return sample, true
}

// evaluate runs the control charts over what this node counted since the last
// call, and halts a rollout here whose new version is found bad. It runs on loop.
func (f *rolloutFollower) evaluate(entries []rollout.Entry) {
	now := f.host.Now()
	byOrder := rollout.GroupByOrder(entries)
	for service, r := range *f.observed.Load() {
		evaluator := f.evaluators[r.order]
		if evaluator == nil {
			evaluator = rollout.NewEvaluator(f.options, r.duration, now)
			f.evaluators[r.order] = evaluator
		}
		evaluator.UnderLoad = f.orders[service].Phase != consensus.PhaseCanary
		evaluator.Add(byOrder[r.order])
		evaluator.Step(now)
		if reason := evaluator.Finding(); reason != "" && !f.halted[r.order] {
			f.halted[r.order] = true
			events.Log(events.CanaryHalted, "service", service, "version", r.target, "why", reason)
			f.applyTrafficSplits()
			f.layouts.publish()
		}
	}
}

// evidence returns what this node has counted of each running order since it
// began, and whether its charts signal against any. It runs on loop.
func (f *rolloutFollower) evidence() (evidence []rollout.FrontEvidence, alarm bool) {
	for order, evaluator := range f.evaluators {
		if evaluator.NewAttempts+evaluator.OldAttempts == 0 {
			continue
		}
		halted := f.halted[order]
		evidence = append(evidence, rollout.FrontEvidence{OrderSlot: order, New: evaluator.NewAttempts, Good: evaluator.GoodAnswers, Old: evaluator.OldAttempts, Alarm: halted})
		alarm = alarm || halted
	}
	return evidence, alarm
}
