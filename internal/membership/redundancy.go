package membership

// Redundancy is on how many nodes a decided change is, when it is to be acknowledged.
type Redundancy struct {
	// Voters counts all voters, LeavingVoters those of them that drain.
	Voters        int
	LeavingVoters int
	// StandbyNodes counts the nodes that run, stay and have no vote.
	StandbyNodes int
	// DurableReplicas counts the voters that stay and are known to have the
	// change on a synced disk.
	DurableReplicas int
	// ToleratedFailures is how many nodes may fail without loss of data.
	ToleratedFailures int
	// JustStarted reports whether this node started a short while ago, so that
	// others may still come.
	JustStarted bool
}

// Sufficient reports whether the change may be acknowledged: whether it stays on
// a disk, however many nodes fail that are to be tolerated.
func (r Redundancy) Sufficient() bool {
	if r.Voters < 2*r.ToleratedFailures+1 && (r.JustStarted || r.StandbyNodes > 0) {
		return false
	}
	// A quorum has it; those of the quorum that drain don't count.
	replicas := max(r.DurableReplicas, r.Voters/2+1-r.LeavingVoters)
	return replicas >= min(r.ToleratedFailures+1, r.Voters-r.LeavingVoters)
}
