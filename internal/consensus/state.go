package consensus

import "slices"

// NoSlot is the slot of a node that knows no state at all. It is below that of
// the genesis state, which is 0.
const NoSlot = -1

// State is the result of all decided slots. It is a value: Apply and ApplyDelta
// give a new one and never change the slices of the old one in place.
type State struct {
	// Slot is the last decided slot; the open one follows it.
	Slot   int64   `json:"Slot"`
	Voters []Voter `json:"Voters"`
	// VotersSlot is the slot that decided Voters.
	VotersSlot int64 `json:"VotersSlot,omitempty"`
	// Version and Body are the configuration in force.
	Version int64  `json:"Version"`
	Body    string `json:"Body,omitempty"`
	// AppliedCount counts the configuration changes that took effect;
	// AppliedChanges holds the newest of them, oldest first.
	AppliedCount   int64           `json:"TakenSeq,omitempty"`
	AppliedChanges []AppliedChange `json:"Taken,omitempty"`
	// PurgeSeq is the number of the last purge; Purges holds the newest ones,
	// oldest first.
	PurgeSeq   int64       `json:"PurgeSeq,omitempty"`
	Purges     []Purge     `json:"Purges,omitempty"`
	CacheNodes []CacheNode `json:"Larders,omitempty"`
	// Rollouts holds each service's last order; the one changed last is at the end.
	Rollouts []Rollout `json:"Rollouts,omitempty"`
	// PastOrders holds the last few orders of each service, oldest first, as
	// far as they are not retired.
	PastOrders []PastOrder `json:"Ordered,omitempty"`
	// RetiredOrderSlot is the slot up to which orders are retired: no copy of
	// one that was decided by then can be under way any more.
	RetiredOrderSlot int64 `json:"OrdersRetired,omitempty"`
}

// Genesis is the state before the first slot, with the nodes at those
// addresses as voters.
func Genesis(ips []string) State {
	var s State
	for _, ip := range ips {
		s.Voters = append(s.Voters, Voter{ID: GenesisID(ip), IP: ip})
	}
	return s
}

// GenesisID is the identity of a node at the first start of the whole system,
// before any identity was drawn.
func GenesisID(ip string) string { return "first-" + ip }

// Quorum is the least number of voters that is a majority.
func (s State) Quorum() int { return len(s.Voters)/2 + 1 }

// IsVoter reports whether id is among the voters.
func (s State) IsVoter(id string) bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}

// Apply returns the state after the next slot decided v.
func (s State) Apply(v Value) State {
	s.Slot++
	switch {
	case len(v.Voters) > 0:
		s.Voters, s.VotersSlot = v.Voters, s.Slot
	case v.Rollout != nil:
		s.retireOrders(v.RetiredOrderSlot)
		s.applyRollout(*v.Rollout)
	case len(v.CacheNodes) > 0 || v.NoCacheNodes:
		s.CacheNodes = v.CacheNodes
	case len(v.Purges) > 0:
		s.applyPurges(v.Purges)
	case v.RetiredOrderSlot > 0:
		s.retireOrders(v.RetiredOrderSlot)
	default:
		s.applyChange(v)
	}
	return s
}
