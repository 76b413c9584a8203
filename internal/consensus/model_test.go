package consensus

import (
	"fmt"
	"slices"
)

// The model checker drives the real state machines (DurableAcceptor, Proposer,
// State, StateDelta) as a node does, in a system that the search controls:
// nodes with disks, a network that keeps every message for ever, so that any
// may arrive late, twice or never, and operators' calls. The search chooses
// each next step from outside (step); the invariants are checked at each step
// (invariant). The model has no clock: a frozen node is one that no step
// touches.

// maxNodes is the largest number of nodes; the genesis voters are the first
// genesisVoters of them.
const (
	maxNodes      = 4
	genesisVoters = 3
)

// model is one state of the whole system. A step changes it in place; clone
// gives an independent copy.
type model struct {
	fault fault
	// reliable: a response arrives as soon as it is sent, or never.
	reliable  bool
	nodeCount int
	nodes     [maxNodes]modelNode
	calls     []*modelCall

	// The fields below are the observer's: no node may read them.

	// decided and values hold, by slot, the state after it and its value.
	decided []State
	values  []Value
	// acknowledged lists the changes whose calls returned success.
	acknowledged []Value
	// knownVersion is the highest version that any caller was told of.
	knownVersion int64
	// clock orders the starts and returns of calls.
	clock int64
	// crashes, wipes and suspicions count the faults injected so far.
	crashes, wipes, suspicions int
	// violation is the first invariant that did not hold, if any.
	violation *violation
}

// newModel starts nodeCount nodes; those beyond the genesis voters know no state.
func newModel(nodeCount int, f fault, reliable bool) *model {
	m := &model{fault: f, reliable: reliable, nodeCount: nodeCount}
	var genesis State
	for i := range genesisVoters {
		genesis.Voters = append(genesis.Voters, Voter{ID: firstID(i), IP: nodeName(i)})
	}
	m.decided, m.values = []State{genesis}, []Value{{}}
	for i := range nodeCount {
		n := &m.nodes[i]
		n.disk.id = firstID(i)
		if i < genesisVoters {
			n.disk.state = genesis
		}
		n.diskCount = 1
		m.start(i)
	}
	return m
}

// nodeName is the name of a node in traces, and its address.
func nodeName(i int) string { return string(rune('a' + i)) }

// firstID is the identity of a node's first disk.
func firstID(i int) string { return nodeName(i) + "1" }

// nodeOf is the node at a voter's address.
func nodeOf(v Voter) int { return int(v.IP[0] - 'a') }

// hasVoterOn reports whether a voter of s is at that node's address.
func hasVoterOn(s State, node int) bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return nodeOf(v) == node })
}

// violate records the first violation.
func (m *model) violate(broken invariant, format string, args ...any) {
	if m.violation == nil {
		m.violation = &violation{broken, fmt.Sprintf(format, args...)}
	}
}

// clone copies all that a step may change.
func (m *model) clone() *model {
	c := *m
	c.decided, c.values, c.acknowledged = slices.Clone(m.decided), slices.Clone(m.values), slices.Clone(m.acknowledged)
	for i := range c.nodes {
		c.nodes[i].pendingWrites = slices.Clone(m.nodes[i].pendingWrites)
	}
	c.calls = make([]*modelCall, len(m.calls))
	for i, call := range m.calls {
		if call != nil {
			c.calls[i] = call.clone()
		}
	}
	return &c
}
