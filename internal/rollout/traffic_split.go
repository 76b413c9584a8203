package rollout

import (
	"time"

	"swiftswitch/internal/consensus"
)

// TrafficSplit says to which versions of a service's endpoints a node's
// requests may go. It is immutable; a nil split allows every version.
type TrafficSplit struct {
	FromVersion, TargetVersion string
	Phase                      consensus.Phase
	// CanaryShare of the requests goes to the target in the canary phase,
	// TrialShare of them until TrialUntil in the trial.
	CanaryShare, TrialShare float64
	TrialUntil              time.Duration
	// Halted: this node's own charts signal against the target.
	Halted bool
}

// VersionChoice is where one request may go: its first attempt to Canary,
// where that is set, all others to Primary, and to Fallback only where no
// endpoint of Primary can be asked. An empty Primary means any version.
type VersionChoice struct {
	Canary, Primary, Fallback string
}

// promoteTimeoutFactor, times the majority timeout, is how long a promoted
// version stays the first choice of a node that hears of no majority.
const promoteTimeoutFactor = 2

// ChooseVersion draws to which versions a request goes. silence is how long ago
// a control node in touch with a majority last answered, and majorityTimeout
// how long that may be: a node that may have missed a decision keeps to the old
// version, in the promote phase only after promoteTimeoutFactor times as long.
// draw is uniform in [0, 1) and drawn anew for each request, so that the target
// gets its share of all nodes' requests without any coordination.
func (s *TrafficSplit) ChooseVersion(now, silence, majorityTimeout time.Duration, draw float64) VersionChoice {
	if s == nil {
		return VersionChoice{}
	}
	switch s.Phase {
	case consensus.PhaseCompleted:
		return VersionChoice{Primary: s.TargetVersion}
	case consensus.PhasePromote:
		if silence < promoteTimeoutFactor*majorityTimeout {
			return VersionChoice{Primary: s.TargetVersion, Fallback: s.FromVersion}
		}
		return VersionChoice{Primary: s.FromVersion, Fallback: s.TargetVersion}
	case consensus.PhaseCanary, consensus.PhaseTrial:
		if silence < majorityTimeout && !s.Halted && draw < s.share(now) {
			return VersionChoice{Canary: s.TargetVersion, Primary: s.FromVersion}
		}
	}
	return VersionChoice{Primary: s.FromVersion}
}

// share is the target's share of the requests in the canary or trial phase.
func (s *TrafficSplit) share(now time.Duration) float64 {
	if s.Phase == consensus.PhaseTrial && now < s.TrialUntil {
		return s.TrialShare
	}
	return s.CanaryShare
}

// Settled reports whether ChooseVersion depends on neither time nor draw.
func (s *TrafficSplit) Settled() bool {
	return s.Phase == "" || s.Phase == consensus.PhaseCompleted || s.Phase == consensus.PhaseRolledBack
}

// Versions lists the versions whose endpoints may hold slots, the one in force first.
func (s *TrafficSplit) Versions() []string {
	switch {
	case s == nil:
		return nil
	case s.Phase == consensus.PhaseCompleted:
		return []string{s.TargetVersion}
	case s.Phase == consensus.PhasePromote:
		return []string{s.TargetVersion, s.FromVersion}
	case s.Phase == consensus.PhaseCanary || s.Phase == consensus.PhaseTrial:
		return []string{s.FromVersion, s.TargetVersion}
	}
	return []string{s.FromVersion}
}
