package peersampling

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// View is one node's partial view of the others. It holds at most one entry by
// address, and none of the node itself. It is not safe for concurrent use.
type View struct {
	// Self is the entry that other nodes get of this one; its age stays 0.
	Self Node

	capacity      int
	shuffleLength int
	nodes         []Node
	// offered are the entries sent to the partner of the shuffle in progress.
	offered []Node
}

// NewView makes an empty view that holds at most capacity entries. A shuffle
// exchanges up to shuffleLength of them.
func NewView(self Node, capacity, shuffleLength int) *View {
	return &View{Self: self, capacity: capacity, shuffleLength: shuffleLength}
}

// Nodes lists the entries; it is nil where there are none.
func (v *View) Nodes() []Node { return append([]Node(nil), v.nodes...) }

// ControlIPs lists the addresses of the known nodes that keep state, youngest
// entry first.
func (v *View) ControlIPs() []string {
	nodes := v.Nodes()
	slices.SortStableFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Age, b.Age) })
	var ips []string
	for _, n := range nodes {
		if n.IsControl {
			ips = append(ips, n.IP)
		}
	}
	return ips
}

// Add takes an entry that was learned in another way than by a shuffle.
func (v *View) Add(n Node) { v.merge([]Node{n}, nil) }

// BeginShuffle starts a shuffle: all entries age, and the oldest becomes the
// partner and leaves the view, so that a node that is gone is dropped without
// an answer. The offer to the partner is some other entries and a fresh one of
// this node. ok is false where the view is empty.
func (v *View) BeginShuffle() (partner Node, offer []Node, ok bool) {
	if len(v.nodes) == 0 {
		return Node{}, nil, false
	}
	for i := range v.nodes {
		v.nodes[i].Age++
	}
	oldest := v.oldest()
	partner = v.nodes[oldest]
	v.nodes = slices.Delete(v.nodes, oldest, oldest+1)
	offer = append(v.sample(v.shuffleLength-1), v.Self)
	v.offered = offer
	return partner, offer, true
}

// HandleShuffle takes the offer of a node that shuffles with this one, and
// returns the entries to answer with.
func (v *View) HandleShuffle(offer []Node) []Node {
	answer := v.sample(v.shuffleLength)
	v.merge(offer, answer)
	return answer
}

// FinishShuffle takes the partner's answer. The partner is alive, and returns
// to the view with age 0.
func (v *View) FinishShuffle(partner Node, answer []Node) {
	partner.Age = 0
	v.merge(append([]Node{partner}, answer...), v.offered)
	v.offered = nil
}

// oldest is the index of the first entry of the greatest age; the view is not empty.
func (v *View) oldest() int {
	oldest := 0
	for i := range v.nodes {
		if v.nodes[i].Age > v.nodes[oldest].Age {
			oldest = i
		}
	}
	return oldest
}

// sample draws up to n entries at random.
func (v *View) sample(n int) []Node {
	var out []Node
	for _, i := range rand.Perm(len(v.nodes)) {
		if len(out) >= n {
			break
		}
		out = append(out, v.nodes[i])
	}
	return out
}

// merge adds entries. Where the view is full, they take the places of those
// that were given away, or else of older ones.
func (v *View) merge(received, givenAway []Node) {
	for _, n := range received {
		if n.IP == v.Self.IP || n.IP == "" {
			continue
		}
		switch known := v.indexOf(n.IP); {
		case known >= 0:
			// A node that came back under another name keeps no old entry.
			if n.Age < v.nodes[known].Age || n.Name != v.nodes[known].Name {
				v.nodes[known] = n
			}
		case len(v.nodes) < v.capacity:
			v.nodes = append(v.nodes, n)
		default:
			if place, ok := v.placeFor(n, givenAway); ok {
				v.nodes[place] = n
			}
		}
	}
}

// indexOf is the index of the entry with that address, or -1.
func (v *View) indexOf(ip string) int {
	return slices.IndexFunc(v.nodes, func(n Node) bool { return n.IP == ip })
}

// placeFor chooses the entry of a full view that a new one replaces: the last
// that was given away, or else the oldest, if that is older than the new one.
func (v *View) placeFor(n Node, givenAway []Node) (place int, ok bool) {
	for _, given := range slices.Backward(givenAway) {
		if i := v.indexOf(given.IP); i >= 0 {
			return i, true
		}
	}
	oldest := v.oldest()
	return oldest, v.nodes[oldest].Age > n.Age
}
