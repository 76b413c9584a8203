package membership

// Report is what a node answers to a voter that evaluates an admission.
type Report struct {
	ID string `json:"ID"`
	// Slot is the last log slot that the node knows to be decided.
	Slot int64 `json:"Slot"`
	// Leaving reports whether the node drains.
	Leaving bool `json:"Leaving,omitempty"`
	// Suspected are the IDs of the voters that it has not heard for long.
	Suspected []string `json:"Silent,omitempty"`
}
