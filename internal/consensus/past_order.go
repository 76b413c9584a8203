package consensus

import "slices"

// maxPastOrdersPerService bounds how many orders of one service are
// remembered, maxPastOrders how many of all services.
const (
	maxPastOrdersPerService = 4
	maxPastOrders           = 512
)

// PastOrder remembers an order that was decided, to recognise a copy of it:
// orders bear no name of their own, and a caller without a clear answer sends
// its order again. It is remembered until it is retired.
type PastOrder struct {
	Service       string `json:"Service"`
	TargetVersion string `json:"Target"`
	DurationMs    int64  `json:"DurationMs"`
	// OrderedAtMs is Rollout.OrderedAtMs of the order.
	OrderedAtMs int64 `json:"At,omitempty"`
	// Slot is the slot that decided it.
	Slot int64 `json:"Slot"`
}

// sameOrder reports whether another order may be a copy of the one that o remembers.
func (o PastOrder) sameOrder(other Rollout) bool {
	return o.Service == other.Service && o.TargetVersion == other.TargetVersion && o.DurationMs == other.DurationMs
}

// FindOrder finds the newest order equal to o that is not retired. Where ok is
// false, o can't be a copy of an order that is remembered.
func (s State) FindOrder(o Rollout) (past PastOrder, ok bool) {
	for _, p := range slices.Backward(s.PastOrders) {
		if p.Slot > s.RetiredOrderSlot && p.sameOrder(o) {
			return p, true
		}
	}
	return PastOrder{}, false
}

// OldestForgottenBy finds the order that a further order of a service would
// make the state forget before it is retired; ok is false where there is room.
func (s State) OldestForgottenBy(service string) (past PastOrder, ok bool) {
	var ofService []PastOrder
	for _, p := range s.PastOrders {
		if p.Service == service {
			ofService = append(ofService, p)
		}
	}
	switch {
	case len(ofService) >= maxPastOrdersPerService:
		return ofService[0], true
	case len(s.PastOrders) >= maxPastOrders:
		return s.PastOrders[0], true
	}
	return PastOrder{}, false
}

// retireOrders forgets the orders that were decided up to a slot: no copy of
// them can be under way any more, so an equal order is a new one.
func (s *State) retireOrders(slot int64) {
	if slot <= s.RetiredOrderSlot {
		return
	}
	s.RetiredOrderSlot = slot
	s.PastOrders = itemsAfter(s.PastOrders, slot)
}

// rememberOrder appends a decided order to a copy of the list. The oldest of
// its service, or of all, is forgotten first.
func (s *State) rememberOrder(order PastOrder) {
	ofService := 0
	for _, p := range s.PastOrders {
		if p.Service == order.Service {
			ofService++
		}
	}
	list := make([]PastOrder, 0, len(s.PastOrders)+1)
	for _, p := range s.PastOrders {
		if p.Service == order.Service && ofService >= maxPastOrdersPerService {
			ofService--
			continue
		}
		list = append(list, p)
	}
	list = append(list, order)
	s.PastOrders = list[max(0, len(list)-maxPastOrders):]
}
