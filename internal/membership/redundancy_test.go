package membership

import "testing"

func TestEnoughVoters(t *testing.T) {
	for _, c := range []struct {
		name                                              string
		voters, leaving, standby, durable, toleratedFails int
		justStarted, want                                 bool
	}{
		{"all are there", 3, 0, 0, 0, 1, false, true},
		{"just started, others may come", 1, 0, 0, 1, 1, true, false},
		{"started long ago and alone", 1, 0, 0, 1, 1, false, true},
		{"a standby node is to vote first", 3, 0, 1, 3, 2, false, false},
		{"five voters, standby nodes don't matter", 5, 0, 2, 0, 2, false, true},
		{"its quorum may contain the one that leaves", 3, 1, 0, 1, 1, false, false},
		{"both that stay have it", 3, 1, 0, 2, 1, false, true},
		{"one of five leaves", 5, 1, 0, 2, 2, false, false},
		{"one of five leaves, three have it", 5, 1, 0, 3, 2, false, true},
		{"all leave", 3, 3, 0, 0, 1, false, true},
	} {
		if got := EnoughVoters(c.voters, c.leaving, c.standby, c.durable, c.toleratedFails, c.justStarted); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
