package consensus

// apply takes a step and reports whether it was possible; one that was not
// changes nothing but the clock.
func (m *model) apply(s step) bool {
	m.clock++
	if s.node >= m.nodeCount || s.peer >= m.nodeCount {
		return false
	}
	switch s.kind {
	case stepPut, stepGet, stepAdmit:
		return m.applyCall(s)
	case stepRequest:
		return m.applyRequest(s)
	case stepResponse, stepDuplicate:
		return m.applyResponse(s)
	case stepSync, stepSyncLossy:
		return m.applySync(s)
	case stepTimeout:
		return m.applyTimeout(s)
	case stepRetry:
		return m.applyRetry(s)
	case stepPoll:
		return m.applyPoll(s)
	case stepLearn:
		return m.applyLearn(s)
	case stepTransfer:
		return m.applyTransfer(s)
	case stepCatchUp:
		return m.applyCatchUp(s)
	case stepCrash:
		return m.applyCrash(s)
	case stepWipe:
		return m.applyWipe(s)
	case stepRestart:
		return m.applyRestart(s)
	case stepRollback:
		return m.applyRollback(s)
	case stepSuspect:
		return m.applySuspect(s)
	case stepHeal:
		m.heal()
		return true
	}
	return false
}

// callOf is the call that a step names, nil if there is none.
func (m *model) callOf(s step) *modelCall {
	if s.call < 0 || s.call >= len(m.calls) {
		return nil
	}
	return m.calls[s.call]
}

// attemptOf is the attempt that a step names, nil if there is none.
func (m *model) attemptOf(s step) *modelAttempt {
	c := m.callOf(s)
	if c == nil || s.attempt < 0 || s.attempt >= len(c.attempts) {
		return nil
	}
	return c.attempts[s.attempt]
}

// applyCall starts a call, at s.node or, for an admission of s.node, at s.peer.
func (m *model) applyCall(s step) bool {
	at := s.node
	if s.kind == stepAdmit {
		at = s.peer
	}
	server := &m.nodes[at]
	if m.callOf(s) != nil || s.call < 0 || s.call >= maxCalls || !server.up || !server.hasState() {
		return false
	}
	c := &modelCall{kind: callKind(s.kind), node: at, startTime: m.clock, knownVersion: m.knownVersion}
	switch s.kind {
	case stepPut:
		c.value = Value{Version: s.version, BaseVersion: s.base, Body: s.body, RequestFingerprint: Fingerprint(s.body)}
	case stepAdmit:
		if !m.mayAskForSeat(s) {
			return false
		}
		newcomer := &m.nodes[s.node]
		c.newcomer = Voter{ID: newcomer.acceptor.ID, IP: nodeName(s.node)}
		c.replaced, c.caughtUpTo = int(s.n), newcomer.caughtUpTo
	}
	for len(m.calls) <= s.call {
		m.calls = append(m.calls, nil)
	}
	m.calls[s.call] = c
	m.advance(s.call)
	return true
}

// mayAskForSeat reports whether s.node may ask s.peer for the seat of the voter
// at node s.n: it caught up, has no vote, and where a voter is left at its own
// address it asks for that one's seat.
func (m *model) mayAskForSeat(s step) bool {
	n, voters := &m.nodes[s.node], m.nodes[s.peer].acceptor.State
	if !n.up || n.caughtUpTo == NoSlot || n.acceptor.DurableSlot() < n.caughtUpTo || voters.IsVoter(n.acceptor.ID) {
		return false
	}
	return !hasVoterOn(voters, s.node) || int(s.n) == s.node
}

func (m *model) applyRequest(s step) bool {
	a := m.attemptOf(s)
	if a == nil || a.requests[s.phase] == nil || !m.nodes[s.node].up || !hasVoterOn(a.base, s.node) {
		return false
	}
	a.delivered[s.phase][s.node]++
	m.handleRequest(s.node, s.call, s.attempt, s.phase)
	return true
}

func (m *model) applyResponse(s step) bool {
	a := m.attemptOf(s)
	if a == nil || len(a.responses[s.phase][s.node]) == 0 {
		return false
	}
	response := a.responses[s.phase][s.node][0]
	if s.kind == stepResponse {
		a.responses[s.phase][s.node] = a.responses[s.phase][s.node][1:]
	}
	m.receiveResponse(response)
	return true
}

