package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"swiftswitch/internal/codec"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/storage"
)

// The hut's records on disk. What the slots decided is kept in parts, so that
// a change writes what it changes.

// Ballot is the acceptor's part that changes with every round. The body
// of its value stands in Packed, on top of the one in force before the slot.
type Ballot struct {
	consensus.BallotState
	Packed []byte `json:"Packed,omitempty"`
}

// Body holds the part of the state that changes with the version only.
type Body struct {
	Version int64  `json:"Version"`
	Body    string `json:"Body"`
}

const (
	KeyIdentity    = "identity"
	KeyState       = "state"
	KeyBody        = "body"
	KeyBallot      = "ballot"
	KeyLeases      = "leases"
	KeyTable       = "table"
	KeyFrontCount  = "fronts"
	KeyTerms       = "terms"
	KeyIncarnation = "life"
	KeyAppliedPage = "taken-%02d"
)

// Taken changes are kept in pages that are written over in turn: one more page
// than are needed, so that the oldest is never cut while it counts.
const (
	AppliedPageSize = 64
	AppliedPages    = consensus.MaxAppliedChanges/AppliedPageSize + 1
)

// Load reads all records into the values given; those that are not there stay.
func Load(cel *storage.Store, records map[string]any) error {
	for name, v := range records {
		raw := cel.Get(name)
		if raw == nil {
			continue
		}
		if err := json.Unmarshal(raw, v); err != nil {
			return errors.New("record " + name + " on disk can't be read: " + err.Error())
		}
	}
	return nil
}

// LoadState reads what was decided, and what this voter said about the open slot.
func LoadState(cel *storage.Store, most int) (s consensus.State, b consensus.BallotState, packed []byte, err error) {
	var body Body
	var rec Ballot
	pages := make([][]consensus.AppliedChange, AppliedPages)
	records := map[string]any{KeyState: &s, KeyBody: &body, KeyBallot: &rec}
	for i := range pages {
		records[fmt.Sprintf(KeyAppliedPage, i)] = &pages[i]
	}
	if err = Load(cel, records); err != nil {
		return s, b, nil, err
	}
	if body.Version != s.Version {
		return s, b, nil, fmt.Errorf("record %s on disk is of version %d, not %d", KeyBody, body.Version, s.Version)
	}
	s.Body = body.Body
	s.AppliedChanges = slices.Concat(pages...)
	slices.SortFunc(s.AppliedChanges, func(a, b consensus.AppliedChange) int { return int(a.Slot - b.Slot) })
	s.AppliedChanges = s.AppliedChanges[max(0, len(s.AppliedChanges)-consensus.MaxAppliedChanges):]
	if v := rec.AcceptedValue; v != nil && rec.Slot == s.Slot+1 && rec.Packed != nil {
		if v.Body, err = codec.DecompressDelta(s.Body, rec.Packed, most); err != nil {
			return s, b, nil, errors.New("record " + KeyBallot + " on disk can't be read: " + err.Error())
		}
	}
	return s, rec.BallotState, rec.Packed, nil
}

// StateRecords gives the records of a state that changed since the one with
// that version and count of taken changes.
func StateRecords(s consensus.State, version, takenSeq int64) map[string][]byte {
	small := s
	small.Body, small.AppliedChanges = "", nil
	records := map[string][]byte{KeyState: codec.MustEncode(KeyState, small)}
	if s.Version != version {
		records[KeyBody] = codec.MustEncode(KeyBody, Body{s.Version, s.Body})
	}
	first := s.AppliedCount - int64(len(s.AppliedChanges)) // of those before the ones held
	for at := max(first, takenSeq) / AppliedPageSize; at*AppliedPageSize < s.AppliedCount; at++ {
		from, to := max(at*AppliedPageSize, first), min((at+1)*AppliedPageSize, s.AppliedCount)
		name := fmt.Sprintf(KeyAppliedPage, at%AppliedPages)
		records[name] = codec.MustEncode(name, s.AppliedChanges[from-first:to-first])
	}
	return records
}
