package consensus

import (
	"fmt"
	"net/http"
)

// healTurns bounds the turns of one call, and healPuts the tries of a change,
// once all faults ended.
const (
	healTurns = 20
	healPuts  = 4
)

// heal ends all faults: every node starts, learns from the others and is
// asked. Every acknowledged change must be there, and a further one possible.
func (m *model) heal() {
	m.reliable = true
	for i := range m.nodeCount {
		if !m.nodes[i].up {
			m.start(i)
		}
		m.nodes[i].suspected = false
	}
	m.exchangeStates()
	m.checkHealedReads()
	m.checkHealedResends()
	m.checkHealedPuts()
	if m.violation == nil && !m.linearizable() {
		m.violate(linearizability, "no order of the calls explains their answers")
	}
}

// syncAll writes all that is pending.
func (m *model) syncAll() {
	for i := range m.nodeCount {
		for len(m.nodes[i].pendingWrites) > 0 && m.nodes[i].up {
			m.sync(i, false)
		}
	}
}

// exchangeStates lets every node learn, on disk, the newest decided state.
func (m *model) exchangeStates() {
	m.syncAll()
	for range 2 {
		for from := range m.nodeCount {
			for to := range m.nodeCount {
				if from != to && m.nodes[from].hasState() {
					m.transfer(from, to, m.nodes[to].durableSlot())
				}
			}
		}
		m.syncAll()
	}
}

func (m *model) checkHealedReads() {
	for i := range m.nodeCount {
		if !m.nodes[i].hasState() {
			continue
		}
		if c := m.runCall(&modelCall{kind: callGet, node: i}); !c.returned {
			m.violate(healedRead, "all are up, but a read at %s ends without an answer", nodeName(i))
		}
	}
}

func (m *model) checkHealedResends() {
	for _, v := range m.acknowledged {
		for i := range m.nodeCount {
			if !m.nodes[i].hasState() || m.violation != nil {
				continue
			}
			if c := m.runCall(&modelCall{kind: callPut, node: i, value: v}); !c.returned || c.code != http.StatusOK {
				m.violate(healedResend, "all are up, but a resend of the acknowledged %s to %s is answered %d", valueText(v), nodeName(i), c.code)
			}
		}
	}
}

func (m *model) checkHealedPuts() {
	for i := range m.nodeCount {
		if m.violation != nil || !m.nodes[i].hasState() {
			continue
		}
		// Changes that were begun before may be decided first.
		code := statusNone
		for try := 0; try < healPuts && code != http.StatusOK; try++ {
			base, body := m.newest().Version, fmt.Sprintf("last-%s%d", nodeName(i), try)
			v := Value{Version: base + 1, BaseVersion: base, Body: body, RequestFingerprint: Fingerprint(body)}
			code = m.runCall(&modelCall{kind: callPut, node: i, value: v}).code
		}
		if code != http.StatusOK {
			m.violate(healedPut, "all are up, but a change at %s is answered %d", nodeName(i), code)
		}
	}
}

// runCall takes a call to its end on a network without faults.
func (m *model) runCall(c *modelCall) *modelCall {
	m.clock++
	c.startTime, c.knownVersion = m.clock, m.knownVersion
	m.calls = append(m.calls, c)
	call := len(m.calls) - 1
	m.advance(call)
	for turn := 0; turn < healTurns && !c.returned && m.violation == nil; turn++ {
		m.runRead(call)
		for attempt := range c.attempts {
			m.runAttempt(call, attempt)
		}
		if c.awaitingRetry && len(c.attempts) < maxAttempts {
			m.exchangeStates()
			m.advance(call)
		}
	}
	m.syncAll()
	return c
}

// runRead polls all voters.
func (m *model) runRead(call int) {
	c := m.calls[call]
	for i := range m.nodeCount {
		if c.read != nil && !c.read.polled[i] && hasVoterOn(c.read.state, i) {
			m.poll(call, i)
		}
	}
	if c.read != nil && c.read.responses < c.read.state.Quorum() {
		m.advance(call)
	}
}

// runAttempt delivers the requests of the present stage to all voters.
func (m *model) runAttempt(call, attempt int) {
	a := m.calls[call].attempts[attempt]
	for i := range m.nodeCount {
		if a.proposer != nil && hasVoterOn(a.base, i) {
			m.handleRequest(i, call, attempt, int(a.proposer.Stage))
			m.syncAll()
		}
	}
	if a.proposer != nil && a.proposer.Stage == StagePreparing {
		a.proposer.Abort()
		m.finishAttempt(call, attempt)
	}
}
