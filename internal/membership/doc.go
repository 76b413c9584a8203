// Package membership decides which of the nodes that keep state are voters: it
// detects failures, evaluates who may join or replace whom, and tells when
// there are voters enough and when a draining node may go. It holds pure state
// machines and functions; the caller gathers the evidence and has the change
// of voters agreed on as the value of a log slot.
//
// # Failure detection
//
// FailureDetector measures for how long other voters have not been heard. A
// process that was paused, or starved of CPU, did not read what the others
// sent meanwhile; by its clock all of them have been silent. It must not judge
// by that, or a healthy voter would lose its place because another machine
// stood still. So the detector watches its own ticks: after a gap all silence
// counts from the resumption, and as long as the gap was not noticed it suspects
// nobody. The detector is unreliable in the sense of Chandra and Toueg,
// "Unreliable Failure Detectors for Reliable Distributed Systems" (JACM 1996);
// safety does not rest on it.
//
// # Replacement of voters
//
// A voter loses its place without its consent only if a majority of the voters
// has not heard it for long and it does not answer the evaluating voter either.
// So neither a single node with a bad link nor a minority on one side of a
// partition replaces anybody. The change is proposed on the state that was
// evaluated: if another change comes first, the proposal fails and the
// admission is evaluated anew.
//
// Agreement needs nothing of the failure detector. The old voters choose a
// change; the new ones decide the slots after it; and an acceptor takes part
// only in the slot that follows the last one it knows. So a voter that was
// replaced while it was away can at most decide what was decided already.
//
// The newcomer must answer at its address under the identity that asks, and
// have the last change of voters on disk. A node that lost its disk returns
// under a new identity; the late request of an identity that is lost in turn is
// refused by that.
package membership
