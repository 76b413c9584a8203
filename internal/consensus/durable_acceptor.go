package consensus

// BallotState is the part of an acceptor that changes with every ballot, as it
// is stored: what it promised and accepted for a slot.
type BallotState struct {
	Slot           int64  `json:"Slot"`
	Promised       Ballot `json:"Promised"`
	AcceptedBallot Ballot `json:"Accepted"`
	AcceptedValue  *Value `json:"Value,omitempty"`
}

// DurableAcceptor is an acceptor with the progress of its writes. Its memory
// may be ahead of the disk, so every response names the write that must be
// durable before it is sent. A response that changes nothing has one as well:
// it may rest on a promise whose write is still pending, or failed.
//
// Writes are numbered. Each stores the whole BallotState, so it supersedes all
// those before it, failed ones included.
type DurableAcceptor struct {
	Acceptor
	// writeSeq counts the changes of BallotState, durableSeq is the last one
	// that is on disk.
	writeSeq, durableSeq int64
	// durableSlot is the slot of the decided state that is on disk.
	durableSlot int64
}

// Restore takes what was on disk. Ballots of a slot that is decided, or not
// the next one, no longer count.
func (d *DurableAcceptor) Restore(s State, b BallotState) {
	d.State, d.durableSlot = s, s.Slot
	if b.Slot == s.Slot+1 {
		d.Promised, d.AcceptedBallot, d.AcceptedValue = b.Promised, b.AcceptedBallot, b.AcceptedValue
	}
}

// Handle answers a request. The response may be sent once requiredWrite
// IsDurable.
func (d *DurableAcceptor) Handle(request Request) (response Response, requiredWrite int64) {
	response, changed := d.Acceptor.Handle(request)
	if changed {
		d.writeSeq++
	}
	if !response.OK && response.Promised.IsZero() {
		// It rests on no promise. A NewerState was decided by other disks and
		// stays decided whatever becomes of this one.
		return response, 0
	}
	return response, d.writeSeq
}

// BallotState is what the write of that number has to store.
func (d *DurableAcceptor) BallotState() (state BallotState, writeSeq int64) {
	return BallotState{d.State.Slot + 1, d.Promised, d.AcceptedBallot, d.AcceptedValue}, d.writeSeq
}

// IsDurable reports whether the write of that number, or a later one, is on disk.
func (d *DurableAcceptor) IsDurable(writeSeq int64) bool { return d.durableSeq >= writeSeq }

// MarkDurable notes that the write of that number is on disk.
func (d *DurableAcceptor) MarkDurable(writeSeq int64) { d.durableSeq = max(d.durableSeq, writeSeq) }

// Learn takes a decided state. Promises for the slot after it rest on a new
// write, which the caller must queue behind that of the state.
func (d *DurableAcceptor) Learn(s State) bool {
	if !d.Acceptor.Learn(s) {
		return false
	}
	d.writeSeq++
	return true
}

// DurableSlot is the slot of the decided state that is on disk.
func (d *DurableAcceptor) DurableSlot() int64 { return d.durableSlot }

// MarkStateDurable notes that the decided state up to a slot is on disk.
func (d *DurableAcceptor) MarkStateDurable(slot int64) { d.durableSlot = max(d.durableSlot, slot) }
