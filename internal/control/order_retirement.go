package control

import (
	"math/rand/v2"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

const (
	// copyWindowRatio, of Bounds.AcknowledgeMs, is how long after an order was
	// decided a copy of it may arrive. An operator sends an order again for as
	// long as AcknowledgeMs; the rest is for what delays a copy on its way.
	copyWindowRatio = 3
	// retirementCheckHeartbeats is the mean pause between two checks for orders
	// to be retired. It is drawn at random, so that of several nodes mostly one
	// proposes.
	retirementCheckHeartbeats = 0.5
)

// orderRetirer has past orders retired: once no copy of an order can be under
// way any more, the log decides that an equal order is a new one. How long an
// order is known is measured from when this incarnation learned it, so the time
// never ends early; and nothing rests on it but when to propose. Which orders
// are retired is part of the agreed state.
type orderRetirer struct {
	server *Server
	// knownSince is when this incarnation learned of the orders that are not
	// retired, by slot. It is owned by Server.loop.
	knownSince map[int64]time.Duration
}

func newOrderRetirer(s *Server) *orderRetirer {
	return &orderRetirer{server: s, knownSince: map[int64]time.Duration{}}
}

// run proposes retirements until the node stops.
func (o *orderRetirer) run() {
	host := o.server.host
	for {
		pause := float64(host.Heartbeats(retirementCheckHeartbeats)) * 2 * rand.Float64()
		select {
		case <-host.Stopping:
			return
		case <-time.After(time.Duration(pause)):
		}
		var slot int64
		o.server.loop.Call(func() { slot = o.due(host.Now()) })
		if slot > 0 {
			o.retire(slot)
		}
	}
}

// apply follows the orders of the state that was just decided. It runs on Server.loop.
func (o *orderRetirer) apply() {
	now := o.server.host.Now()
	knownSince := map[int64]time.Duration{}
	for _, order := range o.server.acceptor.State.PastOrders {
		at, known := o.knownSince[order.Slot]
		if !known {
			at = now
		}
		knownSince[order.Slot] = at
	}
	o.knownSince = knownSince
}

// copyWindow is how long after an order was decided a copy of it may arrive.
func (o *orderRetirer) copyWindow() time.Duration { return o.server.acknowledgeTime(copyWindowRatio) }

// mayBeCopied reports whether a copy of an order may still be under way, as far
// as this node can tell. It runs on Server.loop.
func (o *orderRetirer) mayBeCopied(order consensus.PastOrder) bool {
	return o.server.host.Now()-o.knownSince[order.Slot] < o.copyWindow()
}

// due is the slot up to which orders are to be retired now, 0 for none. It runs
// on Server.loop.
func (o *orderRetirer) due(now time.Duration) (slot int64) {
	s := o.server
	if !s.acceptor.State.IsVoter(s.acceptor.ID) || s.lacksMajority(now) || !s.peers.allApply(consensus.Format) {
		return 0
	}
	for _, order := range s.acceptor.State.PastOrders {
		if o.mayBeCopied(order) {
			break
		}
		slot = order.Slot
	}
	return slot
}

// retire proposes that the orders up to a slot are retired. An attempt that
// fails is repeated after the next check.
func (o *orderRetirer) retire(slot int64) {
	s := o.server
	if !s.proposalLock.TryLock() {
		return
	}
	defer s.proposalLock.Unlock()
	state := s.State()
	if state.RetiredOrderSlot >= slot {
		return
	}
	if s.propose(state, &consensus.Value{RetiredOrderSlot: slot}) {
		events.Log(events.RolloutOrdersRetired, "slot", slot)
	}
}

// wasOrderedLately reports whether an order was proposed so lately that an equal
// one is a copy of it. The clocks of two nodes may differ, either way.
func wasOrderedLately(order consensus.PastOrder, now time.Time, acknowledgeMs float64) bool {
	age := now.Sub(time.UnixMilli(order.OrderedAtMs))
	return age.Abs() <= config.Milliseconds(acknowledgeMs, 1)
}
