package membership

import (
	"slices"
	"time"

	"swiftswitch/internal/consensus"
)

// Contact is the evidence that another voter gave of what it knew.
type Contact struct {
	// At is a time, by this process's monotonic clock, before which the voter
	// did not say it: it may have said it later.
	At time.Duration
	// Slot is the last slot that may have been decided by what the voter knew,
	// which includes what it had accepted.
	Slot int64
}

// ConfirmedAt is the latest time at which a state was certainly the newest: a
// majority of its voters said since then that they had accepted nothing beyond
// it. contacts holds the evidence of the other voters, by ID; self has none, as
// it speaks for itself at now, unless selfPending, where it accepted a value for
// the next slot. ok is false where no majority said so.
func ConfirmedAt(state consensus.State, self string, selfPending bool, contacts map[string]Contact, now time.Duration) (at time.Duration, ok bool) {
	var said []time.Duration
	for _, v := range state.Voters {
		contact, known := contacts[v.ID]
		switch {
		case v.ID == self && !selfPending:
			said = append(said, now)
		case v.ID != self && known && contact.Slot <= state.Slot:
			said = append(said, contact.At)
		}
	}
	quorum := state.Quorum()
	if len(state.Voters) == 0 || len(said) < quorum {
		return 0, false
	}
	slices.Sort(said)
	return said[len(said)-quorum], true
}
