package lease

// Request asks a voter for the lease of a role under an epoch; the same
// request again renews the lease.
type Request struct {
	Role   string `json:"Duty"`
	Epoch  int64  `json:"Epoch"`
	Holder string `json:"Holder"`
	// Incarnation numbers the starts of the holder's process. It is on the
	// holder's disk, so that no two starts bear the same number.
	Incarnation int64 `json:"Life"`
	// VotersSlot is the log slot that decided the voters that are asked.
	VotersSlot int64 `json:"VotersSlot"`
}

// record is what a voter that grants the request keeps.
func (r Request) record() Record { return Record{r.Epoch, r.Holder, r.Incarnation} }

// Response is a voter's answer to a request.
type Response struct {
	Voter   string `json:"Voter"`
	Granted bool   `json:"OK"`
	// Record is what the voter granted last. Where Granted is false it says
	// nothing of a lease.
	Record Record `json:"Record"`
	// VotersSlot is the log slot that decided the newest voters that this one
	// knows.
	VotersSlot int64 `json:"VotersSlot"`
}
