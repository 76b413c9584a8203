package endpoints

import "cmp"

// Stamp is the logical timestamp of a table. The node that holds the lease of
// polling the platform's list makes the tables; the lease's epoch is a fencing
// token, so the tables of a newer holder are above all those of an older one.
type Stamp struct {
	// Epoch is the epoch of the lease under which the table was made.
	Epoch int64 `json:"Epoch"`
	// Holder is the node that made the table. It breaks ties between two nodes
	// that claimed the same epoch.
	Holder string `json:"By"`
	// Sequence counts the tables that this node made in this epoch, from 1.
	Sequence int64 `json:"Seq"`
}

// Before reports whether s is older than o. The order is total.
func (s Stamp) Before(o Stamp) bool {
	return cmp.Or(cmp.Compare(s.Epoch, o.Epoch), cmp.Compare(s.Holder, o.Holder), cmp.Compare(s.Sequence, o.Sequence)) < 0
}
