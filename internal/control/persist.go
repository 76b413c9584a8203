package control

import (
	"slices"
	"time"

	"swiftswitch/internal/records"
)

const (
	// durableTimeoutRatio, of Bounds.AcknowledgeMs, is how long an answer waits
	// for what it rests on to be on disk.
	durableTimeoutRatio = 0.5
	// rewriteHeartbeats is after how many heartbeat intervals a state
	// whose write failed is written again.
	rewriteHeartbeats = 0.1
)

// writtenState tells which parts of a state were queued for the disk.
type writtenState struct {
	version, appliedCount int64
}

// durabilityWaiter waits until a slot is on disk; done is closed then.
type durabilityWaiter struct {
	slot int64
	done chan struct{}
}

// persistState queues the decided state for the disk; what is large is written
// only where it changed. It runs on the loop.
func (r *replica) persistState() {
	state, before := r.acceptor.State, r.written
	r.written = writtenState{state.Version, state.AppliedCount}
	changed := records.StateRecords(state, before.version, before.appliedCount)
	r.store.PutAll(changed, func(err error) {
		r.loop.Submit(func() {
			if err == nil {
				r.markStateDurable(state.Slot)
				return
			}
			r.retryPersistState(before)
		})
	})
}

// retryPersistState writes the state again a little later, after a write of what
// changed since before failed. The store itself writes every record again once
// its disk is back, but reports that to nobody; this write is reported. It runs
// on the loop.
func (r *replica) retryPersistState(before writtenState) {
	r.written.version = min(r.written.version, before.version)
	r.written.appliedCount = min(r.written.appliedCount, before.appliedCount)
	time.AfterFunc(r.host.Heartbeats(rewriteHeartbeats), func() {
		r.loop.Submit(func() {
			if r.acceptor.DurableSlot() < r.acceptor.State.Slot {
				r.persistState()
			}
		})
	})
}

// markStateDurable notes that the decided state up to a slot is on disk, and
// wakes those that wait for that. It runs on the loop.
func (r *replica) markStateDurable(slot int64) {
	r.acceptor.MarkStateDurable(slot)
	r.durabilityWaiters = slices.DeleteFunc(r.durabilityWaiters, func(waiter durabilityWaiter) bool {
		if waiter.slot > r.acceptor.DurableSlot() {
			return false
		}
		close(waiter.done)
		return true
	})
}

// waitDurable waits, for a bounded time, until the state that this node holds
// now is on its disk. It returns the slot up to which the state is.
func (r *replica) waitDurable() (slot int64) {
	waiter := durabilityWaiter{done: make(chan struct{})}
	r.loop.Call(func() {
		waiter.slot = r.acceptor.State.Slot
		if waiter.slot <= r.acceptor.DurableSlot() {
			close(waiter.done)
			return
		}
		r.durabilityWaiters = append(r.durabilityWaiters, waiter)
	})
	select {
	case <-waiter.done:
	case <-time.After(r.acknowledgeTime(durableTimeoutRatio)):
	case <-r.host.Stopping:
	}
	r.loop.Call(func() {
		slot = r.acceptor.DurableSlot()
		r.durabilityWaiters = slices.DeleteFunc(r.durabilityWaiters, func(other durabilityWaiter) bool {
			return other.done == waiter.done
		})
	})
	return slot
}

// awaitWrite waits for the result of a write that an answer rests on.
func awaitWrite(done <-chan error, timeout time.Duration) error {
	select {
	case err := <-done:
		return err
	case <-time.After(timeout):
		return ErrDiskTooSlow
	}
}
