package consensus

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// invariant names what must hold at each step of every schedule.
type invariant string

const (
	// agreement: a slot is chosen with one value.
	agreement invariant = "agreement"
	// slotOrder: a slot is chosen after the one before it.
	slotOrder invariant = "slot_order"
	// chosenState: a proposer's state after its slot is the log's.
	chosenState invariant = "chosen_state"
	// onePerBase: of the changes on one base version at most one is in force.
	onePerBase invariant = "one_per_base"
	// appliedOnce: a change is in force once.
	appliedOnce invariant = "applied_once"
	// learnedDecided: what a node learns is decided.
	learnedDecided invariant = "learned_decided"
	// learnedState: the state that a node learns is the log's.
	learnedState invariant = "learned_state"
	// readFreshness: a read gives no version older than one known when it started.
	readFreshness invariant = "read_freshness"
	// acknowledgedDecided: a change is acknowledged once it is decided.
	acknowledgedDecided invariant = "acknowledged_decided"
	// resendAccepted: a resend of an acknowledged change is never refused.
	resendAccepted invariant = "resend_accepted"
	// healedRead, healedResend, healedPut: once all faults end, every node
	// answers reads, resends of acknowledged changes and new changes.
	healedRead   invariant = "healed_read"
	healedResend invariant = "healed_resend"
	healedPut    invariant = "healed_put"
	// linearizability: the calls' answers are those of one register.
	linearizability invariant = "linearizability"
)

// anyInvariant matches every violation.
const anyInvariant invariant = ""

// violation is an invariant that did not hold.
type violation struct {
	invariant invariant
	detail    string
}

func (v *violation) String() string {
	if v == nil {
		return "no violation"
	}
	return string(v.invariant) + ": " + v.detail
}

// of reports whether v violates that invariant.
func (v *violation) of(broken invariant) bool {
	return v != nil && (broken == anyInvariant || v.invariant == broken)
}

// forgetsChanges: the planted fault takes away memory of applied changes.
func (m *model) forgetsChanges() bool {
	return m.fault == faultForgottenChanges || m.fault == faultShortMemory
}

// newest is the state after the last decided slot.
func (m *model) newest() State { return m.decided[len(m.decided)-1] }

// checkChosen takes what a proposer saw chosen, and its state after it.
func (m *model) checkChosen(v Value, s State) {
	slot := int(s.Slot)
	switch {
	case slot < len(m.decided):
		if !m.values[slot].Equal(v) {
			m.violate(agreement, "slot %d decided twice: %s and %s", slot, valueText(m.values[slot]), valueText(v))
		}
		return
	case slot > len(m.decided):
		m.violate(slotOrder, "slot %d decided before the one it follows", slot)
		return
	}
	// A fault may have made the proposer forget changes; the log has them all.
	want := m.decided[slot-1].Apply(v)
	if !m.forgetsChanges() && stateText(want) != stateText(s) {
		m.violate(chosenState, "slot %d decided on %s, not on %s", slot, stateText(s), stateText(want))
	}
	m.decided, m.values = append(m.decided, want), append(m.values, v)
	m.checkAppliedChanges(want)
}

// checkAppliedChanges looks for two changes on one base, or one applied twice.
func (m *model) checkAppliedChanges(s State) {
	bases := map[int64]bool{}
	changes := map[AppliedChange]bool{}
	for _, c := range s.AppliedChanges {
		if bases[c.BaseVersion] {
			m.violate(onePerBase, "two changes on base %d are in force: %s", c.BaseVersion, stateText(s))
		}
		bases[c.BaseVersion] = true
		c.Slot = 0
		if changes[c] {
			m.violate(appliedOnce, "a change is in force twice: %s", stateText(s))
		}
		changes[c] = true
	}
}

// checkLearned takes a state that a node learned.
func (m *model) checkLearned(node int, s State) {
	if int(s.Slot) >= len(m.decided) {
		m.violate(learnedDecided, "%s learned slot %d, which is not decided", nodeName(node), s.Slot)
		return
	}
	want := m.decided[s.Slot]
	if m.forgetsChanges() {
		// Only resends are to show what was forgotten.
		s.AppliedChanges, s.AppliedCount, want.AppliedChanges, want.AppliedCount = nil, 0, nil, 0
	}
	if stateText(s) != stateText(want) {
		m.violate(learnedState, "%s learned %s, decided was %s", nodeName(node), stateText(s), stateText(want))
	}
}

// checkRead takes a read that returned.
func (m *model) checkRead(call int) {
	if c := m.calls[call]; c.readVersion < c.knownVersion {
		m.violate(readFreshness, "call %d read version %d after %d was known", call, c.readVersion, c.knownVersion)
	}
}

// checkPut takes a change that was acknowledged or refused.
func (m *model) checkPut(call int) {
	c := m.calls[call]
	switch c.code {
	case http.StatusOK:
		if !m.newest().HasApplied(c.value.Version, c.value.BaseVersion, c.value.RequestFingerprint) {
			m.violate(acknowledgedDecided, "call %d was acknowledged, but is not in force: %s", call, valueText(c.value))
		}
		if !m.isAcknowledged(c.value) {
			m.acknowledged = append(m.acknowledged, c.value)
		}
	case http.StatusPreconditionFailed:
		if m.isAcknowledged(c.value) {
			m.violate(resendAccepted, "call %d, a resend of the acknowledged %s, was refused", call, valueText(c.value))
		}
	}
}

func (m *model) isAcknowledged(v Value) bool {
	return slices.ContainsFunc(m.acknowledged, func(a Value) bool { return a.Equal(v) })
}

func valueText(v Value) string {
	if len(v.Voters) > 0 {
		var ids []string
		for _, x := range v.Voters {
			ids = append(ids, x.ID)
		}
		return "voters " + strings.Join(ids, ",")
	}
	return fmt.Sprintf("%d/%d/%s", v.Version, v.BaseVersion, v.Body)
}

func stateText(s State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "slot %d %s since %d version %d %s applied %d:", s.Slot, valueText(Value{Voters: s.Voters}), s.VotersSlot, s.Version, s.Body, s.AppliedCount)
	for _, c := range s.AppliedChanges {
		fmt.Fprintf(&b, " %d/%d@%d", c.Version, c.BaseVersion, c.Slot)
	}
	return b.String()
}
