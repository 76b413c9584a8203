package lodge

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/storage"
)

// The hut's records on disk. What the slots decided is kept in parts, so that
// a change writes what it changes.

// BallotRecord is the acceptor's part that changes with every round. The body
// of its value stands in Packed, on top of the one in force before the slot.
type BallotRecord struct {
	consensus.BallotState
	Packed []byte `json:"Packed,omitempty"`
}

// BodyRecord holds the part of the state that changes with the version only.
type BodyRecord struct {
	Version int64  `json:"Version"`
	Body    string `json:"Body"`
}

const (
	recordIdentity    = "identity"
	recordState       = "state"
	recordBody        = "body"
	recordBallot      = "ballot"
	recordLeases      = "leases"
	recordTable       = "table"
	recordFronts      = "fronts"
	recordTerms       = "terms"
	recordIncarnation = "life"
	recordTakenPage   = "taken-%02d"
)

// Taken changes are kept in pages that are written over in turn: one more page
// than are needed, so that the oldest is never cut while it counts.
const (
	takenPage  = 64
	takenPages = consensus.MaxAppliedChanges/takenPage + 1
)

// loadRecords reads all records into the values given; those that are not there stay.
func loadRecords(cel *storage.Store, records map[string]any) error {
	for name, v := range records {
		raw, err := cel.Get(name)
		if err != nil {
			return err
		}
		if raw == nil {
			continue
		}
		if err := json.Unmarshal(raw, v); err != nil {
			return errors.New("record " + name + " on disk can't be read: " + err.Error())
		}
	}
	return nil
}

// loadState reads what was decided, and what this voter said about the open slot.
func loadState(cel *storage.Store, most int) (s consensus.State, b consensus.BallotState, packed []byte, err error) {
	var body BodyRecord
	var rec BallotRecord
	pages := make([][]consensus.AppliedChange, takenPages)
	records := map[string]any{recordState: &s, recordBody: &body, recordBallot: &rec}
	for i := range pages {
		records[fmt.Sprintf(recordTakenPage, i)] = &pages[i]
	}
	if err = loadRecords(cel, records); err != nil {
		return s, b, nil, err
	}
	if body.Version != s.Version {
		return s, b, nil, fmt.Errorf("record %s on disk is of version %d, not %d", recordBody, body.Version, s.Version)
	}
	s.Body = body.Body
	s.AppliedChanges = slices.Concat(pages...)
	slices.SortFunc(s.AppliedChanges, func(a, b consensus.AppliedChange) int { return int(a.Slot - b.Slot) })
	s.AppliedChanges = s.AppliedChanges[max(0, len(s.AppliedChanges)-consensus.MaxAppliedChanges):]
	if v := rec.AcceptedValue; v != nil && rec.Slot == s.Slot+1 && rec.Packed != nil {
		if v.Body, err = UnpackDelta(s.Body, rec.Packed, most); err != nil {
			return s, b, nil, errors.New("record " + recordBallot + " on disk can't be read: " + err.Error())
		}
	}
	return s, rec.BallotState, rec.Packed, nil
}

// stateRecords gives the records of a state that changed since the one with
// that version and count of taken changes.
func stateRecords(s consensus.State, version, takenSeq int64) map[string][]byte {
	small := s
	small.Body, small.AppliedChanges = "", nil
	records := map[string][]byte{recordState: Encode(recordState, small)}
	if s.Version != version {
		records[recordBody] = Encode(recordBody, BodyRecord{s.Version, s.Body})
	}
	first := s.AppliedCount - int64(len(s.AppliedChanges)) // of those before the ones held
	for at := max(first, takenSeq) / takenPage; at*takenPage < s.AppliedCount; at++ {
		from, to := max(at*takenPage, first), min((at+1)*takenPage, s.AppliedCount)
		name := fmt.Sprintf(recordTakenPage, at%takenPages)
		records[name] = Encode(name, s.AppliedChanges[from-first:to-first])
	}
	return records
}

// persistState writes the decided state; what is large is written only where it
// changed. It runs on the desk.
func (h *ControlServer) persistState() {
	s := h.acceptor.State
	version, seq := h.lastWrite.version, h.lastWrite.takenSeq
	h.lastWrite.version, h.lastWrite.takenSeq = s.Version, s.AppliedCount
	h.store.PutAll(stateRecords(s, version, seq), func(err error) {
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
func (h *ControlServer) wakeDurabilityWaiters() {
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
func (h *ControlServer) waitDurable() (slot int64) {
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
