package records

import (
	"fmt"
	"slices"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/storage"
)

// The applied changes are kept in pages that are overwritten in turn. There is
// one more page than the changes fill, so that the page with the oldest ones is
// not overwritten while they still count.
const (
	AppliedPageSize = 64
	AppliedPages    = consensus.MaxAppliedChanges/AppliedPageSize + 1
)

// Ballot is the acceptor's part of the state, which changes with every ballot.
type Ballot struct {
	consensus.BallotState
	// Packed is the configuration body of the accepted value, compressed
	// against that of the decided state. The value itself has none then.
	Packed []byte `json:"Packed,omitempty"`
}

// Body is the part of the decided state that changes with the version only.
type Body struct {
	Version int64  `json:"Version"`
	Body    string `json:"Body"`
}

// appliedPageRecord is the page in which the changes from page*AppliedPageSize
// on are kept, counted from the first that was ever applied.
func appliedPageRecord(page int64) Record[[]consensus.AppliedChange] {
	return Record[[]consensus.AppliedChange]{fmt.Sprintf(KeyAppliedPage, page%AppliedPages)}
}

// StateRecords returns the records of a state that changed since the state with
// that version and count of applied changes was written.
func StateRecords(state consensus.State, writtenVersion, writtenCount int64) map[string][]byte {
	small := state
	small.Body, small.AppliedChanges = "", nil
	changed := map[string][]byte{StateRecord.Key(): StateRecord.Encode(small)}
	if state.Version != writtenVersion {
		changed[BodyRecord.Key()] = BodyRecord.Encode(Body{state.Version, state.Body})
	}
	// The state remembers the changes numbered from first to AppliedCount-1.
	first := state.AppliedCount - int64(len(state.AppliedChanges))
	for page := max(first, writtenCount) / AppliedPageSize; page*AppliedPageSize < state.AppliedCount; page++ {
		from := max(page*AppliedPageSize, first)
		to := min((page+1)*AppliedPageSize, state.AppliedCount)
		record := appliedPageRecord(page)
		changed[record.Key()] = record.Encode(state.AppliedChanges[from-first : to-first])
	}
	return changed
}

// loadState reads the decided state and what the acceptor promised and accepted
// for the slot after it. acceptedBody is the compressed body of the accepted value.
func loadState(store *storage.Store, maxBodyBytes int) (state consensus.State, ballot consensus.BallotState, acceptedBody []byte, err error) {
	var body Body
	var stored Ballot
	if err = StateRecord.Load(store, &state); err != nil {
		return state, ballot, nil, err
	}
	if err = BodyRecord.Load(store, &body); err != nil {
		return state, ballot, nil, err
	}
	if err = BallotRecord.Load(store, &stored); err != nil {
		return state, ballot, nil, err
	}
	if body.Version != state.Version {
		return state, ballot, nil, fmt.Errorf("record %s on disk is of version %d, not %d", KeyBody, body.Version, state.Version)
	}
	state.Body = body.Body
	if state.AppliedChanges, err = loadAppliedChanges(store); err != nil {
		return state, ballot, nil, err
	}
	if value := stored.AcceptedValue; value != nil && stored.Slot == state.Slot+1 && stored.Packed != nil {
		if value.Body, err = codec.DecompressDelta(state.Body, stored.Packed, maxBodyBytes); err != nil {
			return state, ballot, nil, unreadable(KeyBallot, err)
		}
	}
	return state, stored.BallotState, stored.Packed, nil
}

// loadAppliedChanges reads all pages and returns the changes that still count,
// in the order of their slots.
func loadAppliedChanges(store *storage.Store) ([]consensus.AppliedChange, error) {
	pages := make([][]consensus.AppliedChange, AppliedPages)
	for i := range pages {
		if err := appliedPageRecord(int64(i)).Load(store, &pages[i]); err != nil {
			return nil, err
		}
	}
	changes := slices.Concat(pages...)
	slices.SortFunc(changes, func(a, b consensus.AppliedChange) int { return int(a.Slot - b.Slot) })
	return changes[max(0, len(changes)-consensus.MaxAppliedChanges):], nil
}
