package peersampling

import (
	"math/rand/v2"
	"sort"
)

// Node is one entry of a view.
type Node struct {
	Name string
	IP   string
	Zone string
	// IsControl tells whether the node keeps state.
	IsControl bool `json:",omitempty"`
	Age       int
}

// View is a partial view of the nodes.
type View struct {
	Self  Node
	size  int
	swap  int
	nodes []Node
	sent  []Node
}

// NewView makes a view that holds at most size entries and shuffles swap of them.
func NewView(self Node, size, swap int) *View { return &View{Self: self, size: size, swap: swap} }

// Nodes lists the entries.
func (v *View) Nodes() []Node { return append([]Node(nil), v.nodes...) }

// ControlIPs lists the IPs of the known nodes that keep state, youngest entry first.
func (v *View) ControlIPs() []string {
	l := v.Nodes()
	sort.SliceStable(l, func(i, j int) bool { return l[i].Age < l[j].Age })
	var out []string
	for _, n := range l {
		if n.IsControl {
			out = append(out, n.IP)
		}
	}
	return out
}

// Add takes an entry that was learned in another way.
func (v *View) Add(n Node) { v.merge([]Node{n}, nil) }

// Drop removes a node that does not answer.
func (v *View) Drop(ip string) {
	for i, n := range v.nodes {
		if n.IP == ip {
			v.nodes = append(v.nodes[:i], v.nodes[i+1:]...)
			return
		}
	}
}

// BeginShuffle begins a shuffle: everything ages, the oldest entry becomes the
// partner and leaves the view, and some entries go to it with a fresh one of
// this node.
func (v *View) BeginShuffle() (partner Node, offer []Node, ok bool) {
	if len(v.nodes) == 0 {
		return Node{}, nil, false
	}
	old := 0
	for i := range v.nodes {
		v.nodes[i].Age++
		if v.nodes[i].Age > v.nodes[old].Age {
			old = i
		}
	}
	partner = v.nodes[old]
	v.nodes = append(v.nodes[:old], v.nodes[old+1:]...)
	offer = append(v.pick(v.swap-1, partner.IP), v.Self)
	v.sent = offer
	return partner, offer, true
}

// HandleShuffle takes a partner's offer and gives entries in return.
func (v *View) HandleShuffle(offer []Node) []Node {
	give := v.pick(v.swap, "")
	v.merge(offer, give)
	return give
}

// FinishShuffle takes what the partner gave; the partner itself is alive and comes back in.
func (v *View) FinishShuffle(partner Node, got []Node) {
	partner.Age = 0
	v.merge(append([]Node{partner}, got...), v.sent)
	v.sent = nil
}

func (v *View) pick(n int, not string) []Node {
	var out []Node
	for _, i := range rand.Perm(len(v.nodes)) {
		if len(out) >= n {
			break
		}
		if v.nodes[i].IP != not {
			out = append(out, v.nodes[i])
		}
	}
	return out
}

// merge adds entries, in the place of those that were given away where the view is full.
func (v *View) merge(in, given []Node) {
	for _, n := range in {
		if n.IP == v.Self.IP || n.IP == "" {
			continue
		}
		at := -1
		for i := range v.nodes {
			if v.nodes[i].IP == n.IP {
				at = i
			}
		}
		switch {
		case at >= 0:
			if n.Age < v.nodes[at].Age || v.nodes[at].Name != n.Name {
				v.nodes[at] = n
			}
		case len(v.nodes) < v.size:
			v.nodes = append(v.nodes, n)
		default:
			out := -1
			for _, g := range given {
				for i := range v.nodes {
					if v.nodes[i].IP == g.IP {
						out = i
					}
				}
			}
			if out < 0 {
				for i := range v.nodes {
					if out < 0 || v.nodes[i].Age > v.nodes[out].Age {
						out = i
					}
				}
				if v.nodes[out].Age <= n.Age {
					continue
				}
			}
			v.nodes[out] = n
		}
	}
}
