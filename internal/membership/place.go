package membership

import (
	"slices"

	"swiftswitch/internal/consensus"
)

// Say is what a node tells a judge.
type Say struct {
	ID   string
	Slot int64
	// Leaving: it ends in order.
	Leaving bool `json:",omitempty"`
	// Silent are the voters that it has not heard for long.
	Silent []string `json:",omitempty"`
}

// Case is a newcomer that asks for a vote, and what its judge found out.
type Case struct {
	Self     string
	Base     consensus.State
	Newcomer consensus.Voter
	// Held is the slot that the newcomer said it holds on disk.
	Held   int64
	Wanted int
	// Left: the last word heard from these voters was that they leave.
	Left map[string]bool
	// Voters are the answers of the present voters, the judge's own among
	// them; Met is the answer that came from the newcomer's address.
	Voters []Say
	Met    *Say
}

// Verdict is how a case stands.
type Verdict int

// The verdicts.
const (
	// Full: there is no place, now.
	Full Verdict = iota
	// Seated: the newcomer votes already.
	Seated
	// Behind: the judge does not know the newest state.
	Behind
	// Unfit: the judge has no vote, or leaves.
	Unfit
	// Apart: the judge has no majority in touch.
	Apart
	// Late: the voters changed since the newcomer caught up; its call may be
	// that of a disk that is lost by now.
	Late
	// Unmet: another identity, or nobody, or one that leaves, answers at the newcomer's address.
	Unmet
	// Returns: the newcomer has the place of the old identity at its address.
	Returns
	// Grows: it becomes a further voter.
	Grows
	// Follows: it has the place of one that left.
	Follows
	// Replaces: it has the place of one that a majority has not heard for long.
	Replaces
)

// Judge decides a case. Voters are set where the newcomer gets a place.
func (c Case) Judge() (voters []consensus.Voter, v Verdict) {
	said := map[string]Say{}
	ahead := false
	for _, s := range c.Voters {
		if c.Base.Votes(s.ID) {
			said[s.ID] = s
			ahead = ahead || s.Slot > c.Base.Slot
		}
	}
	own, judges := said[c.Self]
	majority := len(c.Base.Voters)/2 + 1
	switch {
	case c.Base.Votes(c.Newcomer.ID):
		return nil, Seated
	case !judges || own.Leaving:
		return nil, Unfit
	case ahead:
		return nil, Behind
	case len(said) < majority:
		return nil, Apart
	case c.Held < c.Base.VotersSlot:
		return nil, Late
	case c.Met == nil || c.Met.ID != c.Newcomer.ID || c.Met.Leaving:
		return nil, Unmet
	}
	at := func(f func(consensus.Voter) bool) []consensus.Voter {
		i := slices.IndexFunc(c.Base.Voters, f)
		if i < 0 {
			return nil
		}
		l := slices.Clone(c.Base.Voters)
		l[i] = c.Newcomer
		return l
	}
	if l := at(func(x consensus.Voter) bool { return x.IP == c.Newcomer.IP }); l != nil {
		return l, Returns
	}
	if len(c.Base.Voters) < c.Wanted {
		return append(slices.Clone(c.Base.Voters), c.Newcomer), Grows
	}
	if l := at(func(x consensus.Voter) bool {
		s, answers := said[x.ID]
		return x.ID != c.Self && (answers && s.Leaving || !answers && c.Left[x.ID])
	}); l != nil {
		return l, Follows
	}
	if l := at(func(x consensus.Voter) bool {
		if _, answers := said[x.ID]; answers || !slices.Contains(own.Silent, x.ID) {
			return false
		}
		n := 0
		for _, s := range said {
			if slices.Contains(s.Silent, x.ID) {
				n++
			}
		}
		return n >= majority
	}); l != nil {
		return l, Replaces
	}
	return nil, Full
}

// Enough tells whether a change may be acknowledged with these voters, of
// which some leave. Standby nodes are up, stay, and have no vote; held is on
// how many synced disks of voters that stay the change is known to be. A node
// that is young waits for others to come.
func Enough(voters, leaving, standby, held, losses int, young bool) bool {
	if voters < 2*losses+1 && (young || standby > 0) {
		return false
	}
	// A quorum holds it; those of it that leave don't count.
	sure := max(held, voters/2+1-leaving)
	return sure >= min(losses+1, voters-leaving)
}

// Part is how a leaving node stands.
type Part struct {
	// Begun: it accepted a value whose outcome it does not know.
	Begun bool
	// Votes: it is a voter. Standby: a node that stays could take its place.
	Votes, Standby bool
	// Kept and Tabled count the others that stay and have its state, and its
	// table, on disk or in hand; Others is how many stay.
	Kept, Tabled, Others int
	Losses               int
}

// Handed tells whether everything that the node holds is where it may go.
func (p Part) Handed() bool {
	need := min(p.Losses+1, p.Others)
	return !p.Begun && p.Kept >= need && p.Tabled >= need && !(p.Votes && p.Standby)
}

// String names a verdict in events.
func (v Verdict) String() string {
	return [...]string{"full", "seated", "behind", "unfit", "apart", "late", "unmet", "returns", "grows", "follows", "replaces"}[v]
}
