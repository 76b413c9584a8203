// Package cairn agrees on the configuration and on who votes: single-decree
// Paxos for each slot, any node with a disk may propose, and what all slots
// below n decided fixes who votes on slot n. Acceptor and Proposer are pure
// state machines: they do no input or output and know no clock. In the
// field's terms: consensus, a replicated state machine, and its
// reconfiguration.
//
// Only the newest state matters to anybody, so the decided slots are kept
// folded into one State instead of a log; a node that is behind takes the
// State of another whole.
package consensus
