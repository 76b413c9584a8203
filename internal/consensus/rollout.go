package consensus

import "slices"

// Phase is how far a rollout is. The values are what operators read and what
// is stored.
type Phase string

// The phases, in their order. An operator sees the first three as running.
const (
	// PhaseCanary: a small share of the requests goes to the target version.
	PhaseCanary Phase = "canary"
	// PhaseTrial: for a limited time most requests go to the target version, to
	// observe it under full load.
	PhaseTrial Phase = "trial"
	// PhasePromote: the target version was found good; all requests move to it,
	// and the nodes that serve clients report when theirs have.
	PhasePromote Phase = "promote"
	// PhaseCompleted and PhaseRolledBack are final.
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolled_back"
)

// phaseOrder ranks the phases; a rollout only moves to a higher rank. An
// unknown phase ranks below all.
var phaseOrder = map[Phase]int{PhaseCanary: 1, PhaseTrial: 2, PhasePromote: 3, PhaseCompleted: 4, PhaseRolledBack: 4}

// maxRollouts bounds for how many services the last order is remembered.
const maxRollouts = 4096

// Rollout is the last order to move a service to another version of its
// backends, and how far it is.
type Rollout struct {
	// OrderSlot identifies the order: the slot that decided it. It is 0 in the
	// proposal of an order.
	OrderSlot int64  `json:"N,omitempty"`
	Service   string `json:"Service"`
	// FromVersion is the version in force when the order came.
	FromVersion   string `json:"From,omitempty"`
	TargetVersion string `json:"Target"`
	// DurationMs is the time within which the target has to be found good.
	DurationMs int64 `json:"DurationMs"`
	// OrderedAtMs is when the order was proposed, in Unix milliseconds by the
	// clock of its proposer. It is 0 where an earlier version of the program
	// decided the order.
	OrderedAtMs int64 `json:"At,omitempty"`
	Phase       Phase `json:"Phase"`
	// Slot is the slot that decided the phase.
	Slot int64 `json:"Slot,omitempty"`
	// ElapsedMs is how much of the duration was over by then.
	ElapsedMs int64 `json:"SpentMs,omitempty"`
	// TrialMs is how long a trial lasts on each node.
	TrialMs int64 `json:"ForMs,omitempty"`
	// TargetAttempts counts the attempts at the target version that were
	// observed by then, TotalAttempts those at both versions.
	TargetAttempts int64 `json:"Asked,omitempty"`
	TotalAttempts  int64 `json:"Of,omitempty"`
	// Reason tells the operator what led to the phase.
	Reason string `json:"Why,omitempty"`
}

// Running reports whether the rollout is not finished.
func (r Rollout) Running() bool { return phaseOrder[r.Phase] < phaseOrder[PhaseCompleted] }

// Status is the phase in the operator's form.
func (r Rollout) Status() string {
	if r.Running() {
		return "running"
	}
	return string(r.Phase)
}

// SameOrder reports whether r and o may be the same order, sent twice: orders
// bear no name of their own.
func (r Rollout) SameOrder(o Rollout) bool {
	return r.Service == o.Service && r.TargetVersion == o.TargetVersion && r.DurationMs == o.DurationMs
}

// ActiveVersion is the version that serves all requests of the service when no
// rollout of it runs.
func (r Rollout) ActiveVersion() string {
	if r.Phase == PhaseCompleted {
		return r.TargetVersion
	}
	return r.FromVersion
}

// Rollout finds the last order for a service.
func (s State) Rollout(service string) (r Rollout, ok bool) {
	i := slices.IndexFunc(s.Rollouts, func(r Rollout) bool { return r.Service == service })
	if i < 0 {
		return Rollout{}, false
	}
	return s.Rollouts[i], true
}

// RolloutsAfter lists the rollouts that changed after a slot.
func (s State) RolloutsAfter(slot int64) (changed []Rollout) {
	for _, r := range s.Rollouts {
		if r.Slot > slot {
			changed = append(changed, r)
		}
	}
	return changed
}

// applyRollout applies an order, or the next phase of one. An order beside a
// running one changes nothing, nor does a copy of the last order, a step back or
// a phase of another order: what is final stays so, whichever node proposes.
func (s *State) applyRollout(v Rollout) {
	last, known := s.Rollout(v.Service)
	switch {
	case v.OrderSlot == 0:
		isCopy := known && last.SameOrder(v) && last.OrderSlot > s.RetiredOrderSlot
		if isCopy || known && last.Running() {
			return
		}
		s.startRollout(v)
	case known && last.OrderSlot == v.OrderSlot && last.Running() && phaseOrder[v.Phase] > phaseOrder[last.Phase]:
		last.Phase, last.TrialMs, last.Reason = v.Phase, v.TrialMs, v.Reason
		last.ElapsedMs = max(last.ElapsedMs, v.ElapsedMs)
		last.TargetAttempts = max(last.TargetAttempts, v.TargetAttempts)
		last.TotalAttempts = max(last.TotalAttempts, v.TotalAttempts)
		last.Slot = s.Slot
		s.storeRollout(last)
	}
}

// startRollout stores a new order. One for the version that serves already is
// complete at once.
func (s *State) startRollout(order Rollout) {
	order.OrderSlot, order.Slot, order.Phase = s.Slot, s.Slot, PhaseCanary
	if order.FromVersion == order.TargetVersion {
		order.Phase = PhaseCompleted
	}
	s.rememberOrder(PastOrder{
		Service:       order.Service,
		TargetVersion: order.TargetVersion,
		DurationMs:    order.DurationMs,
		OrderedAtMs:   order.OrderedAtMs,
		Slot:          order.OrderSlot,
	})
	s.storeRollout(order)
}

// storeRollout moves a service's rollout to the end of a copy of the list.
// Where there are too many, the one that has not changed for longest and is
// final is forgotten first.
func (s *State) storeRollout(changed Rollout) {
	list := make([]Rollout, 0, len(s.Rollouts)+1)
	for _, r := range s.Rollouts {
		if r.Service != changed.Service {
			list = append(list, r)
		}
	}
	list = append(list, changed)
	for len(list) > maxRollouts {
		oldest := 0
		for oldest < len(list)-1 && list[oldest].Running() {
			oldest++
		}
		list = slices.Delete(list, oldest, oldest+1)
	}
	s.Rollouts = list
}
