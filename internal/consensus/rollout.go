package consensus

// Phase is how far a rollout is.
type Phase string

// The phases, in their order. The first three are called running outside.
const (
	// PhaseCanary: a small share of the requests goes to the new version.
	PhaseCanary Phase = "canary"
	// PhaseTrial: for a moment most of them do, to see it under its full load.
	PhaseTrial Phase = "trial"
	// PhasePromote: it was found good; all requests move, and the fronts say so.
	PhasePromote Phase = "promote"
	// PhaseCompleted and RolledBack are final.
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolled_back"
)

var phaseOrder = map[Phase]int{PhaseCanary: 1, PhaseTrial: 2, PhasePromote: 3, PhaseCompleted: 4, PhaseRolledBack: 4}

// Rollout is the last order to move a service to another version of its
// searchers, and how far it is.
type Rollout struct {
	// OrderSlot names the order: the slot that decided it. It is 0 in a proposal of an order.
	OrderSlot int64  `json:"N,omitempty"`
	Service   string `json:"Service"`
	// FromVersion is the version in force when the order came, Target the one ordered.
	FromVersion   string `json:"From,omitempty"`
	TargetVersion string `json:"Target"`
	DurationMs    int64  `json:"DurationMs"`
	Phase         Phase  `json:"Phase"`
	// Slot decided the phase; SpentMs of the term were over by then.
	Slot      int64 `json:"Slot,omitempty"`
	ElapsedMs int64 `json:"SpentMs,omitempty"`
	// TrialMs is how long a trial lasts on each node.
	TrialMs int64 `json:"ForMs,omitempty"`
	// TargetAttempts is how many tries of the new version were seen by then, Of how
	// many of both versions.
	TargetAttempts int64 `json:"Asked,omitempty"`
	TotalAttempts  int64 `json:"Of,omitempty"`
	// Reason tells what led to the phase.
	Reason string `json:"Why,omitempty"`
}

// Running tells whether the order is not settled.
func (r Rollout) Running() bool { return phaseOrder[r.Phase] < phaseOrder[PhaseCompleted] }

// Status is what the operator is told.
func (r Rollout) Status() string {
	if r.Running() {
		return "running"
	}
	return string(r.Phase)
}

// SameOrder tells whether r is the same order as o, as far as can be told.
func (r Rollout) SameOrder(o Rollout) bool {
	return r.Service == o.Service && r.TargetVersion == o.TargetVersion && r.DurationMs == o.DurationMs
}

// ActiveVersion is the version that a service's requests belong to when no order for it runs.
func (r Rollout) ActiveVersion() string {
	if r.Phase == PhaseCompleted {
		return r.TargetVersion
	}
	return r.FromVersion
}

// maxRollouts bounds how many services' last orders are remembered.
const maxRollouts = 4096

// PastOrder remembers an order that was decided, to know a copy of it that was
// long on its way.
type PastOrder struct {
	Service       string `json:"Service"`
	TargetVersion string `json:"Target"`
	DurationMs    int64  `json:"DurationMs"`
	// Slot decided it.
	Slot int64 `json:"Slot"`
}

// orderedEach bounds how many orders of one service are remembered,
// orderedKept how many of all.
const (
	maxPastOrdersPerService = 4
	maxPastOrders           = 512
)

// EarlierOrder finds the slot of an order equal to o that is not the last one
// of its service.
func (s State) EarlierOrder(o Rollout) (slot int64, ok bool) {
	last, _ := s.Rollout(o.Service)
	for i := len(s.PastOrders) - 1; i >= 0; i-- {
		x := s.PastOrders[i]
		if x.Slot != last.OrderSlot && x.Service == o.Service && x.TargetVersion == o.TargetVersion && x.DurationMs == o.DurationMs {
			return x.Slot, true
		}
	}
	return 0, false
}

// rememberOrder notes a decided order; the oldest are forgotten first.
func (s *State) rememberOrder(o Rollout) {
	list := make([]PastOrder, 0, len(s.PastOrders)+1)
	same := 0
	for _, x := range s.PastOrders {
		if x.Service == o.Service {
			same++
		}
	}
	for _, x := range s.PastOrders {
		if x.Service == o.Service && same >= maxPastOrdersPerService {
			same--
			continue
		}
		list = append(list, x)
	}
	list = append(list, PastOrder{o.Service, o.TargetVersion, o.DurationMs, o.OrderSlot})
	s.PastOrders = list[max(0, len(list)-maxPastOrders):]
}

// Rollout finds the last order for a service.
func (s State) Rollout(service string) (Rollout, bool) {
	for _, r := range s.Rollouts {
		if r.Service == service {
			return r, true
		}
	}
	return Rollout{}, false
}

// RolloutsAfter lists the orders that changed after a slot.
func (s State) RolloutsAfter(slot int64) (out []Rollout) {
	for _, r := range s.Rollouts {
		if r.Slot > slot {
			out = append(out, r)
		}
	}
	return out
}

// applyRollout applies an order, or the next phase of one. An order beside a running
// one changes nothing, nor does a step back, or one of another order: what is
// settled stays settled, whoever proposes.
func (s *State) applyRollout(v Rollout) {
	old, known := s.Rollout(v.Service)
	switch {
	case v.OrderSlot == 0 && (!known || !old.Running() && !old.SameOrder(v)):
		v.OrderSlot, v.Phase = s.Slot, PhaseCanary
		if v.FromVersion == v.TargetVersion {
			v.Phase = PhaseCompleted
		}
		old = v
		s.rememberOrder(v)
	case v.OrderSlot != 0 && known && old.OrderSlot == v.OrderSlot && old.Running() && phaseOrder[v.Phase] > phaseOrder[old.Phase]:
		old.Phase, old.ElapsedMs, old.TrialMs, old.Reason = v.Phase, max(old.ElapsedMs, v.ElapsedMs), v.TrialMs, v.Reason
		old.TargetAttempts, old.TotalAttempts = max(old.TargetAttempts, v.TargetAttempts), max(old.TotalAttempts, v.TotalAttempts)
	default:
		return
	}
	old.Slot = s.Slot
	s.storeRollout(old)
}

// storeRollout puts an order at the end of the list, in the place of its service's last one.
func (s *State) storeRollout(order Rollout) {
	list := make([]Rollout, 0, len(s.Rollouts)+1)
	for _, r := range s.Rollouts {
		if r.Service != order.Service {
			list = append(list, r)
		}
	}
	list = append(list, order)
	for len(list) > maxRollouts {
		at := 0
		for at < len(list)-1 && list[at].Running() {
			at++
		}
		list = append(list[:at:at], list[at+1:]...)
	}
	s.Rollouts = list
}
