package consensus

// Ballots is the acceptor's part that changes with every round, as it goes to disk.
type Ballots struct {
	Slot     int64
	Promised Ballot
	Accepted Ballot
	Value    *Value `json:",omitempty"`
}

// Keeper is an acceptor with its disk. Its memory may be ahead of the disk,
// so every reply names the mark that must be on disk before it may leave: also
// one that changes nothing any more may rest on a promise whose write is still
// under way, or was refused.
type Keeper struct {
	Acceptor
	// mark counts the changes of Ballots, kept the last that is on disk.
	mark, kept int64
	// slot is the last decided slot that is on disk.
	slot int64
}

// Restore takes what was on disk.
func (k *Keeper) Restore(s State, b Ballots) {
	k.State, k.slot = s, s.Slot
	if b.Slot == s.Slot+1 {
		k.Promised, k.Accepted, k.Value = b.Promised, b.Accepted, b.Value
	}
}

// Vote answers an Ask; the answer may leave once mark needs is Kept.
func (k *Keeper) Vote(m Ask) (say Say, needs int64) {
	say, changed := k.Acceptor.Take(m)
	if changed {
		k.mark++
	}
	if !say.OK && say.Promised == (Ballot{}) {
		// It tells of no promise. What Ahead carries was decided by others'
		// disks, and stays so whatever becomes of this one.
		return say, 0
	}
	return say, k.mark
}

// Ballots is what is to be on disk, and its mark.
func (k *Keeper) Ballots() (Ballots, int64) {
	return Ballots{k.State.Slot + 1, k.Promised, k.Accepted, k.Value}, k.mark
}

// Kept tells whether a mark is on disk.
func (k *Keeper) Kept(mark int64) bool { return k.kept >= mark }

// Synced notes that the Ballots of a mark are on disk.
func (k *Keeper) Synced(mark int64) { k.kept = max(k.kept, mark) }

// Learn takes decided state. What was promised for its slots rests on the
// state from then on.
func (k *Keeper) Learn(s State) bool {
	if !k.Acceptor.Learn(s) {
		return false
	}
	k.mark++
	return true
}

// StateKept is the last decided slot that is on disk.
func (k *Keeper) StateKept() int64 { return k.slot }

// StateSynced notes that the decided state up to a slot is on disk.
func (k *Keeper) StateSynced(slot int64) { k.slot = max(k.slot, slot) }
