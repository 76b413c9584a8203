package consensus

import "reflect"

// Voter is a node that votes, under the identity that was drawn with its disk.
type Voter struct {
	ID string `json:"ID"`
	IP string `json:"IP"`
}

// CacheNode is a node that caches objects and may fetch them.
type CacheNode struct {
	Name string `json:"Name"`
	IP   string `json:"IP"`
	Zone string `json:"Zone"`
}

// Format numbers the kinds of values that State.Apply of this program knows. An
// earlier program takes a value of a kind that it does not know for one that
// changes nothing, so such a value must not be proposed while a node runs it.
//
// Format 1 added RetiredOrderSlot.
const Format = 1

// Value is what a slot decides: one of a configuration change, a set of
// voters, a batch of purges, the set of cache nodes, a step of a rollout, and
// the retirement of past orders. State.Apply looks at them in the order Voters,
// Rollout, CacheNodes, Purges, RetiredOrderSlot.
type Value struct {
	// Version and Body are the new configuration; it builds on BaseVersion.
	Version     int64  `json:"Version,omitempty"`
	BaseVersion int64  `json:"Base,omitempty"`
	Body        string `json:"Body,omitempty"`
	// RequestFingerprint is the Fingerprint of the operator's request where
	// that is not Body itself.
	RequestFingerprint string `json:"Sent,omitempty"`

	Voters     []Voter     `json:"Voters,omitempty"`
	Purges     []Purge     `json:"Purges,omitempty"`
	CacheNodes []CacheNode `json:"Larders,omitempty"`
	// NoCacheNodes: the set of cache nodes becomes empty.
	NoCacheNodes bool `json:"NoLarders,omitempty"`
	// Rollout is an order (OrderSlot is 0), or the next phase of one.
	Rollout *Rollout `json:"Rollout,omitempty"`
	// RetiredOrderSlot retires the orders that were decided up to that slot. An
	// order bears that of the state which it was proposed on, so that every node
	// comes to the same result.
	RetiredOrderSlot int64 `json:"OrdersRetired,omitempty"`
}

// Equal reports whether two values are the same in every field.
func (v Value) Equal(o Value) bool { return reflect.DeepEqual(v, o) }
