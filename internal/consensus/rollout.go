package consensus

// Phase is how far a rollout is.
type Phase string

// The phases, in their order. The first three are called running outside.
const (
	// Canary: a small share of the requests goes to the new version.
	Canary Phase = "canary"
	// Trial: for a moment most of them do, to see it under its full load.
	Trial Phase = "trial"
	// Promote: it was found good; all requests move, and the fronts say so.
	Promote Phase = "promote"
	// Completed and RolledBack are final.
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

var phaseOrder = map[Phase]int{Canary: 1, Trial: 2, Promote: 3, Completed: 4, RolledBack: 4}

// Rollout is the last order to move a service to another version of its
// searchers, and how far it is.
type Rollout struct {
	// N names the order: the slot that decided it. It is 0 in a proposal of an order.
	N       int64 `json:",omitempty"`
	Service string
	// From is the version in force when the order came, Target the one ordered.
	From       string `json:",omitempty"`
	Target     string
	DurationMs int64
	Phase      Phase
	// Slot decided the phase; SpentMs of the term were over by then.
	Slot    int64 `json:",omitempty"`
	SpentMs int64 `json:",omitempty"`
	// ForMs is how long a trial lasts on each node.
	ForMs int64 `json:",omitempty"`
	// Asked is how many tries of the new version were seen by then, Of how
	// many of both versions.
	Asked int64 `json:",omitempty"`
	Of    int64 `json:",omitempty"`
	// Why tells what led to the phase.
	Why string `json:",omitempty"`
}

// Running tells whether the order is not settled.
func (r Rollout) Running() bool { return phaseOrder[r.Phase] < phaseOrder[Completed] }

// State is what the operator is told.
func (r Rollout) State() string {
	if r.Running() {
		return "running"
	}
	return string(r.Phase)
}

// Same tells whether r is the same order as o, as far as can be told.
func (r Rollout) Same(o Rollout) bool {
	return r.Service == o.Service && r.Target == o.Target && r.DurationMs == o.DurationMs
}

// InForce is the version that a service's requests belong to when no order for it runs.
func (r Rollout) InForce() string {
	if r.Phase == Completed {
		return r.Target
	}
	return r.From
}

// rolloutsKept bounds how many services' last orders are remembered.
const rolloutsKept = 4096

// Ordered remembers an order that was decided, to know a copy of it that was
// long on its way.
type Ordered struct {
	Service    string
	Target     string
	DurationMs int64
	// Slot decided it.
	Slot int64
}

// orderedEach bounds how many orders of one service are remembered,
// orderedKept how many of all.
const (
	orderedEach = 4
	orderedKept = 512
)

// EarlierOrder finds the slot of an order equal to o that is not the last one
// of its service.
func (s State) EarlierOrder(o Rollout) (slot int64, ok bool) {
	last, _ := s.Rollout(o.Service)
	for i := len(s.Ordered) - 1; i >= 0; i-- {
		x := s.Ordered[i]
		if x.Slot != last.N && x.Service == o.Service && x.Target == o.Target && x.DurationMs == o.DurationMs {
			return x.Slot, true
		}
	}
	return 0, false
}

// remember notes a decided order; the oldest are forgotten first.
func (s *State) remember(o Rollout) {
	list := make([]Ordered, 0, len(s.Ordered)+1)
	same := 0
	for _, x := range s.Ordered {
		if x.Service == o.Service {
			same++
		}
	}
	for _, x := range s.Ordered {
		if x.Service == o.Service && same >= orderedEach {
			same--
			continue
		}
		list = append(list, x)
	}
	list = append(list, Ordered{o.Service, o.Target, o.DurationMs, o.N})
	s.Ordered = list[max(0, len(list)-orderedKept):]
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

// roll applies an order, or the next phase of one. An order beside a running
// one changes nothing, nor does a step back, or one of another order: what is
// settled stays settled, whoever proposes.
func (s *State) roll(v Rollout) {
	old, known := s.Rollout(v.Service)
	switch {
	case v.N == 0 && (!known || !old.Running() && !old.Same(v)):
		v.N, v.Phase = s.Slot, Canary
		if v.From == v.Target {
			v.Phase = Completed
		}
		old = v
		s.remember(v)
	case v.N != 0 && known && old.N == v.N && old.Running() && phaseOrder[v.Phase] > phaseOrder[old.Phase]:
		old.Phase, old.SpentMs, old.ForMs, old.Why = v.Phase, max(old.SpentMs, v.SpentMs), v.ForMs, v.Why
		old.Asked, old.Of = max(old.Asked, v.Asked), max(old.Of, v.Of)
	default:
		return
	}
	old.Slot = s.Slot
	s.keep(old)
}

// keep puts an order at the end of the list, in the place of its service's last one.
func (s *State) keep(order Rollout) {
	list := make([]Rollout, 0, len(s.Rollouts)+1)
	for _, r := range s.Rollouts {
		if r.Service != order.Service {
			list = append(list, r)
		}
	}
	list = append(list, order)
	for len(list) > rolloutsKept {
		at := 0
		for at < len(list)-1 && list[at].Running() {
			at++
		}
		list = append(list[:at:at], list[at+1:]...)
	}
	s.Rollouts = list
}
