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
		_, ok := s.FindOrder(numberedOrder("a", n))
		if want := n >= maxPastOrdersPerService; ok != want {
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
	if _, ok := s.FindOrder(numberedOrder(fmt.Sprint("s", services-1), 1)); !ok {
		t.Error("an order decided lately is forgotten")
	}
}

// Guards against an order that is forgotten while copies of it may be under way.
func TestOrderThatWouldBeForgottenIsNamed(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	for n := range maxPastOrdersPerService {
		if past, ok := s.OldestForgottenBy("a"); ok {
			t.Fatalf("after %d orders %+v would be forgotten", n, past)
		}
		s = runOrder(s, numberedOrder("a", n))
	}
	past, ok := s.OldestForgottenBy("a")
	if !ok || !past.sameOrder(numberedOrder("a", 0)) {
		t.Fatalf("%+v would be forgotten", past)
	}
	if past, ok := s.OldestForgottenBy("b"); ok {
		t.Fatalf("by an order of another service %+v would be forgotten", past)
	}
	s = s.Apply(Value{RetiredOrderSlot: past.Slot})
	if past, ok := s.OldestForgottenBy("a"); ok {
		t.Fatalf("though one is retired, %+v would be forgotten", past)
	}
}

// Guards against an order that is dropped as a copy by a state that a node
// received as a delta, in one piece or on top of what it had.
func TestRetirementIsPartOfEveryDelta(t *testing.T) {
	s := runOrder(Genesis([]string{"1.1.1.1"}), numberedOrder("a", 1))
	behind := s
	s = runOrder(s, numberedOrder("a", 2)).Apply(Value{RetiredOrderSlot: 2})
	for name, state := range map[string]State{
		"whole":  State{}.mustApplyDelta(t, s.DeltaSince(NoSlot)),
		"change": behind.mustApplyDelta(t, s.DeltaSince(behind.Slot)),
	} {
		if _, ok := state.FindOrder(numberedOrder("a", 1)); ok || state.RetiredOrderSlot != 2 {
			t.Errorf("%s: the retired order is taken for one that may be copied: %+v", name, state)
		}
		if _, ok := state.FindOrder(numberedOrder("a", 2)); !ok {
			t.Errorf("%s: an order that is not retired is forgotten", name)
		}
	}
}

func (s State) mustApplyDelta(t *testing.T, d StateDelta) State {
	t.Helper()
	later, ok := s.ApplyDelta(d)
	if !ok {
		t.Fatalf("the delta %+v does not fit", d)
	}
	return later
}

// Guards against nodes that differ about an order: one that missed the
// retirement, as an earlier program does, starts it like the others.
func TestOrderBringsTheRetirementAlong(t *testing.T) {
	s := runOrder(Genesis([]string{"1.1.1.1"}), numberedOrder("a", 1))
	missed := s
	s = s.Apply(Value{RetiredOrderSlot: s.Slot})
	missed.Slot++
	order := numberedOrder("a", 1)
	again := Value{Rollout: &order, RetiredOrderSlot: s.RetiredOrderSlot}
	for name, state := range map[string]State{"retired": s.Apply(again), "missed": missed.Apply(again)} {
		if r, _ := state.Rollout("a"); r.Phase != PhaseCanary || r.OrderSlot != state.Slot {
			t.Errorf("%s: the order starts nothing: %+v", name, r)
		}
	}
}
