package front

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"swiftswitch/internal/nodeapi"
	"sync/atomic"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/upstream"
)

// The front's part of rollouts: it follows the phases that the log decides,
// keeps to its share of a new version, counts what it sees of both versions
// and tells the hut that it watches first.

// rolloutFollower is what a front knows of rollouts. All but watches and tally belongs
// to the trail's desk.
type rolloutFollower struct {
	orders map[string]consensus.Rollout
	splits map[string]*rollout.TrafficSplit
	// trialUntil is when a trial ends here, by order.
	trialUntil map[int64]time.Duration
	halted     map[int64]bool
	// observed are the services with a rollout under way.
	observed atomic.Pointer[map[string]observedRollout]
	recorder rollout.Recorder
	// unsent holds what was charted here and what no control node has taken yet.
	unsent      rollout.Recorder
	evaluators  map[int64]*rollout.Evaluator
	incarnation int64
	sequence    int64
}

// observedRollout is a service of which both versions are counted.
type observedRollout struct {
	order        int64
	from, target string
	// aggregateEndpoints: the new version has too many searchers to tell each apart.
	aggregateEndpoints bool
	term               time.Duration
}

func (s *rolloutFollower) reset() {
	s.orders, s.trialUntil, s.halted, s.evaluators = map[string]consensus.Rollout{}, map[int64]time.Duration{}, map[int64]bool{}, map[int64]*rollout.Evaluator{}
	s.incarnation = rand.Int64()
}

// clock tells steady time and how long no hut in touch with a majority has answered.
func (t *Server) clock() (now, heard time.Duration) {
	now = t.host.Now()
	return now, now - time.Duration(t.majorityHeardAt.Load())
}

// onRollouts takes what a hut tells of the orders; it runs on the desk.
func (t *Server) onRollouts(say nodeapi.WatchResponse) {
	if say.RolloutSlot <= t.progress.Load().rolloutSlot {
		return
	}
	now := t.host.Now()
	for _, r := range say.Rollouts {
		old := t.rollouts.orders[r.Service]
		if r.Slot <= old.Slot {
			continue
		}
		t.rollouts.orders[r.Service] = r
		if r.Phase == consensus.PhaseTrial && now > t.host.Heartbeats(4) {
			// One that has just started does not know how much of it is over.
			t.rollouts.trialUntil[r.OrderSlot] = now + time.Duration(r.TrialMs)*time.Millisecond
		}
	}
	first := t.progress.Load().rolloutSlot < 0
	t.updateProgress(func(h *progress) { h.rolloutSlot = say.RolloutSlot })
	if first || len(say.Rollouts) > 0 {
		t.applyTrafficSplits()
		t.advanceLayouts()
		t.publish()
	}
}

// applyTrafficSplits works out where requests may go; it runs on the desk.
func (t *Server) applyTrafficSplits() {
	lanes, versions, watches := map[string]*rollout.TrafficSplit{}, map[string][]string{}, map[string]observedRollout{}
	if t.table != nil {
		for service, first := range t.table.InitialVersions {
			lanes[service] = &rollout.TrafficSplit{FromVersion: first}
		}
	}
	o, e := t.options.Rollout, t.host.RolloutExposure()
	for service, r := range t.rollouts.orders {
		l := &rollout.TrafficSplit{FromVersion: r.FromVersion, TargetVersion: r.TargetVersion, Phase: r.Phase, CanaryShare: o.CanaryShare(e), TrialShare: o.TrialShare, TrialUntil: t.rollouts.trialUntil[r.OrderSlot], Halted: t.rollouts.halted[r.OrderSlot]}
		if l.FromVersion == "" && lanes[service] != nil {
			l.FromVersion = lanes[service].FromVersion
		}
		lanes[service] = l
		if r.Running() {
			watches[service] = observedRollout{r.OrderSlot, l.FromVersion, r.TargetVersion, t.countEndpoints(service, r.TargetVersion) > maxTrackedEndpoints, time.Duration(r.DurationMs) * time.Millisecond}
		}
	}
	for service, l := range lanes {
		versions[service] = l.Versions()
	}
	t.rollouts.splits = lanes
	t.rollouts.observed.Store(&watches)
	t.layouts.SetVersions(versions, t.host.Now())
	runs := map[int64]bool{}
	for _, w := range watches {
		runs[w.order] = true
	}
	gone := func(order int64) bool { return !runs[order] }
	maps.DeleteFunc(t.rollouts.trialUntil, func(order int64, _ time.Duration) bool { return gone(order) })
	maps.DeleteFunc(t.rollouts.halted, func(order int64, _ bool) bool { return gone(order) })
	maps.DeleteFunc(t.rollouts.evaluators, func(order int64, _ *rollout.Evaluator) bool { return gone(order) })
}

// maxTrackedEndpoints is how many searchers of a new version are told apart one by one.
const maxTrackedEndpoints = 8

func (t *Server) countEndpoints(service, version string) (n int) {
	if t.table == nil {
		return 0
	}
	for _, s := range t.table.Endpoints {
		if s.Service == service && s.Version == version && !s.Draining {
			n++
		}
	}
	return n
}

