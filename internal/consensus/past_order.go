package consensus

import "slices"

// maxPastOrdersPerService bounds how many orders of one service are
// remembered, maxPastOrders how many of all services.
const (
	maxPastOrdersPerService = 4
	maxPastOrders           = 512
)

// PastOrder remembers an order that was decided, to recognise a copy of it
// that was delayed until another order of its service followed.
type PastOrder struct {
	Service       string `json:"Service"`
	TargetVersion string `json:"Target"`
	DurationMs    int64  `json:"DurationMs"`
	// Slot is the slot that decided it.
	Slot int64 `json:"Slot"`
}

// EarlierOrder finds the slot of an order equal to o that is not the last one
// of its service.
func (s State) EarlierOrder(o Rollout) (slot int64, ok bool) {
	last, _ := s.Rollout(o.Service)
	for _, p := range slices.Backward(s.PastOrders) {
		if p.Slot != last.OrderSlot && p.Service == o.Service && p.TargetVersion == o.TargetVersion && p.DurationMs == o.DurationMs {
			return p.Slot, true
		}
	}
	return 0, false
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
