package consensus

// fault is a planted fault: one place where the model does not do what a node
// does. The checker must find each (plantedFaults).
type fault string

const (
	faultNone                fault = ""
	faultNoIncarnation       fault = "no_incarnation"
	faultEarlyResponse       fault = "early_response"
	faultBlankDisk           fault = "blank_disk"
	faultRepairUnreplicated  fault = "repair_unreplicated"
	faultRepairPending       fault = "repair_pending"
	faultRepairInMemory      fault = "repair_in_memory"
	faultForgottenChanges    fault = "forgotten_changes"
	faultShortMemory         fault = "short_memory"
	faultReadOneVoter        fault = "read_one_voter"
	faultReadIgnoresAccepted fault = "read_ignores_accepted"
	faultLearnBySlot         fault = "learn_by_slot"
	faultReorderedWrites     fault = "reordered_writes"
	faultStaleDisk           fault = "stale_disk"
	faultDeltaGap            fault = "delta_gap"
	faultLastResponseWins    fault = "last_response_wins"
	faultNonVoterCounts      fault = "non_voter_counts"
	faultLateAdmission       fault = "late_admission"
	faultUncheckedBase       fault = "unchecked_base"
)

// plantedFault is a fault with what it must violate, and the most random
// schedules that the search may take to find it.
type plantedFault struct {
	fault        fault
	description  string
	bounds       *bounds
	violates     invariant
	maxSchedules int
}

var plantedFaults = []plantedFault{
	{faultNoIncarnation, "ballots do not name the incarnation", twoIncarnations, learnedState, 20000},
	{faultEarlyResponse, "responses do not wait for the disk", nil, agreement, 12000},
	{faultBlankDisk, "an empty disk votes under its old identity", nil, agreement, 12000},
	{faultRepairUnreplicated, "a repair counts as finished once its proposer knows it", lostDisks, healedRead, 20000},
	{faultRepairInMemory, "a repair counts as finished by memory alone", lostDisk, healedRead, 20000},
	{faultRepairPending, "a repair counts as finished while a lost disk may still become a voter", nil, healedRead, 8000},
	{faultForgottenChanges, "applied changes are forgotten at a restart", nil, resendAccepted, 1000},
	{faultShortMemory, "only one applied change is remembered", nil, resendAccepted, 1000},
	{faultReadOneVoter, "a read asks one voter", putAndReads, readFreshness, 2000},
	{faultReadIgnoresAccepted, "a read ignores a value accepted for the open slot", putAndReads, readFreshness, 2000},
	{faultLearnBySlot, "a decided slot is learned by its number, whatever the ballot", threeOnOneBase, learnedState, 4000},
	{faultReorderedWrites, "a ballot reaches the disk before the state it rests on", secondSlotOpen, readFreshness, 10000},
	{faultLateAdmission, "a late call for a seat counts after a later change of voters", threeLostDisks, healedRead, 8000},
	{faultStaleDisk, "a disk comes back as it was earlier", staleDiskBounds, agreement, 20000},
	{faultDeltaGap, "a delta is applied to an older state than it was made for", newVoter, learnedState, 4000},
	{faultLastResponseWins, "the value of the last response is adopted, not that of the highest ballot", acceptedByOne, agreement, 4000},
	{faultNonVoterCounts, "the response of a node that is no voter counts", nil, agreement, 1000},
	{faultUncheckedBase, "a change is decided without a look at its base", nil, linearizability, 1000},
}

// Calls that several bounds share.
var (
	putX = step{kind: stepPut, node: 0, version: 5, body: "x"}
	putY = step{kind: stepPut, node: 1, version: 5, body: "y"}
	putZ = step{kind: stepPut, node: 0, version: 6, base: 5, body: "z"}
	getB = step{kind: stepGet, node: 1}
	getC = step{kind: stepGet, node: 2}
)

// The bounds in which single faults are looked for.
var (
	threeOnOneBase = &bounds{
		nodes: 3, maxDeliveries: 1,
		calls: []step{putX, putY, {kind: stepPut, node: 2, version: 5, body: "z"}},
	}
	twoIncarnations = &bounds{
		nodes: 3, crashes: 1, maxDeliveries: 1,
		calls: []step{putX, {kind: stepPut, node: 0, version: 5, body: "y"}},
	}
	lostDisk = &bounds{
		nodes: 3, crashes: 1, wipes: 2, maxDeliveries: 1,
		prefix: replaceWipedA + `
			request 1.1p b
			request 1.1p c
			sync b
			sync c
			response 1.1p b
			response 1.1p c
			request 1.1a b
			request 1.1a c
			sync b
			sync c
			response 1.1a b
			response 1.1a c`,
	}
	staleDiskBounds = &bounds{
		nodes: 3, crashes: 2, maxDeliveries: 1,
		calls: []step{putX, {kind: stepPut, node: 2, version: 5, body: "y"}},
		prefix: `
			crash b 0
			restart b
			put 0 a 5/0/x
			request 0.1p a
			request 0.1p b`,
	}
	threeLostDisks = &bounds{nodes: 3, wipes: 3, maxDeliveries: 1, maxRetries: 2, admissions: true, transfers: true}
	lostDisks      = &bounds{nodes: 3, crashes: 1, wipes: 2, maxDeliveries: 1, admissions: true, partialWrites: true}
	acceptedByOne  = &bounds{
		nodes: 3, maxDeliveries: 1,
		// The prefix makes call 0.
		calls: []step{{}, putY, {kind: stepPut, node: 2, version: 5, body: "z"}},
		prefix: prepareX + `
			request 0.1a a
			sync a
			put 1 b 5/0/y
			request 1.1p b
			request 1.1p c
			sync b
			sync c
			response 1.1p b
			response 1.1p c`,
	}
	newVoter = &bounds{
		nodes: 4, suspicions: 1, maxDeliveries: 2, maxRetries: 1, admissions: true, transfers: true,
		calls: []step{putX},
	}
	putAndReads = &bounds{
		nodes: 3, maxDeliveries: 1, maxRetries: 1,
		calls: []step{putX, getB, getC},
	}
	secondSlotOpen = &bounds{
		nodes: 3, crashes: 1, wipes: 1, maxDeliveries: 1,
		calls: []step{putX, {kind: stepPut, node: 0, version: 6, base: 5, body: "y"}},
		prefix: prepareX + `
			request 0.1a a
			request 0.1a b
			sync a
			sync b
			response 0.1a a
			response 0.1a b
			sync a
			learn 0.1 b
			put 1 a 6/5/y
			request 1.1p b
			request 1.1p a`,
	}
)

// Prefixes that several bounds share.
const (
	// replaceWipedA: a's disk is lost, and its new identity asks for its seat.
	replaceWipedA = `
		wipe a
		restart a
		catchup a b
		sync a
		admit 1 a b a`
	// prepareX: a has the promises of a and b for its change.
	prepareX = `
		put 0 a 5/0/x
		request 0.1p a
		request 0.1p b
		sync a
		sync b
		response 0.1p a
		response 0.1p b`
)
