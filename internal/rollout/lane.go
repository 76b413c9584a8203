package rollout

import (
	"time"

	"swiftswitch/internal/consensus"
)

// Lane says to which versions of a service's searchers a node's requests may
// go. It is never changed.
type Lane struct {
	From, Target string
	Phase        consensus.Phase
	// Share of the requests goes to Target in the canary phase, Trial of them
	// until TrialUntil in the trial.
	Share, Trial float64
	TrialUntil   time.Duration
	// Halted: this node's own charts speak against the target.
	Halted bool
}

// Way is where one request may go: Once to the canary, where that is set, and
// from then on to Then; Else only where Then has nobody who can be asked.
// Empty versions in Then mean any.
type Way struct {
	Once, Then, Else string
}

// Way draws where a request goes. now is steady time, heard how long ago a
// hut in touch with a majority answered, and deaf how long that may be: a
// node that does not hear of a decision keeps to the old version. coin is
// drawn from [0, 1) for each request, so the shares of all nodes add up to
// the share whatever they know of each other.
func (l *Lane) Way(now, heard, deaf time.Duration, coin float64) Way {
	if l == nil {
		return Way{}
	}
	listens := heard < deaf
	switch l.Phase {
	case consensus.PhaseCompleted:
		return Way{Then: l.Target}
	case consensus.PhasePromote:
		if heard < 2*deaf {
			return Way{Then: l.Target, Else: l.From}
		}
		return Way{Then: l.From, Else: l.Target}
	case consensus.PhaseCanary, consensus.PhaseTrial:
		share := l.Share
		if l.Phase == consensus.PhaseTrial && now < l.TrialUntil {
			share = l.Trial
		}
		if listens && !l.Halted && coin < share {
			return Way{Once: l.Target, Then: l.From}
		}
	}
	return Way{Then: l.From}
}

// Settled tells that the way rests on no clock and no coin.
func (l *Lane) Settled() bool {
	return l.Phase == "" || l.Phase == consensus.PhaseCompleted || l.Phase == consensus.PhaseRolledBack
}

// Versions lists those that may hold slots, the one in force first.
func (l *Lane) Versions() []string {
	switch {
	case l == nil:
		return nil
	case l.Phase == consensus.PhaseCompleted:
		return []string{l.Target}
	case l.Phase == consensus.PhasePromote:
		return []string{l.Target, l.From}
	case l.Phase == consensus.PhaseCanary || l.Phase == consensus.PhaseTrial:
		return []string{l.From, l.Target}
	}
	return []string{l.From}
}
