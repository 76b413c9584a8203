package consensus

import (
	"net/http"
	"slices"
)

// callKind is what an operator, or a newcomer, asks a node for.
type callKind string

const (
	// callPut proposes a configuration change.
	callPut callKind = "put"
	// callGet reads the newest version by a quorum read.
	callGet callKind = "get"
	// callAdmit asks for the seat of a voter that is gone.
	callAdmit callKind = "admit"
)

// statusNone is the code of a call without an answer, and of an admission that
// was turned down.
const statusNone = 0

// maxCalls bounds the calls of one schedule.
const maxCalls = 64

// modelCall is one call at a node, with the ballots it ran.
type modelCall struct {
	kind callKind
	node int
	// value is what a put proposes.
	value Value
	// newcomer asks for the seat of the voter at the node replaced; its disk
	// holds the state up to slot caughtUpTo.
	newcomer   Voter
	replaced   int
	caughtUpTo int64

	attempts []*modelAttempt
	// read is the quorum read under way, if any.
	read *quorumRead
	// awaitingRetry: the last attempt led to nothing yet.
	awaitingRetry bool
	retries       int
	// returned: the caller has its answer; abandoned: the node ended before.
	returned, abandoned bool
	code                int
	readVersion         int64
	// knownVersion is model.knownVersion when the call started.
	knownVersion          int64
	startTime, returnTime int64
}

// quorumRead asks the voters of state whether a later slot is decided or begun.
type quorumRead struct {
	state     State
	responses int
	polled    [maxNodes]bool
	// acceptedSeen: a voter accepted a value for the open slot.
	// laterSlotSeen: a voter knows a later slot as decided.
	acceptedSeen, laterSlotSeen bool
}

// open reports whether the call may still act.
func (c *modelCall) open() bool { return !c.returned && !c.abandoned }

// clone copies a call with its attempts.
func (c *modelCall) clone() *modelCall {
	copied := *c
	if c.read != nil {
		read := *c.read
		copied.read = &read
	}
	copied.attempts = make([]*modelAttempt, len(c.attempts))
	for i, a := range c.attempts {
		copied.attempts[i] = a.clone()
	}
	return &copied
}

// advance is one turn of a call's loop, on the state that its node knows now.
func (m *model) advance(call int) {
	c := m.calls[call]
	c.awaitingRetry = false
	s := m.nodes[c.node].acceptor.State
	switch c.kind {
	case callGet:
		c.read = &quorumRead{state: s}
	case callAdmit:
		m.advanceAdmission(call, s)
	case callPut:
		m.advancePut(call, s)
	}
}

// advanceAdmission proposes the newcomer in the place of the voter that is
// gone, as long as the seat is still that voter's.
func (m *model) advanceAdmission(call int, s State) {
	c := m.calls[call]
	if s.IsVoter(c.newcomer.ID) {
		m.returnCall(call, http.StatusOK)
		return
	}
	seat := slices.IndexFunc(s.Voters, func(v Voter) bool { return nodeOf(v) == c.replaced })
	late := s.VotersSlot > c.caughtUpTo && m.fault != faultLateAdmission
	if late || seat < 0 || !m.replaceable(c, s.Voters[seat]) || !s.IsVoter(m.nodes[c.node].acceptor.ID) {
		m.returnCall(call, statusNone)
		return
	}
	voters := slices.Clone(s.Voters)
	voters[seat] = c.newcomer
	m.startAttempt(call, s, &Value{Voters: voters})
}

// replaceable reports whether a voter may be replaced: by its own node's new
// identity, or where it is held for unreachable, rightly or not.
func (m *model) replaceable(c *modelCall, v Voter) bool {
	n := &m.nodes[c.replaced]
	return c.newcomer.IP == v.IP || !n.up || n.suspected || n.disk.id != v.ID
}

// advancePut answers a resend, refuses a change on an old version, looks for
// a newer state where the change builds on a version not known here, and
// proposes the change otherwise.
func (m *model) advancePut(call int, s State) {
	c := m.calls[call]
	v := c.value
	switch {
	case s.HasApplied(v.Version, v.BaseVersion, v.RequestFingerprint):
		m.returnCall(call, http.StatusOK)
	case v.BaseVersion < s.Version && m.fault != faultUncheckedBase:
		m.returnCall(call, http.StatusPreconditionFailed)
	case v.BaseVersion > s.Version:
		c.read = &quorumRead{state: s}
	default:
		if m.fault == faultUncheckedBase {
			v.BaseVersion = s.Version
		}
		m.startAttempt(call, s, &v)
	}
}

// poll takes one node's answer to a quorum read.
func (m *model) poll(call, node int) {
	read, acceptor := m.calls[call].read, &m.nodes[node].acceptor
	read.polled[node] = true
	if !read.state.IsVoter(acceptor.ID) {
		return
	}
	read.responses++
	if acceptor.AcceptedValue != nil && acceptor.State.Slot == read.state.Slot && m.fault != faultReadIgnoresAccepted {
		read.acceptedSeen = true
	}
	if acceptor.State.Slot > read.state.Slot {
		read.laterSlotSeen = true
	}
	if read.responses >= read.state.Quorum() || m.fault == faultReadOneVoter {
		m.finishRead(call)
	}
}

// finishRead answers from the state that a quorum confirmed, or finishes
// first what was begun on the slot after it.
func (m *model) finishRead(call int) {
	c := m.calls[call]
	read := c.read
	c.read = nil
	switch {
	case read.acceptedSeen || read.laterSlotSeen:
		m.startAttempt(call, read.state, nil)
	case c.kind == callGet:
		c.readVersion = read.state.Version
		m.returnCall(call, http.StatusOK)
	case read.state.Version < c.value.BaseVersion:
		m.returnCall(call, http.StatusPreconditionFailed)
	default:
		m.advance(call)
	}
}

// returnCall answers a call and checks the answer.
func (m *model) returnCall(call, code int) {
	c := m.calls[call]
	m.clock++
	c.returned, c.code, c.returnTime, c.awaitingRetry = true, code, m.clock, false
	switch c.kind {
	case callGet:
		m.checkRead(call)
		m.knownVersion = max(m.knownVersion, c.readVersion)
	case callPut:
		m.checkPut(call)
		if code == http.StatusOK {
			m.knownVersion = max(m.knownVersion, c.value.Version)
		}
	}
}
