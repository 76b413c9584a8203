package consensus

import "slices"

// mayLoseDisk reports whether a node may lose its disk, which is allowed once
// the repair after the loss before is finished. That is so once a majority of
// the newest voters holds, on disk, the state that made them voters, and each
// of them its own disk: with fewer, the next loss can take the only record of
// who votes now. Beside, nothing that may still be chosen for the open slot
// may make a lost disk a voter: no call for its admission is under way, and a
// ballot begun for it is overtaken. Any change or read that decides the open
// slot or a later one sees to that.
func (m *model) mayLoseDisk(node int) bool {
	if m.nodes[node].disk.id == "" {
		return false
	}
	newest := m.newest()
	repaired := 0
	for _, v := range newest.Voters {
		n := &m.nodes[nodeOf(v)]
		if n.disk.id != v.ID {
			return false
		}
		if m.holdsMembership(n, newest.VotersSlot) {
			repaired++
		}
	}
	return repaired > len(newest.Voters)/2 && (m.fault == faultRepairPending || !m.proposesLostDisk())
}

// holdsMembership reports whether a node holds the state that made it a voter,
// on disk unless a fault counts less than that.
func (m *model) holdsMembership(n *modelNode, votersSlot int64) bool {
	switch m.fault {
	case faultRepairUnreplicated:
		return true
	case faultRepairInMemory:
		if n.acceptor.State.Slot >= votersSlot {
			return true
		}
	}
	return len(n.disk.state.Voters) > 0 && n.disk.state.Slot >= votersSlot
}

// proposesLostDisk reports whether a proposal for the open slot, or a call that
// may lead to one, names a lost disk as a voter.
func (m *model) proposesLostDisk() bool {
	newest := m.newest()
	for _, c := range m.calls {
		if c == nil {
			continue
		}
		if c.kind == callAdmit && c.open() && c.caughtUpTo >= newest.VotersSlot && m.isLost(c.newcomer) {
			return true
		}
		for _, a := range c.attempts {
			if a.base.Slot == newest.Slot && m.attemptNamesLostDisk(a) {
				return true
			}
		}
	}
	return false
}

func (m *model) attemptNamesLostDisk(a *modelAttempt) bool {
	names := func(v *Value) bool { return v != nil && slices.ContainsFunc(v.Voters, m.isLost) }
	return a.proposer != nil && names(a.proposer.ownValue) ||
		a.requests[phaseAccept] != nil && names(a.requests[phaseAccept].Value)
}

// isLost reports whether the disk of that voter is gone.
func (m *model) isLost(v Voter) bool { return m.nodes[nodeOf(v)].disk.id != v.ID }
