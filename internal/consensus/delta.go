package consensus

import "slices"

// StateDelta is what a node whose state is at FromSlot lacks of the state at
// Slot. It is a difference of two snapshots: nothing in it is larger than what
// the state itself holds, however many slots lie between, and it fits any
// state from FromSlot on. A delta from NoSlot is the whole state.
type StateDelta struct {
	FromSlot int64 `json:"From"`
	Slot     int64 `json:"Slot"`
	// Voters are set where they changed after FromSlot.
	Voters     []Voter `json:"Voters,omitempty"`
	VotersSlot int64   `json:"VotersSlot,omitempty"`
	// Version and Body are set where they changed after FromSlot.
	Version int64  `json:"Version,omitempty"`
	Body    string `json:"Body,omitempty"`
	// AppliedChanges, Purges, Rollouts and PastOrders are those decided after
	// FromSlot, as far as the state remembers them; AppliedCount and PurgeSeq
	// are those of the state.
	AppliedCount   int64           `json:"TakenSeq,omitempty"`
	AppliedChanges []AppliedChange `json:"Taken,omitempty"`
	PurgeSeq       int64           `json:"PurgeSeq,omitempty"`
	Purges         []Purge         `json:"Purges,omitempty"`
	// CacheNodes are few and always all there.
	CacheNodes []CacheNode `json:"Larders,omitempty"`
	Rollouts   []Rollout   `json:"Rollouts,omitempty"`
	PastOrders []PastOrder `json:"Ordered,omitempty"`
	// RetiredOrderSlot is that of the state.
	RetiredOrderSlot int64 `json:"OrdersRetired,omitempty"`
}

// decidedItem is an item of a list in the order of the slots that decided them.
type decidedItem interface{ decidedIn() int64 }

func (c AppliedChange) decidedIn() int64 { return c.Slot }
func (p Purge) decidedIn() int64         { return p.Slot }
func (o PastOrder) decidedIn() int64     { return o.Slot }

// itemsAfter returns the items that were decided after a slot.
func itemsAfter[T decidedItem](items []T, slot int64) []T {
	first := len(items)
	for first > 0 && items[first-1].decidedIn() > slot {
		first--
	}
	return items[first:]
}

// DeltaSince returns what a node at slot from lacks.
func (s State) DeltaSince(from int64) StateDelta {
	d := StateDelta{
		FromSlot:       from,
		Slot:           s.Slot,
		AppliedCount:   s.AppliedCount,
		AppliedChanges: itemsAfter(s.AppliedChanges, from),
		PurgeSeq:       s.PurgeSeq,
		Purges:         itemsAfter(s.Purges, from),
		CacheNodes:     s.CacheNodes,
		Rollouts:       s.RolloutsAfter(from),
		PastOrders:     itemsAfter(s.PastOrders, from),

		RetiredOrderSlot: s.RetiredOrderSlot,
	}
	if from == NoSlot || s.VotersSlot > from {
		d.Voters, d.VotersSlot = s.Voters, s.VotersSlot
	}
	if from == NoSlot || len(d.AppliedChanges) > 0 {
		d.Version, d.Body = s.Version, s.Body
	}
	return d
}

// ApplyDelta returns the later state. ok is false, and the state is s, where the
// delta is of no later slot, or from a later slot than that of s.
func (s State) ApplyDelta(d StateDelta) (later State, ok bool) {
	if d.FromSlot == NoSlot {
		return d.wholeState(), true
	}
	if len(s.Voters) == 0 || d.FromSlot > s.Slot || d.Slot <= s.Slot {
		return s, false
	}
	had := s.Slot
	s.Slot, s.CacheNodes = d.Slot, d.CacheNodes
	if d.VotersSlot > had {
		s.Voters, s.VotersSlot = d.Voters, d.VotersSlot
	}
	if more := itemsAfter(d.AppliedChanges, had); len(more) > 0 {
		s.Version, s.Body = d.Version, d.Body
		s.rememberChanges(more...)
	}
	s.AppliedCount = d.AppliedCount
	if more := itemsAfter(d.Purges, had); len(more) > 0 {
		s.Purges = newestPurges(slices.Concat(s.Purges, more))
	}
	s.PurgeSeq = d.PurgeSeq
	for _, r := range d.Rollouts {
		s.storeRollout(r)
	}
	for _, o := range itemsAfter(d.PastOrders, had) {
		s.rememberOrder(o)
	}
	s.retireOrders(d.RetiredOrderSlot)
	return s, true
}

// wholeState is the state that a delta from NoSlot holds.
func (d StateDelta) wholeState() State {
	return State{
		Slot:           d.Slot,
		Voters:         d.Voters,
		VotersSlot:     d.VotersSlot,
		Version:        d.Version,
		Body:           d.Body,
		AppliedCount:   d.AppliedCount,
		AppliedChanges: d.AppliedChanges,
		PurgeSeq:       d.PurgeSeq,
		Purges:         d.Purges,
		CacheNodes:     d.CacheNodes,
		Rollouts:       d.Rollouts,
		PastOrders:     d.PastOrders,

		RetiredOrderSlot: d.RetiredOrderSlot,
	}
}
