package membership

import (
	"slices"

	"swiftswitch/internal/consensus"
)

// Admission is the request of a newcomer to become a voter, with the evidence
// that the evaluating voter gathered. Evaluate decides it; the resulting set of
// voters must still be agreed on for the slot that follows Base.
type Admission struct {
	// Self is the ID of the evaluating voter.
	Self string
	// Base is the state that the change of voters would be proposed on.
	Base     consensus.State
	Newcomer consensus.Voter
	// NewcomerSlot is the last slot that the newcomer has on disk, as it said
	// in its request.
	NewcomerSlot int64
	// TargetVoters is how many voters there are to be.
	TargetVoters int
	// Leaving holds the voters whose last heartbeat said that they drain.
	Leaving map[string]bool
	// VoterReports are the reports of the present voters, that of the
	// evaluating one among them. NewcomerReport came from the newcomer's
	// address; it is nil where nobody answered there.
	VoterReports   []Report
	NewcomerReport *Report
}

// Evaluate decides the admission. The voters are those to propose; they are
// nil where the newcomer is not admitted.
func (a Admission) Evaluate() (voters []consensus.Voter, decision Decision) {
	reports := a.reportsByVoter()
	if reason, refused := a.refusal(reports); refused {
		return nil, reason
	}
	if voters = a.replaceFirst(a.sharesAddress); voters != nil {
		return voters, Rejoins
	}
	if len(a.Base.Voters) < a.TargetVoters {
		return append(slices.Clone(a.Base.Voters), a.Newcomer), AddsVoter
	}
	leaving := func(v consensus.Voter) bool { return a.isLeaving(v, reports) }
	if voters = a.replaceFirst(leaving); voters != nil {
		return voters, ReplacesLeaving
	}
	silent := func(v consensus.Voter) bool { return a.isSilent(v, reports) }
	if voters = a.replaceFirst(silent); voters != nil {
		return voters, ReplacesSilent
	}
	return nil, NoVacancy
}

// reportsByVoter leaves out the reports of nodes that are no voters.
func (a Admission) reportsByVoter() map[string]Report {
	reports := map[string]Report{}
	for _, r := range a.VoterReports {
		if a.Base.IsVoter(r.ID) {
			reports[r.ID] = r
		}
	}
	return reports
}

// refusal tells why the admission can't be decided in the newcomer's favour,
// whatever place there is.
func (a Admission) refusal(reports map[string]Report) (reason Decision, refused bool) {
	own, isVoter := reports[a.Self]
	switch {
	case a.Base.IsVoter(a.Newcomer.ID):
		return AlreadyVoter, true
	case !isVoter || own.Leaving:
		return EvaluatorIneligible, true
	case a.anyAhead(reports):
		return EvaluatorBehind, true
	case len(reports) < a.majority():
		return NoQuorum, true
	case a.NewcomerSlot < a.Base.VotersSlot:
		return NewcomerBehind, true
	case !a.newcomerVerified():
		return NewcomerUnverified, true
	}
	return 0, false
}

func (a Admission) majority() int { return len(a.Base.Voters)/2 + 1 }

// anyAhead reports whether a voter knows a later slot than Base.
func (a Admission) anyAhead(reports map[string]Report) bool {
	for _, r := range reports {
		if r.Slot > a.Base.Slot {
			return true
		}
	}
	return false
}

// newcomerVerified reports whether the identity that asks is the one that lives
// at its address now, and stays.
func (a Admission) newcomerVerified() bool {
	r := a.NewcomerReport
	return r != nil && r.ID == a.Newcomer.ID && !r.Leaving
}

// replaceFirst puts the newcomer in the place of the first voter that matches;
// it returns nil where none does.
func (a Admission) replaceFirst(matches func(consensus.Voter) bool) []consensus.Voter {
	i := slices.IndexFunc(a.Base.Voters, matches)
	if i < 0 {
		return nil
	}
	voters := slices.Clone(a.Base.Voters)
	voters[i] = a.Newcomer
	return voters
}

// sharesAddress reports whether a voter is the earlier identity of the newcomer's node.
func (a Admission) sharesAddress(v consensus.Voter) bool { return v.IP == a.Newcomer.IP }

// isLeaving reports whether a voter drains: by its report, or else by its last heartbeat.
func (a Admission) isLeaving(v consensus.Voter, reports map[string]Report) bool {
	if v.ID == a.Self {
		return false
	}
	if r, answered := reports[v.ID]; answered {
		return r.Leaving
	}
	return a.Leaving[v.ID]
}

// isSilent reports whether a voter did not answer and a majority, the evaluating
// voter among it, has not heard it for long.
func (a Admission) isSilent(v consensus.Voter, reports map[string]Report) bool {
	if _, answered := reports[v.ID]; answered || !slices.Contains(reports[a.Self].Suspected, v.ID) {
		return false
	}
	suspecting := 0
	for _, r := range reports {
		if slices.Contains(r.Suspected, v.ID) {
			suspecting++
		}
	}
	return suspecting >= a.majority()
}
