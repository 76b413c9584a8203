package membership

import "testing"

func TestDrainComplete(t *testing.T) {
	for _, c := range []struct {
		name     string
		progress DrainProgress
		want     bool
	}{
		{"nobody stays", DrainProgress{IsVoter: true}, true},
		{"the state is on one of two nodes", DrainProgress{StayingNodes: 2, StateReplicas: 1, TableReplicas: 2}, false},
		{"the table is missing", DrainProgress{StayingNodes: 2, StateReplicas: 2, TableReplicas: 1}, false},
		{"a proposal is pending", DrainProgress{StayingNodes: 2, StateReplicas: 2, TableReplicas: 2, ProposalPending: true}, false},
		{"a standby node could vote", DrainProgress{StayingNodes: 3, StateReplicas: 2, TableReplicas: 2, IsVoter: true, StandbyAvailable: true}, false},
		{"it is no voter", DrainProgress{StayingNodes: 3, StateReplicas: 2, TableReplicas: 2, StandbyAvailable: true}, true},
		{"no node could take its place", DrainProgress{StayingNodes: 2, StateReplicas: 2, TableReplicas: 2, IsVoter: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.progress.ToleratedFailures = 1
			if got := c.progress.Complete(); got != c.want {
				t.Errorf("complete: %v, want %v", got, c.want)
			}
		})
	}
}
