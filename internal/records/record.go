// Package records defines the records that a control node keeps on disk: their
// keys, their types, and how the decided state is cut into records, so that a
// change writes only what it changes.
//
// Keys and JSON forms are read by earlier and later versions of the program and
// never change.
package records

import (
	"encoding/json"
	"fmt"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
)

// Keys of the records.
const (
	KeyIdentity     = "identity"
	KeyIncarnation  = "life"
	KeyState        = "state"
	KeyBody         = "body"
	KeyBallot       = "ballot"
	KeyLeases       = "leases"
	KeyTable        = "table"
	KeyFrontCount   = "fronts"
	KeyRolloutClock = "terms"
	// KeyAppliedPage is the format of the keys of the pages of applied changes.
	KeyAppliedPage = "taken-%02d"
)

// The records. A node that has never written one loads its zero value.
var (
	// IdentityRecord holds the ID that was drawn with the disk.
	IdentityRecord = Record[string]{KeyIdentity}
	// IncarnationRecord counts the runs with that ID.
	IncarnationRecord = Record[int64]{KeyIncarnation}
	// StateRecord holds the decided state without its configuration body and
	// its applied changes.
	StateRecord = Record[consensus.State]{KeyState}
	// BodyRecord holds the configuration body.
	BodyRecord = Record[Body]{KeyBody}
	// BallotRecord holds what the acceptor promised and accepted.
	BallotRecord = Record[Ballot]{KeyBallot}
	// LeasesRecord holds the leases that the voter granted, by role.
	LeasesRecord = Record[map[string]lease.Record]{KeyLeases}
	// TableRecord holds the endpoint table.
	TableRecord = Record[*endpoints.Table]{KeyTable}
	// FrontCountRecord holds how many fronts there were.
	FrontCountRecord = Record[int]{KeyFrontCount}
	// RolloutClockRecord holds how much of the running rollouts' durations
	// is over.
	RolloutClockRecord = Record[rollout.ClockRecord]{KeyRolloutClock}
)

// Record is a record on disk: a key, and the type of the value that is stored
// under it as JSON.
type Record[T any] struct {
	key string
}

// Key is the name of the record in the store.
func (r Record[T]) Key() string { return r.key }

// Encode returns the stored form of a value.
func (r Record[T]) Encode(value T) []byte { return codec.MustEncode(r.key, value) }

// Put queues the value for the disk; callback is that of storage.Store.Put.
func (r Record[T]) Put(store *storage.Store, value T, callback func(error)) {
	store.Put(r.key, r.Encode(value), callback)
}

// Load reads the record into value. A record that was never written leaves
// value as it is.
func (r Record[T]) Load(store *storage.Store, value *T) error {
	raw := store.Get(r.key)
	if raw == nil {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return unreadable(r.key, err)
	}
	return nil
}

func unreadable(key string, err error) error {
	return fmt.Errorf("record %s on disk can't be read: %w", key, err)
}
