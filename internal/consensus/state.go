package consensus

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
)

// Ballot orders the rounds for one slot. No ballot is ever used twice: N rises
// within one life of a proposer, and Life, which is on its disk before the
// first use, tells its lives apart. So whoever accepted a value under a ballot
// knows what was chosen under it.
type Ballot struct {
	Round       int64  `json:"N"`
	ProposerID  string `json:"By"`
	Incarnation int64  `json:"Life,omitempty"`
}

// Less tells whether b is below o.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.ProposerID, o.ProposerID), cmp.Compare(b.Incarnation, o.Incarnation)) < 0
}

// String shows a ballot to operators; none is empty.
func (b Ballot) String() string {
	if b == (Ballot{}) {
		return ""
	}
	return fmt.Sprintf("%d of %s, life %d", b.Round, b.ProposerID, b.Incarnation)
}

// Voter is a node that votes, under the identity its disk was given.
type Voter struct {
	ID string `json:"ID"`
	IP string `json:"IP"`
}

// Purge names copies that may not be served any more: one object by host and
// path, or all that carry a tag.
type Purge struct {
	// Seq numbers the purges; it is given when the slot is decided.
	Seq int64 `json:"N,omitempty"`
	// Slot decided it.
	Slot int64 `json:"Slot,omitempty"`
	// ID is drawn by whoever took the operator's call, to know it again.
	ID   string `json:"ID"`
	Host string `json:"Host,omitempty"`
	Path string `json:"Path,omitempty"`
	Tag  string `json:"Tag,omitempty"`
}

// CacheNode is a node that keeps copies and may fetch.
type CacheNode struct {
	Name string `json:"Name"`
	IP   string `json:"IP"`
	Zone string `json:"Zone"`
}

// Value is what a slot decides: a configuration on top of Base, a set of
// voters, some purges, the set of larders, or a step of a rollout.
type Value struct {
	Version     int64  `json:"Version,omitempty"`
	BaseVersion int64  `json:"Base,omitempty"`
	Body        string `json:"Body,omitempty"`
	// RequestFingerprint is the fingerprint of the operator's call where that is not Body itself.
	RequestFingerprint string      `json:"Sent,omitempty"`
	Voters             []Voter     `json:"Voters,omitempty"`
	Purges             []Purge     `json:"Purges,omitempty"`
	CacheNodes         []CacheNode `json:"Larders,omitempty"`
	// NoCacheNodes: the set of larders is empty.
	NoCacheNodes bool `json:"NoLarders,omitempty"`
	// Rollout is an order (without N), or the next phase of one.
	Rollout *Rollout `json:"Rollout,omitempty"`
}

// Equal compares two values.
func (v Value) Equal(o Value) bool { return reflect.DeepEqual(v, o) }

// AppliedChange remembers a configuration that was chosen, to know its resends.
type AppliedChange struct {
	Version     int64  `json:"Version"`
	BaseVersion int64  `json:"Base"`
	Fingerprint string `json:"Sum"`
	// Slot decided it.
	Slot int64 `json:"Slot,omitempty"`
}

// TakenKept bounds how many chosen configurations are remembered: two days of
// 2,000 changes each, about a quarter of a megabyte. purgesKept bounds the purges.
const (
	MaxAppliedChanges = 4096
	maxPurges         = 256
)

// State is all that the decided slots say.
type State struct {
	// Slot is the last decided slot; the open one follows it.
	Slot   int64   `json:"Slot"`
	Voters []Voter `json:"Voters"`
	// VotersSlot decided the present voters.
	VotersSlot int64  `json:"VotersSlot,omitempty"`
	Version    int64  `json:"Version"`
	Body       string `json:"Body,omitempty"`
	// AppliedCount counts the configurations that were chosen; Taken holds the newest ones.
	AppliedCount   int64           `json:"TakenSeq,omitempty"`
	AppliedChanges []AppliedChange `json:"Taken,omitempty"`
	// PurgeSeq is the number of the last purge; Purges holds the newest ones.
	PurgeSeq   int64       `json:"PurgeSeq,omitempty"`
	Purges     []Purge     `json:"Purges,omitempty"`
	CacheNodes []CacheNode `json:"Larders,omitempty"`
	// Rollouts holds each service's last order, those changed last at the end.
	Rollouts []Rollout `json:"Rollouts,omitempty"`
	// PastOrders holds the last few orders of each service, the newest at the end.
	PastOrders []PastOrder `json:"Ordered,omitempty"`
}

