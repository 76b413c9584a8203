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

// ballotRecord is the acceptor's part that changes with every round. The body
// of its value stands in Packed, on top of the one in force before the slot.
type ballotRecord struct {
	consensus.Ballots
	Packed []byte `json:",omitempty"`
}

// bodyRecord holds the part of the state that changes with the version only.
type bodyRecord struct {
	Version int64
	Body    string
}

const (
	recIdentity = "identity"
	recState    = "state"
	recBody     = "body"
	recBallot   = "ballot"
	recLeases   = "leases"
	recTable    = "table"
	recFronts   = "fronts"
	recTerms    = "terms"
	recLife     = "life"
	recTaken    = "taken-%02d"
)

// Taken changes are kept in pages that are written over in turn: one more page
// than are needed, so that the oldest is never cut while it counts.
const (
	takenPage  = 64
	takenPages = consensus.TakenKept/takenPage + 1
)

// load reads all records into the values given; those that are not there stay.
func load(cel *storage.Store, records map[string]any) error {
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
func loadState(cel *storage.Store, most int) (s consensus.State, b consensus.Ballots, packed []byte, err error) {
	var body bodyRecord
	var rec ballotRecord
	pages := make([][]consensus.Taken, takenPages)
	records := map[string]any{recState: &s, recBody: &body, recBallot: &rec}
	for i := range pages {
		records[fmt.Sprintf(recTaken, i)] = &pages[i]
	}
	if err = load(cel, records); err != nil {
		return s, b, nil, err
	}
	if body.Version != s.Version {
		return s, b, nil, fmt.Errorf("record %s on disk is of version %d, not %d", recBody, body.Version, s.Version)
	}
	s.Body = body.Body
	s.Taken = slices.Concat(pages...)
	slices.SortFunc(s.Taken, func(a, b consensus.Taken) int { return int(a.Slot - b.Slot) })
	s.Taken = s.Taken[max(0, len(s.Taken)-consensus.TakenKept):]
	if v := rec.Value; v != nil && rec.Slot == s.Slot+1 && rec.Packed != nil {
		if v.Body, err = unpackOn(s.Body, rec.Packed, most); err != nil {
			return s, b, nil, errors.New("record " + recBallot + " on disk can't be read: " + err.Error())
		}
	}
	return s, rec.Ballots, rec.Packed, nil
}

// stateRecords gives the records of a state that changed since the one with
// that version and count of taken changes.
func stateRecords(s consensus.State, version, takenSeq int64) map[string][]byte {
	small := s
	small.Body, small.Taken = "", nil
	records := map[string][]byte{recState: encode(recState, small)}
	if s.Version != version {
		records[recBody] = encode(recBody, bodyRecord{s.Version, s.Body})
	}
	first := s.TakenSeq - int64(len(s.Taken)) // of those before the ones held
	for at := max(first, takenSeq) / takenPage; at*takenPage < s.TakenSeq; at++ {
		from, to := max(at*takenPage, first), min((at+1)*takenPage, s.TakenSeq)
		name := fmt.Sprintf(recTaken, at%takenPages)
		records[name] = encode(name, s.Taken[from-first:to-first])
	}
	return records
}

// keepState writes the decided state; what is large is written only where it
// changed. It runs on the desk.
func (h *hut) keepState() {
	s := h.acc.State
	version, seq := h.put.version, h.put.takenSeq
	h.put.version, h.put.takenSeq = s.Version, s.TakenSeq
	h.cellar.PutAll(stateRecords(s, version, seq), func(err error) {
		h.desk.post(func() {
			if err == nil {
				h.acc.StateSynced(s.Slot)
				h.wakeKept()
				return
			}
			// The store writes every record again; only nobody is told of it.
			h.put.version, h.put.takenSeq = min(h.put.version, version), min(h.put.takenSeq, seq)
			time.AfterFunc(h.n.heartbeat(0.1), func() {
				h.desk.post(func() {
					if h.acc.StateKept() < h.acc.State.Slot {
						h.keepState()
					}
				})
			})
		})
	})
}

// wakeKept answers those that wait for the state to be on disk; it runs on the desk.
func (h *hut) wakeKept() {
	h.keeping = slices.DeleteFunc(h.keeping, func(w keepWait) bool {
		if w.slot > h.acc.StateKept() {
			return false
		}
		close(w.done)
		return true
	})
}

type keepWait struct {
	slot int64
	done chan struct{}
}

// kept waits until what this node knows as decided is on its disk, or for a
// while, and gives the slot up to which it is.
func (h *hut) kept() (slot int64) {
	w := keepWait{done: make(chan struct{})}
	h.desk.ask(func() {
		if w.slot = h.acc.State.Slot; w.slot <= h.acc.StateKept() {
			close(w.done)
			return
		}
		h.keeping = append(h.keeping, w)
	})
	select {
	case <-w.done:
	case <-time.After(config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.5)):
	case <-h.n.stop:
	}
	h.desk.ask(func() {
		slot = h.acc.StateKept()
		h.keeping = slices.DeleteFunc(h.keeping, func(x keepWait) bool { return x.done == w.done })
	})
	return slot
}
