package consensus

// BallotState is the acceptor's part that changes with every round, as it goes to disk.
type BallotState struct {
	Slot           int64  `json:"Slot"`
	Promised       Ballot `json:"Promised"`
	AcceptedBallot Ballot `json:"Accepted"`
	AcceptedValue  *Value `json:"Value,omitempty"`
}

// DurableAcceptor is an acceptor with its disk. Its memory may be ahead of the disk,
// so every reply names the mark that must be on disk before it may leave: also
// one that changes nothing any more may rest on a promise whose write is still
// under way, or was refused.
type DurableAcceptor struct {
	Acceptor
	// writeSeq counts the changes of Ballots, kept the last that is on disk.
	writeSeq, durableSeq int64
	// durableSlot is the last decided slot that is on disk.
	durableSlot int64
}

// Restore takes what was on disk.
func (k *DurableAcceptor) Restore(s State, b BallotState) {
	k.State, k.durableSlot = s, s.Slot
	if b.Slot == s.Slot+1 {
		k.Promised, k.AcceptedBallot, k.AcceptedValue = b.Promised, b.AcceptedBallot, b.AcceptedValue
	}
}

// Handle answers an Ask; the answer may leave once mark needs is Kept.
func (k *DurableAcceptor) Handle(m Request) (say Response, needs int64) {
	say, changed := k.Acceptor.Handle(m)
	if changed {
		k.writeSeq++
	}
	if !say.OK && say.Promised == (Ballot{}) {
		// It tells of no promise. What Ahead carries was decided by others'
		// disks, and stays so whatever becomes of this one.
		return say, 0
	}
	return say, k.writeSeq
}

// BallotState is what is to be on disk, and its mark.
func (k *DurableAcceptor) BallotState() (BallotState, int64) {
	return BallotState{k.State.Slot + 1, k.Promised, k.AcceptedBallot, k.AcceptedValue}, k.writeSeq
}

// IsDurable tells whether a mark is on disk.
func (k *DurableAcceptor) IsDurable(mark int64) bool { return k.durableSeq >= mark }

// MarkDurable notes that the Ballots of a mark are on disk.
func (k *DurableAcceptor) MarkDurable(mark int64) { k.durableSeq = max(k.durableSeq, mark) }

// Learn takes decided state. What was promised for its slots rests on the
// state from then on.
func (k *DurableAcceptor) Learn(s State) bool {
	if !k.Acceptor.Learn(s) {
		return false
	}
	k.writeSeq++
	return true
}

// DurableSlot is the last decided slot that is on disk.
func (k *DurableAcceptor) DurableSlot() int64 { return k.durableSlot }

// MarkStateDurable notes that the decided state up to a slot is on disk.
func (k *DurableAcceptor) MarkStateDurable(slot int64) { k.durableSlot = max(k.durableSlot, slot) }
