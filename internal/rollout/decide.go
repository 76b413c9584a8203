package rollout

import (
	"math"
	"time"

	"swiftswitch/internal/consensus"
)

// Exposure is what a bad version may get at most: a share of all requests and some more.
type Exposure struct {
	Share, Slack float64
}

// Facts are what a decision rests on.
type Facts struct {
	Rollout consensus.Rollout
	// Elapsed of the term is over; Since is how long this node has known the phase.
	Elapsed, PhaseAge time.Duration
	// Finding tells what the charts found against the new version.
	Finding string
	// RequestRate is the requests a second for the service, New and Good how many
	// tries of the new version were seen and were no failures.
	RequestRate      float64
	New, GoodAnswers int64
	// Evidence is what the fronts have counted since the order began.
	Evidence Evidence
	// Successor: this node acquired the lease so lately that not all fronts
	// may have reported to it.
	Successor bool
	// ReadySlots and Old count the slots of the new version's searchers that are
	// warm, and those of the old version's.
	ReadySlots, OldSlots int
	// LaggingNodes counts nodes that were heard lately and do not hold the phase.
	LaggingNodes int
	// ReportDelay is how long what a node sees takes to be judged; Settle bounds the wait for nodes.
	ReportDelay, SettleTimeout time.Duration
}

// Step is what is to be decided next; an empty phase means nothing.
type Step struct {
	Phase         consensus.Phase
	TrialDuration time.Duration
	Reason        string
}

// lastStartRatio is the part of the term after which nothing new is begun.
const lastStartRatio = 0.95

// Decide gives the next phase of a rollout.
func Decide(f Facts, o Options, e Exposure) Step {
	term := time.Duration(f.Rollout.DurationMs) * time.Millisecond
	phase := f.Rollout.Phase
	switch {
	case !f.Rollout.Running():
		return Step{}
	case f.Finding != "":
		return Step{Phase: consensus.PhaseRolledBack, Reason: f.Finding}
	case f.Evidence.MajorityAlarm() && !f.Successor:
		return Step{Phase: consensus.PhaseRolledBack, Reason: "the charts of most fronts"}
	case phase == consensus.PhaseCanary && f.Elapsed >= time.Duration(lastStartRatio*float64(term)) && f.Evidence.Insufficient(o.CanaryShare(e)):
		return Step{Phase: consensus.PhaseRolledBack, Reason: "too few good answers by its term"}
	case phase != consensus.PhasePromote && f.Elapsed >= time.Duration(lastStartRatio*float64(term)):
		return Step{Phase: consensus.PhaseRolledBack, Reason: "not found good by its term"}
	}
	switch phase {
	case consensus.PhaseCanary:
		if f.Elapsed < time.Duration(o.TrialAfter*float64(term)) || 2*f.ReadySlots < f.OldSlots || f.ReadySlots == 0 {
			return Step{}
		}
		if f.Successor || f.Evidence.Insufficient(o.CanaryShare(e)) {
			return Step{}
		}
		return Step{Phase: consensus.PhaseTrial, TrialDuration: o.trialFor(f, term, e), Reason: "nothing found against it"}
	case consensus.PhaseTrial:
		if f.PhaseAge < time.Duration(f.Rollout.TrialMs)*time.Millisecond+f.ReportDelay || f.ReadySlots == 0 || f.Successor {
			return Step{}
		}
		// Where requests come, some of the new version's must have been answered.
		if seen := f.RequestRate * f.PhaseAge.Seconds(); seen >= 8 && f.GoodAnswers == 0 {
			return Step{}
		}
		return Step{Phase: consensus.PhasePromote, Reason: "nothing found against it under load"}
	case consensus.PhasePromote:
		if f.PhaseAge >= f.ReportDelay && f.LaggingNodes == 0 || f.PhaseAge >= f.SettleTimeout {
			return Step{Phase: consensus.PhaseCompleted}
		}
	}
	return Step{}
}

// trialFor is how long the trial may last: as long as what it brings and what
// the canary brings over the whole term keep within the exposure that is used.
func (o Options) trialFor(f Facts, term time.Duration, e Exposure) time.Duration {
	rate := max(f.RequestRate, 0.01)
	whole := o.MaxExposureUse * (e.Share*rate*term.Seconds() + e.Slack)
	canary := o.CanaryShare(e) * rate * term.Seconds()
	s := (whole - canary) / (rate * o.TrialShare)
	return time.Duration(math.Max(0, math.Min(s, 0.15*term.Seconds())) * float64(time.Second))
}

// CanaryShare is the share of the requests that goes to the new version at first.
func (o Options) CanaryShare(e Exposure) float64 { return o.CanaryRatio * e.Share }

// TermClock keeps how much of each order's term is over. It goes by steady time;
// over a restart it takes whichever is more, what was last noted or what the
// time of day says, so no step of a clock gives an order more time.
type TermClock struct {
	elapsed map[int64]elapsedMark
}

type elapsedMark struct{ elapsed, at time.Duration }

// TermRecord is a clock as it is kept on disk and told to others: milliseconds spent by order.
type TermRecord struct {
	ElapsedMs map[int64]int64 `json:"Spent"`
	// WallMs is the time of day at which it was noted.
	WallMs int64 `json:"WallMs,omitempty"`
}

// NewTermClock goes on from what was noted; wall is the time of day now.
func NewTermClock(n TermRecord, wall time.Time, now time.Duration) *TermClock {
	c := &TermClock{elapsed: map[int64]elapsedMark{}}
	passed := max(0, wall.UnixMilli()-n.WallMs)
	if n.WallMs == 0 {
		passed = 0
	}
	for order, ms := range n.ElapsedMs {
		c.elapsed[order] = elapsedMark{time.Duration(ms+passed) * time.Millisecond, now}
	}
	return c
}

// Elapsed is how much of an order's term is over.
func (c *TermClock) Elapsed(order int64, now time.Duration) time.Duration {
	m, ok := c.elapsed[order]
	if !ok {
		return 0
	}
	return m.elapsed + now - m.at
}

// AtLeast takes that at least so much is over; the first word of an order starts its time.
func (c *TermClock) AtLeast(order int64, spent, now time.Duration) {
	if m, ok := c.elapsed[order]; !ok || m.elapsed+now-m.at < spent {
		c.elapsed[order] = elapsedMark{spent, now}
	}
}

// Record gives what is to be kept and told, and forgets orders that no longer run.
func (c *TermClock) Record(runs func(order int64) bool, wall time.Time, now time.Duration) TermRecord {
	n := TermRecord{ElapsedMs: map[int64]int64{}, WallMs: wall.UnixMilli()}
	for order := range c.elapsed {
		if !runs(order) {
			delete(c.elapsed, order)
			continue
		}
		n.ElapsedMs[order] = c.Elapsed(order, now).Milliseconds()
	}
	return n
}
