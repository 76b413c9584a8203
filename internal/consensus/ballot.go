package consensus

import (
	"cmp"
	"fmt"
)

// Ballot numbers the proposals for one slot; ballots are totally ordered. No
// ballot is ever used twice: Round rises within one incarnation of a proposer,
// and Incarnation, which is durable before its first use, tells a proposer's
// runs apart.
type Ballot struct {
	Round       int64  `json:"N"`
	ProposerID  string `json:"By"`
	Incarnation int64  `json:"Life,omitempty"`
}

// Less reports whether b is below o.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.ProposerID, o.ProposerID), cmp.Compare(b.Incarnation, o.Incarnation)) < 0
}

// IsZero reports whether b is no ballot at all; that is below every other.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// String is the form that operators see; no ballot is the empty string.
func (b Ballot) String() string {
	if b.IsZero() {
		return ""
	}
	return fmt.Sprintf("%d of %s, life %d", b.Round, b.ProposerID, b.Incarnation)
}
