package nodeapi

import "swiftswitch/internal/endpoints"

// Heartbeat is sent by a control node to the others on PathHeartbeat, every
// 0.4 heartbeat intervals; the answer is the receiver's own Heartbeat. Of two
// control nodes that hear each other only one sends, except that the holder of
// the polling lease sends to every voter, since its renewals travel along.
//
// The receiver feeds its failure detector with it, and compares the versions
// of what both hold: the side that is behind is sent the difference.
type Heartbeat struct {
	// ID is the sender's identity, which changes when its disk is lost. IP is
	// its address.
	ID string `json:"ID"`
	IP string `json:"IP"`
	// DecidedSlot is the last slot that the sender knows to be decided,
	// DurableSlot the last whose state is on its disk. DurableSlot <= DecidedSlot.
	DecidedSlot int64 `json:"Slot"`
	DurableSlot int64 `json:"Kept"`
	// Epoch and Holder are the newest epoch of the polling lease that the
	// sender has seen, and the ID of its holder.
	Epoch  int64  `json:"Epoch"`
	Holder string `json:"Holder"`
	// Stamp orders the endpoint table that the sender holds.
	Stamp endpoints.Stamp `json:"Stamp"`
	Zone  string          `json:"Zone"`
	// Draining is set from the sender's SIGTERM on.
	Draining bool `json:"Leaving,omitempty"`
	// Ineligible reports that the sender cannot hold a lease now: it hears no
	// majority of the voters, or the voters granted it nothing.
	Ineligible bool `json:"Unfit,omitempty"`
	// FrontCount is the number of fronts that the sender counts.
	FrontCount int `json:"Fronts,omitempty"`
	// Renewals renew the leases that the sender holds, by singleton role.
	// GrantedRoles, in the answer only, are the roles whose renewal the
	// answering voter granted.
	Renewals     map[string]LeaseRenewal `json:"Renews,omitempty"`
	GrantedRoles []string                `json:"Granted,omitempty"`
	// ElapsedMs is how much of a running rollout's duration has passed by the
	// sender's clock, by the order's number.
	ElapsedMs map[int64]int64 `json:"Spent,omitempty"`
	// RosterRevision is the revision of the sender's FrontRoster. A receiver
	// that holds another one fetches it on PathFrontRoster.
	RosterRevision int64 `json:"Roll"`
	// Pending reports that the sender accepted a value for the slot after
	// DecidedSlot, so that one may be decided there which it does not know of.
	Pending bool `json:"Pending,omitempty"`
	// Clock is the sender's clock at the sending. Echo is the last Clock that
	// the sender received from the receiver: the message was sent after the
	// receiver's clock read that, however long it was on its way. Both are nil
	// where an earlier program sends, Echo also where nothing was received.
	Clock *ClockReading `json:"Clock,omitempty"`
	Echo  *ClockReading `json:"Echo,omitempty"`
	// Format is consensus.Format of the sender's program, 0 where it has none.
	Format int `json:"Format,omitempty"`
}

// ClockReading is a reading of the monotonic clock of one run of a process.
type ClockReading struct {
	// Run is drawn for each run; readings of two runs can't be compared.
	Run int64 `json:"Run"`
	// AtMs is the reading in milliseconds since the start of the process.
	AtMs int64 `json:"AtMs"`
}
