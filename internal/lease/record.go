package lease

// Record is what a voter keeps on disk of a role: the highest epoch that it
// granted, and to which incarnation of which holder.
type Record struct {
	Epoch       int64  `json:"Epoch"`
	Holder      string `json:"Holder"`
	Incarnation int64  `json:"Life"`
}
