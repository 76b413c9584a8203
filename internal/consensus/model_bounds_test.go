package consensus

import "strings"

// bounds limit what a search explores.
type bounds struct {
	nodes int
	// prefix are steps that come first, one a line.
	prefix string
	// calls come once each, at any time.
	calls []step
	// crashes, wipes and suspicions bound the injected faults.
	crashes, wipes, suspicions int
	// maxDeliveries bounds how often a request may arrive; above 1 responses
	// may be duplicated, too.
	maxDeliveries uint8
	// maxRetries bounds the retries of a call; above 0 attempts may time out.
	maxRetries int
	// admissions, transfers and responseLoss allow those steps.
	admissions, transfers, responseLoss bool
	// partialWrites: a crash may leave any part of the pending writes on disk.
	partialWrites bool
}

// initial returns the model after the prefix, and its steps.
func (b bounds) initial(f fault, reliable bool) (*model, []step) {
	m := newModel(b.nodes, f, reliable)
	var steps []step
	for _, line := range strings.Split(b.prefix, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		s, err := parseStep(words)
		if err != nil || !m.apply(s) {
			panic("prefix: " + line)
		}
		steps = append(steps, s)
	}
	return m, steps
}

// enabledSteps collects the steps that may come next. Their order decides
// which step a random schedule draws, so it is part of what a seed means.
type enabledSteps struct {
	*model
	bounds bounds
	steps  []step
}

// enabled lists the steps that may come next within the bounds.
func (m *model) enabled(b bounds) []step {
	e := enabledSteps{model: m, bounds: b}
	for i, c := range m.calls {
		if c != nil {
			e.addCallSteps(i, c)
		}
	}
	e.addNewCalls()
	for node := range m.nodeCount {
		e.addNodeSteps(node)
		for peer := range m.nodeCount {
			if node != peer && m.nodes[node].up && m.nodes[peer].up && m.nodes[peer].hasState() {
				e.addTransferSteps(node, peer)
				e.addAdmissionSteps(node, peer)
			}
		}
	}
	return e.steps
}

func (e *enabledSteps) add(s step) { e.steps = append(e.steps, s) }

// addCallSteps adds the steps of a call that started.
func (e *enabledSteps) addCallSteps(call int, c *modelCall) {
	for attempt, a := range c.attempts {
		e.addMessageSteps(call, attempt, a)
		if a.proposer != nil && e.bounds.maxRetries > 0 {
			e.add(step{kind: stepTimeout, call: call})
		}
		e.addLearnSteps(call, attempt, a)
	}
	if c.awaitingRetry && c.retries < e.bounds.maxRetries {
		e.add(step{kind: stepRetry, call: call})
	}
	if c.read == nil {
		return
	}
	for node := range e.nodeCount {
		if e.nodes[node].up && !c.read.polled[node] && hasVoterOn(c.read.state, node) {
			e.add(step{kind: stepPoll, call: call, node: node})
		}
	}
}

// addMessageSteps adds the arrivals of an attempt's requests and responses.
// Where the network is reliable, prepares of an attempt that ended are left out.
func (e *enabledSteps) addMessageSteps(call, attempt int, a *modelAttempt) {
	for phase := range phaseCount {
		if a.requests[phase] == nil || e.reliable && a.proposer == nil && phase == phasePrepare {
			continue
		}
		for node := range e.nodeCount {
			s := step{call: call, attempt: attempt, phase: phase, node: node}
			if e.nodes[node].up && a.delivered[phase][node] < e.bounds.maxDeliveries && hasVoterOn(a.base, node) {
				s.kind = stepRequest
				e.add(s)
			}
			if len(a.responses[phase][node]) == 0 {
				continue
			}
			s.kind = stepResponse
			e.add(s)
			if a.proposer != nil && e.bounds.maxDeliveries > 1 {
				s.kind = stepDuplicate
				e.add(s)
			}
		}
	}
}

// addLearnSteps adds the notices of a chosen ballot, to nodes that may use them.
func (e *enabledSteps) addLearnSteps(call, attempt int, a *modelAttempt) {
	if a.chosen == nil {
		return
	}
	for node := range e.nodeCount {
		acceptor := &e.nodes[node].acceptor
		if e.nodes[node].up && acceptor.State.Slot+1 == a.chosen.slot && acceptor.AcceptedValue != nil {
			e.add(step{kind: stepLearn, call: call, attempt: attempt, node: node})
		}
	}
}