// CompactedPurgeSeq is the number of the last purge that is no longer held.
func (s State) CompactedPurgeSeq() int64 { return s.PurgeSeq - int64(len(s.Purges)) }

// PurgesAfter lists the purges held with a number above n.
func (s State) PurgesAfter(n int64) []Purge {
	return s.Purges[min(max(0, n-s.CompactedPurgeSeq()), int64(len(s.Purges))):]
}

// HasPurge tells whether the purge of that call is among those held.
func (s State) HasPurge(id string) bool {
	for i := len(s.Purges) - 1; i >= 0; i-- {
		if s.Purges[i].ID == id {
			return true
		}
	}
	return false
}

// Fingerprint is the fingerprint under which a configuration is remembered.
func Fingerprint(body string) string {
	h := sha256.Sum256([]byte(body))
	return hex.EncodeToString(h[:16])
}

// Apply gives the state after the next slot decided v. A configuration that
// builds on another version than the one in place changes nothing: whatever a
// proposer overlooked, of two changes on one base only the first counts.
func (s State) Apply(v Value) State {
	n := s
	n.Slot++
	switch {
	case len(v.Voters) > 0:
		n.Voters, n.VotersSlot = v.Voters, n.Slot
		return n
	case v.Rollout != nil:
		n.applyRollout(*v.Rollout)
		return n
	case len(v.CacheNodes) > 0 || v.NoCacheNodes:
		n.CacheNodes = v.CacheNodes
		return n
	case len(v.Purges) > 0:
		n.Purges = append([]Purge(nil), s.Purges...)
		for _, p := range v.Purges {
			n.PurgeSeq++
			p.Seq, p.Slot = n.PurgeSeq, n.Slot
			n.Purges = append(n.Purges, p)
		}
		n.Purges = n.Purges[max(0, len(n.Purges)-maxPurges):]
		return n
	}
	if v.BaseVersion != s.Version || v.Version <= s.Version {
		return n
	}
	n.Version, n.Body = v.Version, v.Body
	sum := v.RequestFingerprint
	if sum == "" {
		sum = Fingerprint(v.Body)
	}
	n.rememberChanges(AppliedChange{v.Version, v.BaseVersion, sum, n.Slot})
	return n
}

// rememberChanges remembers chosen configurations; those before are never changed in place.
func (s *State) rememberChanges(more ...AppliedChange) {
	s.AppliedCount += int64(len(more))
	all := make([]AppliedChange, 0, len(s.AppliedChanges)+len(more))
	all = append(append(all, s.AppliedChanges...), more...)
	s.AppliedChanges = all[max(0, len(all)-MaxAppliedChanges):]
}

// HasApplied tells whether the change that came by the call with that fingerprint was chosen earlier.
func (s State) HasApplied(version, base int64, sum string) bool {
	for i := len(s.AppliedChanges) - 1; i >= 0; i-- {
		if t := s.AppliedChanges[i]; t.Version == version && t.BaseVersion == base && t.Fingerprint == sum {
			return true
		}
	}
	return false
}

// IsVoter tells whether id is among the voters.
func (s State) IsVoter(id string) bool {
	for _, v := range s.Voters {
		if v.ID == id {
			return true
		}
	}
	return false
}

// Genesis is the state before the first slot.
func Genesis(ips []string) State {
	var s State
	for _, ip := range ips {
		s.Voters = append(s.Voters, Voter{ID: GenesisID(ip), IP: ip})
	}
	return s
}

// GenesisID is the identity of a node at the first start of the whole system.
func GenesisID(ip string) string { return "first-" + ip }
