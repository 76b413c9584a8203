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

// Value is what a slot decides: one of a configuration change, a set of
// voters, a batch of purges, the set of cache nodes, and a step of a rollout.
// State.Apply looks at them in the order Voters, Rollout, CacheNodes, Purges.
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
}

// Equal reports whether two values are the same in every field.
func (v Value) Equal(o Value) bool { return reflect.DeepEqual(v, o) }
