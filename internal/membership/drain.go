package membership

// DrainProgress is how far a draining node has handed over what it holds.
type DrainProgress struct {
	// ProposalPending reports whether the node accepted a value whose outcome it
	// does not know.
	ProposalPending bool
	// IsVoter reports whether the node is a voter, and StandbyAvailable whether a
	// node that stays could take its place.
	IsVoter          bool
	StandbyAvailable bool
	// StayingNodes is how many other nodes stay; of these, StateReplicas have
	// this node's agreed state and TableReplicas its table.
	StateReplicas int
	TableReplicas int
	StayingNodes  int
	// ToleratedFailures is how many nodes may fail without loss of data.
	ToleratedFailures int
}

// Replicated reports whether the state and the table are on enough nodes that stay.
func (p DrainProgress) Replicated() bool {
	required := min(p.ToleratedFailures+1, p.StayingNodes)
	return p.StateReplicas >= required && p.TableReplicas >= required
}

// Complete reports whether everything that the node holds is on enough nodes
// that stay, and its vote passed on.
func (p DrainProgress) Complete() bool {
	votePassedOn := !p.IsVoter || !p.StandbyAvailable
	return p.Replicated() && votePassedOn && !p.ProposalPending
}
