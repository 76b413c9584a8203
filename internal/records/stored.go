package records

import (
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
)

// Stored is all that a control node has on disk.
type Stored struct {
	// Identity is empty on a new disk.
	Identity    string
	Incarnation int64
	State       consensus.State
	Ballot      consensus.BallotState
	// AcceptedBody is the compressed body of the value in Ballot, whose own
	// body is decompressed.
	AcceptedBody []byte
	Leases       map[string]lease.Record
	// Table is nil where none was ever known.
	Table        *endpoints.Table
	FrontCount   int
	RolloutClock rollout.ClockRecord
}

// Load reads all records. maxBodyBytes bounds the body of the accepted value.
func Load(store *storage.Store, maxBodyBytes int) (*Stored, error) {
	stored := &Stored{Leases: map[string]lease.Record{}}
	for _, load := range []func() error{
		func() error { return IdentityRecord.Load(store, &stored.Identity) },
		func() error { return IncarnationRecord.Load(store, &stored.Incarnation) },
		func() error { return LeasesRecord.Load(store, &stored.Leases) },
		func() error { return TableRecord.Load(store, &stored.Table) },
		func() error { return FrontCountRecord.Load(store, &stored.FrontCount) },
		func() error { return RolloutClockRecord.Load(store, &stored.RolloutClock) },
	} {
		if err := load(); err != nil {
			return nil, err
		}
	}
	var err error
	stored.State, stored.Ballot, stored.AcceptedBody, err = loadState(store, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	return stored, nil
}
