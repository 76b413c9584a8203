package nodeapi

// JoinRequest is sent by a control node without a vote to one that it knows,
// on PathJoin: it asks to be admitted as a voter.
type JoinRequest struct {
	ID string `json:"ID"`
	IP string `json:"IP"`
	// DurableSlot is the last decided slot whose state is on the sender's
	// disk. A node too far behind is sent the state before it is admitted.
	DurableSlot int64 `json:"Slot"`
}

// JoinResponse answers a JoinRequest after the proposal it led to, if any.
type JoinResponse struct {
	// IsVoter reports whether the sender of the request has a vote now.
	IsVoter bool `json:"Votes"`
	// DecidedSlot is the last slot that the answering node knows to be decided.
	DecidedSlot int64 `json:"Slot"`
}
