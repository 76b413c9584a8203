package membership

import "testing"

func TestSufficientRedundancy(t *testing.T) {
	for _, c := range []struct {
		name       string
		redundancy Redundancy
		want       bool
	}{
		{"all are there", Redundancy{Voters: 3, ToleratedFailures: 1}, true},
		{"just started, others may come", Redundancy{Voters: 1, DurableReplicas: 1, ToleratedFailures: 1, JustStarted: true}, false},
		{"started long ago and alone", Redundancy{Voters: 1, DurableReplicas: 1, ToleratedFailures: 1}, true},
		{"a standby node is to vote first", Redundancy{Voters: 3, StandbyNodes: 1, DurableReplicas: 3, ToleratedFailures: 2}, false},
		{"five voters, standby nodes don't matter", Redundancy{Voters: 5, StandbyNodes: 2, ToleratedFailures: 2}, true},
		{"its quorum may contain the one that leaves", Redundancy{Voters: 3, LeavingVoters: 1, DurableReplicas: 1, ToleratedFailures: 1}, false},
		{"both that stay have it", Redundancy{Voters: 3, LeavingVoters: 1, DurableReplicas: 2, ToleratedFailures: 1}, true},
		{"one of five leaves", Redundancy{Voters: 5, LeavingVoters: 1, DurableReplicas: 2, ToleratedFailures: 2}, false},
		{"one of five leaves, three have it", Redundancy{Voters: 5, LeavingVoters: 1, DurableReplicas: 3, ToleratedFailures: 2}, true},
		{"all leave", Redundancy{Voters: 3, LeavingVoters: 3, ToleratedFailures: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.redundancy.Sufficient(); got != c.want {
				t.Errorf("sufficient: %v, want %v", got, c.want)
			}
		})
	}
}
