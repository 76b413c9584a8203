package consensus

import "slices"

// StateDelta is what a node at slot From lacks of a later State: a snapshot's
// difference. Nothing in it is larger than what the State itself holds,
// however many slots lie between, and it may be applied to any state from
// From on.
type StateDelta struct {
	FromSlot int64 `json:"From"`
	Slot     int64 `json:"Slot"`
	// Voters are set where they changed after From.
	Voters     []Voter `json:"Voters,omitempty"`
	VotersSlot int64   `json:"VotersSlot,omitempty"`
	// Version and Body are set where they changed after From.
	Version        int64           `json:"Version,omitempty"`
	Body           string          `json:"Body,omitempty"`
	AppliedCount   int64           `json:"TakenSeq,omitempty"`
	AppliedChanges []AppliedChange `json:"Taken,omitempty"`
	PurgeSeq       int64           `json:"PurgeSeq,omitempty"`
	Purges         []Purge         `json:"Purges,omitempty"`
	// CacheNodes are few and always whole.
	CacheNodes []CacheNode `json:"Larders,omitempty"`
	Rollouts   []Rollout   `json:"Rollouts,omitempty"`
	PastOrders []PastOrder `json:"Ordered,omitempty"`
}

// NoSlot is the slot of a node that knows of no state at all.
const NoSlot = -1

// itemsAfter cuts off the items up to a slot; they are in the order of their slots.
func itemsAfter[T any](all []T, slot int64, of func(T) int64) []T {
	at := len(all)
	for at > 0 && of(all[at-1]) > slot {
		at--
	}
	return all[at:]
}

func appliedChangeSlot(t AppliedChange) int64 { return t.Slot }
func purgeSlot(p Purge) int64                 { return p.Slot }

func pastOrderSlot(o PastOrder) int64 { return o.Slot }

// VersionAt is the version that was in force after a slot, as far as remembered; else 0.
func (s State) VersionAt(slot int64) int64 {
	if before := len(s.AppliedChanges) - len(itemsAfter(s.AppliedChanges, slot, appliedChangeSlot)); before > 0 {
		return s.AppliedChanges[before-1].Version
	}
	return 0
}

// DeltaSince gives what a node at slot from lacks.
func (s State) DeltaSince(from int64) StateDelta {
	n := StateDelta{FromSlot: from, Slot: s.Slot, AppliedCount: s.AppliedCount, PurgeSeq: s.PurgeSeq, CacheNodes: s.CacheNodes, Rollouts: s.RolloutsAfter(from)}
	if from == NoSlot || s.VotersSlot > from {
		n.Voters, n.VotersSlot = s.Voters, s.VotersSlot
	}
	n.AppliedChanges, n.Purges, n.PastOrders = itemsAfter(s.AppliedChanges, from, appliedChangeSlot), itemsAfter(s.Purges, from, purgeSlot), itemsAfter(s.PastOrders, from, pastOrderSlot)
	if len(n.AppliedChanges) > 0 || from == NoSlot {
		n.Version, n.Body = s.Version, s.Body
	}
	return n
}

// ApplyDelta gives the later state; ok is false where the news don't fit.
func (s State) ApplyDelta(n StateDelta) (State, bool) {
	if n.FromSlot == NoSlot {
		return State{
			Slot: n.Slot, Voters: n.Voters, VotersSlot: n.VotersSlot, Version: n.Version, Body: n.Body, AppliedCount: n.AppliedCount, AppliedChanges: n.AppliedChanges,
			PurgeSeq: n.PurgeSeq, Purges: n.Purges, CacheNodes: n.CacheNodes, Rollouts: n.Rollouts, PastOrders: n.PastOrders,
		}, true
	}
	if len(s.Voters) == 0 || n.FromSlot > s.Slot || n.Slot <= s.Slot {
		return s, false
	}
	was := s.Slot
	s.Slot, s.CacheNodes = n.Slot, n.CacheNodes
	if n.VotersSlot > was {
		s.Voters, s.VotersSlot = n.Voters, n.VotersSlot
	}
	if more := itemsAfter(n.AppliedChanges, was, appliedChangeSlot); len(more) > 0 {
		s.Version, s.Body = n.Version, n.Body
		s.rememberChanges(more...)
	}
	s.AppliedCount = n.AppliedCount
	if more := itemsAfter(n.Purges, was, purgeSlot); len(more) > 0 {
		all := slices.Concat(s.Purges, more)
		s.Purges = all[max(0, len(all)-maxPurges):]
	}
	s.PurgeSeq = n.PurgeSeq
	for _, r := range n.Rollouts {
		s.storeRollout(r)
	}
	for _, o := range itemsAfter(n.PastOrders, was, pastOrderSlot) {
		s.rememberOrder(Rollout{OrderSlot: o.Slot, Service: o.Service, TargetVersion: o.TargetVersion, DurationMs: o.DurationMs})
	}
	return s, true
}