// PickEndpoint picks a searcher for a request of this node's own, as its lane allows.
func (t *Server) PickEndpoint(service string, aim time.Duration) (*upstream.Endpoint, time.Time) {
	var l *rollout.TrafficSplit
	if s := t.frontend.Snapshot(); s != nil {
		l = s.TrafficSplits[service]
	}
	now, heard := t.clock()
	w := l.Route(now, heard, t.host.MajorityTimeout(), rand.Float64())
	for i, version := range []string{w.Canary, w.Primary, w.Fallback} {
		if version == "" && i != 1 {
			continue
		}
		if p, start := t.endpoints.Pick(upstream.Selector{Service: service, Version: version}, nil, aim, false); p != nil {
			return p, start
		}
	}
	return nil, time.Now()
}

// recordAttempt counts a try at a service with a rollout under way.
func (t *Server) recordAttempt(p *upstream.Endpoint, r *upstream.Request, o *upstream.Attempt) {
	ws := t.rollouts.observed.Load()
	if ws == nil {
		return
	}
	w, ok := (*ws)[p.Service]
	if !ok || p.Version != w.from && p.Version != w.target {
		return
	}
	c := rollout.Cell{OrderSlot: w.order, Target: p.Version == w.target, Route: r.Route, Distance: p.Distance()}
	if c.Target {
		if c.Endpoint = p.Ordinal; w.aggregateEndpoints {
			c.Endpoint = p.Ordinal % maxTrackedEndpoints
		}
	}
	if s, ok := attemptSample(o, r.LatencyTarget); ok {
		t.rollouts.recorder.Record(c, s)
	}
}

// attemptSample is what one try tells of a version. A try that had less time than the
// aim tells nothing by its end.
func attemptSample(o *upstream.Attempt, aim time.Duration) (rollout.Sample, bool) {
	late := errors.Is(o.Err, os.ErrDeadlineExceeded) || errors.Is(o.Err, context.DeadlineExceeded) || o.Status == 504
	if late && o.Duration < aim {
		return rollout.Sample{}, false
	}
	s := rollout.Sample{Attempts: 1}
	switch {
	case o.Outcome != upstream.OutcomeAnswered || o.Status >= 500 || o.Status < 300 && o.Stamp == "":
		s.Failures = 1
	case !o.WarmingUp && o.Duration > 0:
		x := math.Log(float64(o.Duration) / float64(time.Millisecond))
		s.Timed, s.LogLatency, s.LogLatencySquared = 1, x, x*x
	}
	return s, true
}

// reportLoop tells the hut watched first what was seen, and judges it here as well.
func (t *Server) reportLoop() {
	for {
		select {
		case <-t.host.Stopping:
			return
		case <-time.After(time.Duration(float64(t.host.Heartbeats(0.15)) * (0.8 + 0.4*rand.Float64()))):
		}
		if ws := t.rollouts.observed.Load(); ws == nil || len(*ws) == 0 {
			continue
		}
		entries := t.rollouts.recorder.Drain()
		to, m := "", nodeapi.RolloutReport{Name: t.host.Settings().NodeName, Incarnation: t.rollouts.incarnation, Entries: append(t.rollouts.unsent.Drain(), entries...)}
		alarm := false
		t.loop.Call(func() {
			if len(entries) > 0 {
				t.evaluate(entries)
			}
			m.Evidence, alarm = t.evidence()
			t.rollouts.sequence++
			m.Seq = t.rollouts.sequence
			if len(t.watchTargets) > 0 {
				to = t.watchTargets[0]
			}
		})
		if len(m.Entries) == 0 && !alarm {
			continue
		}
		if to == "" || t.host.Client.CallJSON(t.host.Settings().InternalAddress(to), nodeapi.PathRolloutReport, m, nil, t.host.Heartbeats(0.5)) != nil {
			// It goes with the next, to whoever is watched first by then.
			for _, e := range m.Entries {
				t.rollouts.unsent.Record(e.Cell, e.Sample)
			}
		}
	}
}

// evidence lists what this node has counted of the orders that run, and tells
// whether its charts signal against any. It runs on the server's loop.
func (t *Server) evidence() (out []rollout.FrontEvidence, alarm bool) {
	for order, evaluator := range t.rollouts.evaluators {
		if evaluator.NewAttempts+evaluator.OldAttempts == 0 {
			continue
		}
		halted := t.rollouts.halted[order]
		out = append(out, rollout.FrontEvidence{OrderSlot: order, New: evaluator.NewAttempts, Good: evaluator.GoodAnswers, Old: evaluator.OldAttempts, Alarm: halted})
		alarm = alarm || halted
	}
	return out, alarm
}

// evaluate runs the charts over what this node saw itself; it runs on the desk.
func (t *Server) evaluate(entries []rollout.Entry) {
	now := t.host.Now()
	byOrder := rollout.GroupByOrder(entries)
	for service, w := range *t.rollouts.observed.Load() {
		j := t.rollouts.evaluators[w.order]
		if j == nil {
			j = rollout.NewEvaluator(t.options.Rollout, w.term, now)
			t.rollouts.evaluators[w.order] = j
		}
		j.UnderLoad = t.rollouts.orders[service].Phase != consensus.PhaseCanary
		j.Add(byOrder[w.order])
		j.Step(now)
		if j.Finding() != "" && !t.rollouts.halted[w.order] {
			t.rollouts.halted[w.order] = true
			events.Log(events.CanaryHalted, "service", service, "version", w.target, "why", j.Finding())
			t.applyTrafficSplits()
			t.publish()
		}
	}
}
