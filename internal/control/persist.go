package control

import (
	"slices"
	"swiftswitch/internal/config"
	"swiftswitch/internal/records"
	"time"
)

// persistState writes the decided state; what is large is written only where it
// changed. It runs on the desk.
func (h *Server) persistState() {
	s := h.acceptor.State
	version, seq := h.lastWrite.version, h.lastWrite.takenSeq
	h.lastWrite.version, h.lastWrite.takenSeq = s.Version, s.AppliedCount
	h.store.PutAll(records.StateRecords(s, version, seq), func(err error) {
		h.loop.Submit(func() {
			if err == nil {
				h.acceptor.MarkStateDurable(s.Slot)
				h.wakeDurabilityWaiters()
				return
			}
			// The store writes every record again; only nobody is told of it.
			h.lastWrite.version, h.lastWrite.takenSeq = min(h.lastWrite.version, version), min(h.lastWrite.takenSeq, seq)
			time.AfterFunc(h.host.Heartbeats(0.1), func() {
				h.loop.Submit(func() {
					if h.acceptor.DurableSlot() < h.acceptor.State.Slot {
						h.persistState()
					}
				})
			})
		})
	})
}

// wakeDurabilityWaiters answers those that wait for the state to be on disk; it runs on the desk.
func (h *Server) wakeDurabilityWaiters() {
	h.durabilityWaiters = slices.DeleteFunc(h.durabilityWaiters, func(w durabilityWaiter) bool {
		if w.slot > h.acceptor.DurableSlot() {
			return false
		}
		close(w.done)
		return true
	})
}

type durabilityWaiter struct {
	slot int64
	done chan struct{}
}

// waitDurable waits until what this node knows as decided is on its disk, or for a
// while, and gives the slot up to which it is.
func (h *Server) waitDurable() (slot int64) {
	w := durabilityWaiter{done: make(chan struct{})}
	h.loop.Call(func() {
		if w.slot = h.acceptor.State.Slot; w.slot <= h.acceptor.DurableSlot() {
			close(w.done)
			return
		}
		h.durabilityWaiters = append(h.durabilityWaiters, w)
	})
	select {
	case <-w.done:
	case <-time.After(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.5)):
	case <-h.host.Stopping:
	}
	h.loop.Call(func() {
		slot = h.acceptor.DurableSlot()
		h.durabilityWaiters = slices.DeleteFunc(h.durabilityWaiters, func(x durabilityWaiter) bool { return x.done == w.done })
	})
	return slot
}