// addNewCalls adds the calls of the bounds that did not start yet.
func (e *enabledSteps) addNewCalls() {
	for i, s := range e.bounds.calls {
		s.call = i
		if e.callOf(s) == nil && e.nodes[s.node].up && e.nodes[s.node].hasState() {
			e.add(s)
		}
	}
}

// addNodeSteps adds a node's own steps: its disk, its starts and its faults.
func (e *enabledSteps) addNodeSteps(node int) {
	n := &e.nodes[node]
	if n.up {
		e.addDiskSteps(node, n)
		e.addCrashSteps(node, n)
		if e.suspicions < e.bounds.suspicions && !n.suspected {
			e.add(step{kind: stepSuspect, node: node})
		}
	} else {
		e.add(step{kind: stepRestart, node: node})
		if e.fault == faultStaleDisk && n.mayRollBack() {
			e.add(step{kind: stepRollback, node: node})
		}
	}
	if e.wipes < e.bounds.wipes && e.mayLoseDisk(node) {
		e.add(step{kind: stepWipe, node: node})
	}
}

// mayRollBack reports whether the node has an older form of the same disk.
func (n *modelNode) mayRollBack() bool {
	old := n.staleDisk
	return old != nil && old.id == n.disk.id &&
		old.state.Slot+old.ballots.Slot != n.disk.state.Slot+n.disk.ballots.Slot
}

func (e *enabledSteps) addDiskSteps(node int, n *modelNode) {
	if len(n.pendingWrites) == 0 {
		return
	}
	e.add(step{kind: stepSync, node: node})
	if e.bounds.responseLoss && len(n.pendingWrites[0].responses) > 0 {
		e.add(step{kind: stepSyncLossy, node: node})
	}
}

func (e *enabledSteps) addCrashSteps(node int, n *modelNode) {
	if e.crashes >= e.bounds.crashes {
		return
	}
	e.add(step{kind: stepCrash, node: node})
	if !e.bounds.partialWrites {
		return
	}
	for written := range len(n.pendingWrites) {
		e.add(step{kind: stepCrash, node: node, n: int64(written + 1)})
	}
}

// addTransferSteps adds deltas of a peer's later state: from the slot that the
// node has on disk, and where messages may be duplicated also the whole state.
func (e *enabledSteps) addTransferSteps(node, peer int) {
	n, s := &e.nodes[node], e.nodes[peer].acceptor.State
	if !e.bounds.transfers || s.Slot <= n.acceptor.State.Slot || !s.IsVoter(n.acceptor.ID) && !n.hasState() {
		return
	}
	add := func(from int64) { e.add(step{kind: stepTransfer, node: node, peer: peer, n: from}) }
	add(n.acceptor.DurableSlot())
	if e.bounds.maxDeliveries <= 1 {
		return
	}
	add(NoSlot)
	if e.fault == faultDeltaGap && s.Slot > n.acceptor.State.Slot+1 {
		add(n.acceptor.State.Slot + 1)
	}
}

// maxOpenAdmissions bounds the calls by which one newcomer asks for a seat at
// a time, and maxAdmissionCall the number of such a call.
const (
	maxOpenAdmissions = 2
	maxAdmissionCall  = 60
)

// addAdmissionSteps adds what a node without a vote may ask of a peer.
func (e *enabledSteps) addAdmissionSteps(node, peer int) {
	n, p := &e.nodes[node], &e.nodes[peer]
	s := p.acceptor.State
	if !e.bounds.admissions || s.IsVoter(n.acceptor.ID) {
		return
	}
	if n.caughtUpTo < s.Slot {
		e.add(step{kind: stepCatchUp, node: node, peer: peer})
	}
	next := max(len(e.bounds.calls), len(e.calls))
	if n.caughtUpTo == NoSlot || n.acceptor.DurableSlot() < n.caughtUpTo || !s.IsVoter(p.acceptor.ID) ||
		next >= maxAdmissionCall || e.openAdmissions(n.acceptor.ID) >= maxOpenAdmissions {
		return
	}
	for _, v := range s.Voters {
		c := &modelCall{newcomer: Voter{ID: n.acceptor.ID, IP: nodeName(node)}, replaced: nodeOf(v)}
		if e.replaceable(c, v) {
			e.add(step{kind: stepAdmit, call: next, node: node, peer: peer, n: int64(c.replaced)})
		}
	}
}

// openAdmissions counts the open calls for the admission of id.
func (m *model) openAdmissions(id string) int {
	open := 0
	for _, c := range m.calls {
		if c != nil && c.kind == callAdmit && c.newcomer.ID == id && c.open() {
			open++
		}
	}
	return open
}
