package peersampling

import (
	"fmt"
	"testing"
)

const (
	testNodes         = 12
	testControlNodes  = 3
	testCapacity      = 6
	testShuffleLength = 3
)

// overlay is some nodes that know one seed only, and shuffle without a network.
type overlay struct {
	ips   []string
	views map[string]*View
}

func newOverlay() *overlay {
	o := &overlay{views: map[string]*View{}}
	for i := range testNodes {
		ip := fmt.Sprintf("10.0.0.%d", i)
		o.ips = append(o.ips, ip)
		o.views[ip] = NewView(Node{Name: ip, IP: ip, IsControl: i < testControlNodes}, testCapacity, testShuffleLength)
		o.views[ip].Add(Node{Name: "seed", IP: "10.0.0.0", IsControl: true})
	}
	return o
}

// shuffle lets each node start one shuffle; the dead one neither starts any nor answers.
func (o *overlay) shuffle(dead string) {
	for _, ip := range o.ips {
		if ip == dead {
			continue
		}
		partner, offer, ok := o.views[ip].BeginShuffle()
		if !ok || partner.IP == dead {
			continue
		}
		o.views[ip].FinishShuffle(partner, o.views[partner.IP].HandleShuffle(offer))
	}
}

// Nodes that know one seed only come to know many, and one that is gone is forgotten.
func TestShuffles(t *testing.T) {
	o := newOverlay()
	for range 30 {
		o.shuffle("")
	}
	for ip, v := range o.views {
		if n := len(v.Nodes()); n < 4 || n > testCapacity {
			t.Fatalf("%s knows %d nodes", ip, n)
		}
		for _, n := range v.Nodes() {
			if n.IP == ip {
				t.Fatalf("%s knows itself", ip)
			}
		}
	}
	const dead = "10.0.0.5"
	for range 60 {
		o.shuffle(dead)
	}
	knownBy := 0
	for ip, v := range o.views {
		for _, n := range v.Nodes() {
			if ip != dead && n.IP == dead {
				knownBy++
			}
		}
	}
	if knownBy > 2 {
		t.Fatalf("%d views still hold a node that is gone", knownBy)
	}
}

func TestFullViewKeepsYoungerEntries(t *testing.T) {
	v := NewView(Node{IP: "self"}, 2, 2)
	v.Add(Node{IP: "a", Age: 5})
	v.Add(Node{IP: "b", Age: 3})
	v.Add(Node{IP: "self", Age: 0})
	v.Add(Node{IP: "c", Age: 5})
	if v.indexOf("c") >= 0 || v.indexOf("self") >= 0 {
		t.Fatalf("an entry no younger than the oldest, or of the node itself, was taken: %v", v.Nodes())
	}
	v.Add(Node{IP: "c", Age: 4})
	if v.indexOf("a") >= 0 || v.indexOf("c") < 0 || v.indexOf("b") < 0 {
		t.Fatalf("a younger entry did not replace the oldest: %v", v.Nodes())
	}
}

func TestControlIPsYoungestFirst(t *testing.T) {
	v := NewView(Node{IP: "self"}, 4, 2)
	v.Add(Node{IP: "a", IsControl: true, Age: 2})
	v.Add(Node{IP: "b", Age: 0})
	v.Add(Node{IP: "c", IsControl: true, Age: 1})
	if got := fmt.Sprint(v.ControlIPs()); got != "[c a]" {
		t.Fatalf("control nodes %s, want [c a]", got)
	}
}
