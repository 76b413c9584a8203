package membership

// EnoughVoters tells whether a change may be acknowledged with these voters,
// of which some drain: that is, whether the loss of as many nodes as are to be
// tolerated leaves it on a synced disk. Standby nodes run, stay and have no
// vote. Durable is on how many disks of voters that stay the change is known to
// be. A node that started a short while ago waits for others to come.
func EnoughVoters(voters, leaving, standby, durable, toleratedFailures int, justStarted bool) bool {
	if voters < 2*toleratedFailures+1 && (justStarted || standby > 0) {
		return false
	}
	// A quorum has it; those of the quorum that drain don't count.
	replicas := max(durable, voters/2+1-leaving)
	return replicas >= min(toleratedFailures+1, voters-leaving)
}
