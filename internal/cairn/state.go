package cairn

import (
	"crypto/sha256"
	"encoding/hex"
)

// Ballot orders the rounds for one slot.
type Ballot struct {
	N  int64
	By string
}

// Less tells whether b is below o.
func (b Ballot) Less(o Ballot) bool { return b.N < o.N || b.N == o.N && b.By < o.By }

// Voter is a node that votes, under the identity its disk was given.
type Voter struct {
	ID string
	IP string
}

// Value is what a slot decides: a configuration on top of Base, or a set of voters.
type Value struct {
	Version int64   `json:",omitempty"`
	Base    int64   `json:",omitempty"`
	Body    string  `json:",omitempty"`
	Voters  []Voter `json:",omitempty"`
}

// Equal compares two values.
func (v Value) Equal(o Value) bool {
	return v.Version == o.Version && v.Base == o.Base && v.Body == o.Body && sameVoters(v.Voters, o.Voters)
}

func sameVoters(a, b []Voter) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Taken remembers a configuration that was chosen, to know its resends.
type Taken struct {
	Version int64
	Base    int64
	Sum     string
}

// takenKept bounds how many chosen configurations are remembered.
const takenKept = 256

// State is all that the decided slots say.
type State struct {
	// Slot is the last decided slot; the open one follows it.
	Slot    int64
	Voters  []Voter
	Version int64
	Body    string
	Taken   []Taken
}

// Sum is the fingerprint under which a configuration is remembered.
func Sum(body string) string {
	h := sha256.Sum256([]byte(body))
	return hex.EncodeToString(h[:16])
}

// Apply gives the state after the next slot decided v.
func (s State) Apply(v Value) State {
	n := s
	n.Slot++
	if len(v.Voters) > 0 {
		n.Voters = v.Voters
		return n
	}
	n.Version, n.Body = v.Version, v.Body
	from := max(0, len(s.Taken)+1-takenKept)
	n.Taken = append(append([]Taken(nil), s.Taken[from:]...), Taken{v.Version, v.Base, Sum(v.Body)})
	return n
}

// Has tells whether that very configuration was chosen earlier.
func (s State) Has(version, base int64, body string) bool {
	sum := Sum(body)
	for i := len(s.Taken) - 1; i >= 0; i-- {
		if t := s.Taken[i]; t.Version == version && t.Base == base && t.Sum == sum {
			return true
		}
	}
	return false
}

// Votes tells whether id is among the voters.
func (s State) Votes(id string) bool {
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
