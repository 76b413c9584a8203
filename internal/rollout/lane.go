package rollout

import (
	"time"

	"swiftswitch/internal/consensus"
)

// TrafficSplit says to which versions of a service's searchers a node's requests may
// go. It is never changed.
type TrafficSplit struct {
	FromVersion, TargetVersion string
	Phase                      consensus.Phase
	// CanaryShare of the requests goes to Target in the canary phase, Trial of them
	// until TrialUntil in the trial.
	CanaryShare, TrialShare float64
	TrialUntil              time.Duration
	// Halted: this node's own charts speak against the target.
	Halted bool
}

// VersionChoice is where one request may go: Once to the canary, where that is set, and
// from then on to Then; Else only where Then has nobody who can be asked.
// Empty versions in Then mean any.
type VersionChoice struct {
	Canary, Primary, Fallback string
}

// Route draws where a request goes. now is steady time, heard how long ago a
// hut in touch with a majority answered, and deaf how long that may be: a
// node that does not hear of a decision keeps to the old version. coin is
// drawn from [0, 1) for each request, so the shares of all nodes add up to
// the share whatever they know of each other.
func (l *TrafficSplit) Route(now, heard, deaf time.Duration, coin float64) VersionChoice {
	if l == nil {
		return VersionChoice{}
	}
	listens := heard < deaf
	switch l.Phase {
	case consensus.PhaseCompleted:
		return VersionChoice{Primary: l.TargetVersion}
	case consensus.PhasePromote:
		if heard < 2*deaf {
			return VersionChoice{Primary: l.TargetVersion, Fallback: l.FromVersion}
		}
		return VersionChoice{Primary: l.FromVersion, Fallback: l.TargetVersion}
	case consensus.PhaseCanary, consensus.PhaseTrial:
		share := l.CanaryShare
		if l.Phase == consensus.PhaseTrial && now < l.TrialUntil {
			share = l.TrialShare
		}
		if listens && !l.Halted && coin < share {
			return VersionChoice{Canary: l.TargetVersion, Primary: l.FromVersion}
		}
	}
	return VersionChoice{Primary: l.FromVersion}
}

// Settled tells that the way rests on no clock and no coin.
func (l *TrafficSplit) Settled() bool {
	return l.Phase == "" || l.Phase == consensus.PhaseCompleted || l.Phase == consensus.PhaseRolledBack
}

// Versions lists those that may hold slots, the one in force first.
func (l *TrafficSplit) Versions() []string {
	switch {
	case l == nil:
		return nil
	case l.Phase == consensus.PhaseCompleted:
		return []string{l.TargetVersion}
	case l.Phase == consensus.PhasePromote:
		return []string{l.TargetVersion, l.FromVersion}
	case l.Phase == consensus.PhaseCanary || l.Phase == consensus.PhaseTrial:
		return []string{l.FromVersion, l.TargetVersion}
	}
	return []string{l.FromVersion}
}