func (m *model) applySync(s step) bool {
	if n := &m.nodes[s.node]; !n.up || len(n.pendingWrites) == 0 {
		return false
	}
	m.sync(s.node, s.kind == stepSyncLossy)
	return true
}

func (m *model) applyTimeout(s step) bool {
	c := m.callOf(s)
	if c == nil {
		return false
	}
	for i, a := range c.attempts {
		if a.proposer != nil {
			a.proposer.Abort()
			m.finishAttempt(s.call, i)
			return true
		}
	}
	return false
}

func (m *model) applyRetry(s step) bool {
	c := m.callOf(s)
	if c == nil || !c.awaitingRetry || len(c.attempts) >= maxAttempts {
		return false
	}
	c.retries++
	m.advance(s.call)
	return true
}

func (m *model) applyPoll(s step) bool {
	c := m.callOf(s)
	if c == nil || c.read == nil || c.read.polled[s.node] || !m.nodes[s.node].up || !hasVoterOn(c.read.state, s.node) {
		return false
	}
	m.poll(s.call, s.node)
	return true
}

// applyLearn notifies a node, which knows by the ballot whether the value that
// it accepted is the chosen one.
func (m *model) applyLearn(s step) bool {
	a, n := m.attemptOf(s), &m.nodes[s.node]
	if a == nil || a.chosen == nil || !n.up {
		return false
	}
	acceptor := &n.acceptor
	if a.chosen.slot != acceptor.State.Slot+1 || acceptor.AcceptedValue == nil {
		return true
	}
	if acceptor.AcceptedBallot == a.chosen.ballot || m.fault == faultLearnBySlot {
		m.learn(s.node, acceptor.State.Apply(*acceptor.AcceptedValue))
	}
	return true
}

// connected reports whether s.node may take state from s.peer.
func (m *model) connected(s step) bool {
	return m.nodes[s.node].up && m.nodes[s.peer].up && s.node != s.peer && m.nodes[s.peer].hasState()
}

func (m *model) applyTransfer(s step) bool {
	if !m.connected(s) {
		return false
	}
	m.transfer(s.peer, s.node, s.n)
	return true
}

func (m *model) applyCatchUp(s step) bool {
	n, peer := &m.nodes[s.node], &m.nodes[s.peer]
	if !m.connected(s) || peer.acceptor.State.IsVoter(n.acceptor.ID) {
		return false
	}
	from := n.acceptor.State.Slot
	if !n.hasState() {
		from = NoSlot
	}
	m.transfer(s.peer, s.node, from)
	if n.hasState() {
		n.caughtUpTo = peer.acceptor.State.Slot
	}
	return true
}

func (m *model) applyCrash(s step) bool {
	n := &m.nodes[s.node]
	if !n.up || s.n < 0 || int(s.n) > len(n.pendingWrites) {
		return false
	}
	if n.staleDisk == nil {
		stale := n.disk
		n.staleDisk = &stale
	}
	m.crashes++
	for _, w := range n.pendingWrites[:s.n] {
		n.disk.apply(w)
	}
	m.stop(s.node)
	return true
}

func (m *model) applyWipe(s step) bool {
	if !m.mayLoseDisk(s.node) {
		return false
	}
	m.wipes++
	m.stop(s.node)
	m.nodes[s.node].disk = disk{}
	return true
}

func (m *model) applyRestart(s step) bool {
	if m.nodes[s.node].up {
		return false
	}
	m.start(s.node)
	return true
}

func (m *model) applyRollback(s step) bool {
	n := &m.nodes[s.node]
	if n.up || n.staleDisk == nil || n.disk.id != n.staleDisk.id || m.fault != faultStaleDisk {
		return false
	}
	incarnation := n.disk.incarnation
	n.disk = *n.staleDisk
	n.disk.incarnation = incarnation // a ballot that is used twice is another fault
	return true
}

func (m *model) applySuspect(s step) bool {
	n := &m.nodes[s.node]
	if n.suspected || !n.up {
		return false
	}
	m.suspicions++
	n.suspected = true
	return true
}
