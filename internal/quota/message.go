package quota

// Report is what a front tells the holder of the ledger about its shares. The JSON
// keys are short because reports are frequent.
type Report struct {
	// Front is the address of the front, Incarnation a number that is drawn for each
	// run of its process, and Seq grows with each report of that run.
	Front       string `json:"F"`
	Incarnation int64  `json:"I"`
	Seq         int64  `json:"S"`
	// Answered is the Seq of the last report whose answer the front took. It never
	// takes an answer to an earlier one afterwards.
	Answered int64 `json:"B,omitempty"`
	// Epoch is that of the last holder that answered.
	Epoch int64 `json:"E"`
	// Full: the demands name all tenants that the front has tokens of. Otherwise
	// they name those of which something changed since the last answer.
	Full    bool     `json:"A,omitempty"`
	Demands []Demand `json:"D,omitempty"`
}

// Demand is what a front has of one tenant's tokens, and wants.
type Demand struct {
	Tenant string `json:"T"`
	// Stock counts the unspent tokens.
	Stock int `json:"S,omitempty"`
	// Waiting counts the requests that wait for a token, Wanted the tokens that
	// the front would like to have in stock besides.
	Waiting int `json:"W,omitempty"`
	Wanted  int `json:"M,omitempty"`
}

// Answer is the holder's answer to a Report.
type Answer struct {
	// Epoch is the fencing token of the holder's lease, 0 where the node that
	// answers is not the holder.
	Epoch int64 `json:"E,omitempty"`
	// Holder is the address of the node that has the lease as far as the answering
	// one knows, if it is another.
	Holder string `json:"H,omitempty"`
	// NeedsFull: the report was not taken, since the holder knows nothing of the
	// front's stock; a full one is.
	NeedsFull bool `json:"A,omitempty"`
	// Unsure: the holder does not know yet what fronts have of earlier holders. Where
	// it has no token for a request the quota may allow the request all the same.
	Unsure bool    `json:"N,omitempty"`
	Grants []Grant `json:"G,omitempty"`
}

// Grant gives a front tokens of one tenant.
type Grant struct {
	Tenant string `json:"T"`
	// Waiting is for requests that wait, Stock to be saved up.
	Waiting int `json:"W,omitempty"`
	Stock   int `json:"S,omitempty"`
	// RetryAfterMs is set where requests found no token: when the next comes in.
	RetryAfterMs int64 `json:"R,omitempty"`
}
