// Package consensus implements a replicated log by single-decree Paxos per
// slot. A slot decides one Value: a configuration change, a set of voters, a
// batch of purges, the set of cache nodes, or a step of a rollout. Only the
// newest state matters to anybody, so the decided slots are folded into one
// State instead of being kept as a log; a node that is behind takes a
// StateDelta, or the whole State.
//
// Acceptor, DurableAcceptor and Proposer are pure state machines: they do no
// input or output, know no clock and lock nothing. The caller delivers
// requests and responses, writes to disk, and calls each state machine from
// one goroutine at a time.
//
// # Voters
//
// What the slots below n decided fixes who votes on slot n: a slot that decides
// Voters takes effect at the next one. An acceptor answers for a slot only if
// it holds the state before that slot and is one of the voters in it, so an
// empty disk never votes. A voter is an identity that is drawn with its disk,
// not an address: a node that lost its disk returns as another node and has to
// be made a voter again.
//
// # Ballots
//
// Any node may propose, for the slot after the state it holds. A ballot is
// never used twice: its round rises within one incarnation of the proposer,
// and the incarnation, which is raised and durable before its first ballot,
// tells one run of a node from the next. Hence an acceptor that accepted a value
// under a ballot knows what was chosen once it learns that this ballot was,
// without being sent the value.
//
// # Durability
//
// An acceptor's promise or accepted value must be durable before the response
// that reports it is sent. That holds for a response which changed nothing,
// too, and for a rejection, since either may rest on a write that is still
// pending or failed: DurableAcceptor.Handle names the write that each response
// rests on. A NewerState needs no write, because a majority of the voters has
// made its slot durable. A node writes a decided state before the ballots of
// the slot after it.
//
// # Duplicates and restarts
//
// Requests and responses may be lost, duplicated, delayed and reordered: an
// acceptor answers a repeated request as before, a proposer counts each voter
// once a stage and ignores responses to an earlier one. After a restart an
// acceptor holds what was durable; a proposer holds nothing, and what it began
// is finished by whoever proposes next for the slot. Changes that come twice
// are recognised by State.HasApplied, whichever node they come to.
//
// Sources: L. Lamport, "Paxos Made Simple" (2001), for the two phases; L.
// Lamport, D. Malkhi and L. Zhou, "Reconfiguring a State Machine" (2010), for
// voters that the log itself decides, here with a window of one slot.
package consensus
