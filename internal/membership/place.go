package membership

import (
	"slices"

	"swiftswitch/internal/consensus"
)

// Report is what a node tells a judge.
type Report struct {
	ID   string
	Slot int64
	// Leaving: it ends in order.
	Leaving bool `json:",omitempty"`
	// Silent are the voters that it has not heard for long.
	Silent []string `json:",omitempty"`
}

// Admission is a newcomer that asks for a vote, and what its judge found out.
type Admission struct {
	Self     string
	Base     consensus.State
	Newcomer consensus.Voter
	// NewcomerSlot is the slot that the newcomer said it holds on disk.
	NewcomerSlot int64
	TargetVoters int
	// Leaving: the last word heard from these voters was that they leave.
	Leaving map[string]bool
	// VoterReports are the answers of the present voters, the judge's own among
	// them; Met is the answer that came from the newcomer's address.
	VoterReports   []Report
	NewcomerReport *Report
}

// Decision is how a case stands.
type Decision int

// The verdicts.
const (
	// NoVacancy: there is no place, now.
	NoVacancy Decision = iota
	// AlreadyVoter: the newcomer votes already.
	AlreadyVoter
	// EvaluatorBehind: the judge does not know the newest state.
	EvaluatorBehind
	// EvaluatorIneligible: the judge has no vote, or leaves.
	EvaluatorIneligible
	// NoQuorum: the judge has no majority in touch.
	NoQuorum
	// NewcomerBehind: the voters changed since the newcomer caught up; its call may be
	// that of a disk that is lost by now.
	NewcomerBehind
	// NewcomerUnverified: another identity, or nobody, or one that leaves, answers at the newcomer's address.
	NewcomerUnverified
	// Rejoins: the newcomer has the place of the old identity at its address.
	Rejoins
	// AddsVoter: it becomes a further voter.
	AddsVoter
	// ReplacesLeaving: it has the place of one that left.
	ReplacesLeaving
	// ReplacesSilent: it has the place of one that a majority has not heard for long.
	ReplacesSilent
)

// Evaluate decides a case. Voters are set where the newcomer gets a place.
func (c Admission) Evaluate() (voters []consensus.Voter, v Decision) {
	said := map[string]Report{}
	ahead := false
	for _, s := range c.VoterReports {
		if c.Base.IsVoter(s.ID) {
			said[s.ID] = s
			ahead = ahead || s.Slot > c.Base.Slot
		}
	}
	own, judges := said[c.Self]
	majority := len(c.Base.Voters)/2 + 1
	switch {
	case c.Base.IsVoter(c.Newcomer.ID):
		return nil, AlreadyVoter
	case !judges || own.Leaving:
		return nil, EvaluatorIneligible
	case ahead:
		return nil, EvaluatorBehind
	case len(said) < majority:
		return nil, NoQuorum
	case c.NewcomerSlot < c.Base.VotersSlot:
		return nil, NewcomerBehind
	case c.NewcomerReport == nil || c.NewcomerReport.ID != c.Newcomer.ID || c.NewcomerReport.Leaving:
		return nil, NewcomerUnverified
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
		return l, Rejoins
	}
	if len(c.Base.Voters) < c.TargetVoters {
		return append(slices.Clone(c.Base.Voters), c.Newcomer), AddsVoter
	}
	if l := at(func(x consensus.Voter) bool {
		s, answers := said[x.ID]
		return x.ID != c.Self && (answers && s.Leaving || !answers && c.Leaving[x.ID])
	}); l != nil {
		return l, ReplacesLeaving
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
		return l, ReplacesSilent
	}
	return nil, NoVacancy
}

// EnoughVoters tells whether a change may be acknowledged with these voters, of
// which some leave. Standby nodes are up, stay, and have no vote; held is on
// how many synced disks of voters that stay the change is known to be. A node
// that is young waits for others to come.
func EnoughVoters(voters, leaving, standby, held, losses int, young bool) bool {
	if voters < 2*losses+1 && (young || standby > 0) {
		return false
	}
	// A quorum holds it; those of it that leave don't count.
	sure := max(held, voters/2+1-leaving)
	return sure >= min(losses+1, voters-leaving)
}

// DrainProgress is how a leaving node stands.
type DrainProgress struct {
	// ProposalPending: it accepted a value whose outcome it does not know.
	ProposalPending bool
	// IsVoter: it is a voter. Standby: a node that stays could take its place.
	IsVoter, StandbyAvailable bool
	// StateReplicas and Tabled count the others that stay and have its state, and its
	// table, on disk or in hand; Others is how many stay.
	StateReplicas, TableReplicas, StayingNodes int
	ToleratedFailures                          int
}

// Complete tells whether everything that the node holds is where it may go.
func (p DrainProgress) Complete() bool {
	need := min(p.ToleratedFailures+1, p.StayingNodes)
	return !p.ProposalPending && p.StateReplicas >= need && p.TableReplicas >= need && !(p.IsVoter && p.StandbyAvailable)
}

// String names a verdict in events.
func (v Decision) String() string {
	return [...]string{"full", "seated", "behind", "unfit", "apart", "late", "unmet", "returns", "grows", "follows", "replaces"}[v]
}
