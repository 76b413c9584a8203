package consensus

import (
	"slices"
	"strconv"
)

// disk is what a node finds at its next start.
type disk struct {
	// id is the identity that was drawn for this disk; "" is an empty disk.
	id          string
	incarnation int64
	state       State
	ballots     BallotState
}

// apply writes one batch.
func (d *disk) apply(w pendingWrite) {
	if w.state != nil {
		d.state = *w.state
	} else {
		d.ballots = *w.ballots
	}
}

// pendingWrite is one batch on its way to disk: the decided state, or the ballots.
type pendingWrite struct {
	state   *State
	ballots *BallotState
	// seq is the write sequence number of ballots.
	seq int64
	// responses are sent once the batch is on disk.
	responses []modelResponse
}

// modelNode is a node with its disk.
type modelNode struct {
	up bool
	// suspected: the others hold the node for unreachable though it is up.
	suspected bool
	acceptor  DurableAcceptor
	// incarnation is the one of this run, highestRound the highest ballot round it saw.
	incarnation, highestRound int64
	// diskCount counts the disks that this node has had.
	diskCount int
	disk      disk
	// staleDisk is the disk as it was at the node's first crash.
	staleDisk *disk
	// pendingWrites reach the disk in order.
	pendingWrites []pendingWrite
	// caughtUpTo is the slot that the node caught up to before it asks to be
	// admitted as a voter, else NoSlot.
	caughtUpTo int64
}

// hasState reports whether the node knows any decided state.
func (n *modelNode) hasState() bool { return len(n.acceptor.State.Voters) > 0 }

// durableSlot is the slot up to which the node has the decided state on disk.
func (n *modelNode) durableSlot() int64 {
	if !n.hasState() {
		return NoSlot
	}
	return n.acceptor.DurableSlot()
}

// start runs a node from its disk. As in a real node the raised incarnation is
// on disk before anything else happens, and an empty disk gets a new identity.
func (m *model) start(i int) {
	n := &m.nodes[i]
	if n.disk.id == "" {
		n.diskCount++
		n.disk = disk{id: nodeName(i) + strconv.Itoa(n.diskCount)}
		if m.fault == faultBlankDisk {
			n.disk.id, n.disk.state = firstID(i), m.decided[0]
		}
	}
	n.disk.incarnation++
	n.up, n.suspected, n.incarnation, n.caughtUpTo = true, false, n.disk.incarnation, NoSlot
	n.acceptor = DurableAcceptor{Acceptor: Acceptor{ID: n.disk.id}}
	s := n.disk.state
	if m.fault == faultForgottenChanges {
		s.AppliedChanges = nil
	}
	n.acceptor.Restore(s, n.disk.ballots)
	n.highestRound = n.acceptor.Promised.Round
}

// stop ends a node: what was not written is lost, and its calls never return.
func (m *model) stop(i int) {
	n := &m.nodes[i]
	n.up, n.pendingWrites, n.acceptor = false, nil, DurableAcceptor{}
	for _, c := range m.calls {
		if c == nil || c.node != i || c.returned || c.abandoned {
			continue
		}
		c.abandoned, c.read, c.awaitingRetry = true, nil, false
		for _, a := range c.attempts {
			a.proposer = nil
		}
	}
}

// learn takes a decided state and queues its write.
func (m *model) learn(i int, s State) {
	n := &m.nodes[i]
	if m.fault == faultShortMemory {
		s.AppliedChanges = s.AppliedChanges[max(0, len(s.AppliedChanges)-1):]
	}
	if n.acceptor.Learn(s) {
		m.checkLearned(i, s)
		n.enqueueWrite(pendingWrite{state: &s})
	}
}

func (n *modelNode) enqueueWrite(w pendingWrite) {
	n.pendingWrites = append(n.pendingWrites, w)
}

// transfer returns a node what it lacks of another's state from a slot on.
func (m *model) transfer(from, to int, slot int64) {
	s := m.nodes[from].acceptor.State
	m.receiveDelta(to, s.DeltaSince(min(slot, s.Slot)))
}

// receiveDelta applies a state delta that arrived.
func (m *model) receiveDelta(i int, d StateDelta) {
	n := &m.nodes[i]
	current := n.acceptor.State
	if d.Slot <= current.Slot && n.hasState() {
		return
	}
	s, ok := current.ApplyDelta(d)
	if !ok && m.fault == faultDeltaGap && n.hasState() && d.FromSlot > current.Slot {
		d.FromSlot = current.Slot
		s, ok = current.ApplyDelta(d)
	}
	if !ok {
		return
	}
	if !n.hasState() && s.Slot == 0 {
		// The genesis state: no slot is decided, so Learn would ignore it.
		n.acceptor.State = s
		n.enqueueWrite(pendingWrite{state: &s})
		return
	}
	m.learn(i, s)
}

// sync puts the first pending batch on disk and sends its responses, unless
// they are lost.
func (m *model) sync(i int, loseResponses bool) {
	n := &m.nodes[i]
	first := 0
	if m.fault == faultReorderedWrites {
		first = max(0, slices.IndexFunc(n.pendingWrites, func(w pendingWrite) bool { return w.ballots != nil }))
	}
	w := n.pendingWrites[first]
	n.pendingWrites = slices.Delete(slices.Clone(n.pendingWrites), first, first+1)
	n.disk.apply(w)
	if w.state != nil {
		n.acceptor.MarkStateDurable(w.state.Slot)
	} else {
		n.acceptor.MarkDurable(w.seq)
	}
	if loseResponses {
		return
	}
	for _, r := range w.responses {
		m.sendResponse(r)
	}
}
