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
	// Spent of the term is over; Since is how long this node has known the phase.
	Spent, Since time.Duration
	// Bad tells what the charts found against the new version.
	Bad string
	// Rate is the requests a second for the service, New and Good how many
	// tries of the new version were seen and were no failures.
	Rate      float64
	New, Good int64
	// Evidence is what the fronts have counted since the order began.
	Evidence Evidence
	// Successor: this node acquired the lease so lately that not all fronts
	// may have reported to it.
	Successor bool
	// Ready and Old count the slots of the new version's searchers that are
	// warm, and those of the old version's.
	Ready, Old int
	// Behind counts nodes that were heard lately and do not hold the phase.
	Behind int
	// Report is how long what a node sees takes to be judged; Settle bounds the wait for nodes.
	Report, Settle time.Duration
}

// Step is what is to be decided next; an empty phase means nothing.
type Step struct {
	Phase consensus.Phase
	For   time.Duration
	Why   string
}

// last is the part of the term after which nothing new is begun.
const last = 0.95

// Decide gives the next phase of a rollout.
func Decide(f Facts, o Options, e Exposure) Step {
	term := time.Duration(f.Rollout.DurationMs) * time.Millisecond
	phase := f.Rollout.Phase
	switch {
	case !f.Rollout.Running():
		return Step{}
	case f.Bad != "":
		return Step{Phase: consensus.PhaseRolledBack, Why: f.Bad}
	case f.Evidence.MajorityAlarm() && !f.Successor:
		return Step{Phase: consensus.PhaseRolledBack, Why: "the charts of most fronts"}
	case phase == consensus.PhaseCanary && f.Spent >= time.Duration(last*float64(term)) && f.Evidence.Insufficient(o.CanaryShare(e)):
		return Step{Phase: consensus.PhaseRolledBack, Why: "too few good answers by its term"}
	case phase != consensus.PhasePromote && f.Spent >= time.Duration(last*float64(term)):
		return Step{Phase: consensus.PhaseRolledBack, Why: "not found good by its term"}
	}
	switch phase {
	case consensus.PhaseCanary:
		if f.Spent < time.Duration(o.TrialAfter*float64(term)) || 2*f.Ready < f.Old || f.Ready == 0 {
			return Step{}
		}
		if f.Successor || f.Evidence.Insufficient(o.CanaryShare(e)) {
			return Step{}
		}
		return Step{Phase: consensus.PhaseTrial, For: o.trialFor(f, term, e), Why: "nothing found against it"}
	case consensus.PhaseTrial:
		if f.Since < time.Duration(f.Rollout.TrialMs)*time.Millisecond+f.Report || f.Ready == 0 || f.Successor {
			return Step{}
		}
		// Where requests come, some of the new version's must have been answered.
		if seen := f.Rate * f.Since.Seconds(); seen >= 8 && f.Good == 0 {
			return Step{}
		}
		return Step{Phase: consensus.PhasePromote, Why: "nothing found against it under load"}
	case consensus.PhasePromote:
		if f.Since >= f.Report && f.Behind == 0 || f.Since >= f.Settle {
			return Step{Phase: consensus.PhaseCompleted}
		}
	}
	return Step{}
}

// trialFor is how long the trial may last: as long as what it brings and what
// the canary brings over the whole term keep within the exposure that is used.
func (o Options) trialFor(f Facts, term time.Duration, e Exposure) time.Duration {
	rate := max(f.Rate, 0.01)
	whole := o.MaxExposureUse * (e.Share*rate*term.Seconds() + e.Slack)
	canary := o.CanaryShare(e) * rate * term.Seconds()
	s := (whole - canary) / (rate * o.TrialShare)
	return time.Duration(math.Max(0, math.Min(s, 0.15*term.Seconds())) * float64(time.Second))
}

// CanaryShare is the share of the requests that goes to the new version at first.
func (o Options) CanaryShare(e Exposure) float64 { return o.CanaryRatio * e.Share }

// Clock keeps how much of each order's term is over. It goes by steady time;
// over a restart it takes whichever is more, what was last noted or what the
// time of day says, so no step of a clock gives an order more time.
type Clock struct {
	at map[int64]mark
}

type mark struct{ spent, since time.Duration }

// Noted is a clock as it is kept on disk and told to others: milliseconds spent by order.
type Noted struct {
	Spent map[int64]int64 `json:"Spent"`
	// WallMs is the time of day at which it was noted.
	WallMs int64 `json:"WallMs,omitempty"`
}

// NewClock goes on from what was noted; wall is the time of day now.
func NewClock(n Noted, wall time.Time, now time.Duration) *Clock {
	c := &Clock{at: map[int64]mark{}}
	passed := max(0, wall.UnixMilli()-n.WallMs)
	if n.WallMs == 0 {
		passed = 0
	}
	for order, ms := range n.Spent {
		c.at[order] = mark{time.Duration(ms+passed) * time.Millisecond, now}
	}
	return c
}

// Spent is how much of an order's term is over.
func (c *Clock) Spent(order int64, now time.Duration) time.Duration {
	m, ok := c.at[order]
	if !ok {
		return 0
	}
	return m.spent + now - m.since
}

// Hear takes that at least so much is over; the first word of an order starts its time.
func (c *Clock) Hear(order int64, spent, now time.Duration) {
	if m, ok := c.at[order]; !ok || m.spent+now-m.since < spent {
		c.at[order] = mark{spent, now}
	}
}

// Note gives what is to be kept and told, and forgets orders that no longer run.
func (c *Clock) Note(runs func(order int64) bool, wall time.Time, now time.Duration) Noted {
	n := Noted{Spent: map[int64]int64{}, WallMs: wall.UnixMilli()}
	for order := range c.at {
		if !runs(order) {
			delete(c.at, order)
			continue
		}
		n.Spent[order] = c.Spent(order, now).Milliseconds()
	}
	return n
}
