package consensus

import (
	"fmt"
	"testing"
)

// numberedOrder is the n-th order of a service.
func numberedOrder(service string, n int) Rollout {
	return Rollout{Service: service, TargetVersion: fmt.Sprint("v", n), DurationMs: 9000}
}

// runOrder decides an order and its end.
func runOrder(s State, order Rollout) State {
	s = s.Apply(Value{Rollout: &order})
	r, _ := s.Rollout(order.Service)
	r.Phase = PhaseRolledBack
	return s.Apply(Value{Rollout: &r})
}

// What is remembered of orders is bounded for each service and in all, and the
// oldest is forgotten first.
func TestPastOrdersAreBounded(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	const orders = 2 * maxPastOrdersPerService
	for n := range orders {
		s = runOrder(s, numberedOrder("a", n))
	}
	for n := range orders {
		_, ok := s.EarlierOrder(numberedOrder("a", n))
		// The last one is not an earlier one.
		if want := n >= maxPastOrdersPerService && n < orders-1; ok != want {
			t.Errorf("order %d of one service: known %v, want %v", n, ok, want)
		}
	}
	const services = 2 * maxPastOrders
	for n := range services {
		service := fmt.Sprint("s", n)
		s = runOrder(runOrder(s, numberedOrder(service, 1)), numberedOrder(service, 2))
	}
	if len(s.PastOrders) != maxPastOrders {
		t.Errorf("%d orders are remembered, want %d", len(s.PastOrders), maxPastOrders)
	}
	if _, ok := s.EarlierOrder(numberedOrder(fmt.Sprint("s", services-1), 1)); !ok {
		t.Error("an order decided lately is forgotten")
	}
}
