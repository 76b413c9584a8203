package membership

// Decision is the outcome of an admission. From Rejoins on the newcomer is admitted.
type Decision int

const (
	// NoVacancy: there are voters enough, and none of them may be replaced now.
	NoVacancy Decision = iota
	// AlreadyVoter: the newcomer is a voter.
	AlreadyVoter
	// EvaluatorBehind: the evaluating voter does not know the newest state.
	EvaluatorBehind
	// EvaluatorIneligible: the evaluating node is no voter, or it drains.
	EvaluatorIneligible
	// NoQuorum: the evaluating voter reached no majority.
	NoQuorum
	// NewcomerBehind: the voters changed since the newcomer caught up. Its
	// request may be that of an identity whose disk is lost by now.
	NewcomerBehind
	// NewcomerUnverified: at the newcomer's address nobody answers, or another
	// identity, or a node that drains.
	NewcomerUnverified
	// Rejoins: the newcomer takes the place of the earlier identity at its address.
	Rejoins
	// AddsVoter: the newcomer becomes a further voter.
	AddsVoter
	// ReplacesLeaving: the newcomer takes the place of a voter that drains.
	ReplacesLeaving
	// ReplacesSilent: the newcomer takes the place of a voter that a majority
	// has not heard for long.
	ReplacesSilent
)

var decisionNames = [...]string{
	NoVacancy:           "no-vacancy",
	AlreadyVoter:        "already-voter",
	EvaluatorBehind:     "evaluator-behind",
	EvaluatorIneligible: "evaluator-ineligible",
	NoQuorum:            "no-quorum",
	NewcomerBehind:      "newcomer-behind",
	NewcomerUnverified:  "newcomer-unverified",
	Rejoins:             "rejoins",
	AddsVoter:           "adds-voter",
	ReplacesLeaving:     "replaces-leaving",
	ReplacesSilent:      "replaces-silent",
}

// String names a decision in events.
func (d Decision) String() string { return decisionNames[d] }
