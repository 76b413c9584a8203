package nodeapi

import (
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/lease"
)

// LeaseRequest is sent by a control node that wants to hold a singleton role
// to each voter on PathLease. The lease counts from the time of sending once a
// majority has granted it. With Release set the holder gives the lease back.
type LeaseRequest struct {
	Request lease.Request `json:"Bid"`
	Release bool          `json:"Release,omitempty"`
}

// LeaseResponse is the voter's answer to a LeaseRequest. The voter answers
// only after its grant is on disk.
type LeaseResponse struct {
	Grant lease.Response `json:"Grant"`
	// Stamp orders the newest endpoint table that the voter holds. A new
	// holder of the polling lease continues from the newest of a majority.
	Stamp endpoints.Stamp `json:"Stamp"`
}

// LeaseRenewal is a lease request inside a Heartbeat. Its role is the key in
// Heartbeat.Renewals and its holder the heartbeat's sender.
type LeaseRenewal struct {
	Epoch int64 `json:"Epoch"`
	// Incarnation counts the starts of the holder's process under its identity.
	Incarnation int64 `json:"Life"`
	// VotersSlot is the slot that decided the set of voters that the holder
	// counts its majority in.
	VotersSlot int64 `json:"VotersSlot,omitempty"`
}
