package lease

import "slices"

// changeVoters proposes another set of voters, or drives the open proposal on.
func (m *simulation) changeVoters() {
	last := m.chosen[len(m.chosen)-1]
	if m.proposal == nil {
		voters := m.nextVoters(last)
		if voters == nil {
			return
		}
		m.proposal = &voterSet{last.slot + 1, voters}
		clear(m.acceptedBy)
		m.logf("voters %v are proposed for slot %d", m.proposal.voters, m.proposal.slot)
	}
	proposal := m.proposal
	for _, id := range last.voters {
		m.schedule(m.delay(), nobody, func() { m.accept(id, proposal, last) })
	}
}

// nextVoters replaces one voter by a node that has no vote: one whose identity
// is gone, or else any. It returns nil where no such node runs.
func (m *simulation) nextVoters(last voterSet) []string {
	// The last voter whose identity is gone, or else the first.
	replaced := 0
	for k, id := range last.voters {
		if m.identityGone(id) {
			replaced = k
		}
	}
	var newcomers []int
	for i, n := range m.nodes {
		if n.running && !slices.Contains(last.voters, n.disk.id) {
			newcomers = append(newcomers, i)
		}
	}
	if len(newcomers) == 0 {
		return nil
	}
	voters := slices.Clone(last.voters)
	if !m.identityGone(voters[replaced]) {
		replaced = m.rand.IntN(len(voters))
	}
	voters[replaced] = m.nodes[newcomers[m.rand.IntN(len(newcomers))]].disk.id
	slices.Sort(voters)
	return voters
}

// identityGone tells whether the node of that identity lost its disk.
func (m *simulation) identityGone(id string) bool { return m.nodes[m.nodeOf[id]].disk.id != id }

// accept lets a voter of the last set accept the proposal; once a majority
// has, it is chosen.
func (m *simulation) accept(id string, proposal *voterSet, last voterSet) {
	i := m.nodeOf[id]
	n := m.nodes[i]
	reachable := n.running && m.now >= n.pausedUntil && n.disk.id == id && !m.partitioned[i]
	if m.proposal != proposal || !reachable || n.voterSet.slot != last.slot {
		return
	}
	n.disk.accepted = proposal
	m.acceptedBy[id] = true
	m.logf("%s accepts the voters for slot %d", id, proposal.slot)
	if len(m.acceptedBy) > len(last.voters)/2 {
		m.chosen, m.proposal = append(m.chosen, *proposal), nil
		m.logf("the voters for slot %d are chosen", proposal.slot)
		m.learnVoters(i, *proposal)
	}
}
