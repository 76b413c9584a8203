package peersampling

import (
	"fmt"
	"testing"
)

// Nodes that know one seed only come to know many, and a silent one is forgotten.
func TestShuffles(t *testing.T) {
	views := map[string]*View{}
	var ips []string
	for i := 0; i < 12; i++ {
		ip := fmt.Sprintf("10.0.0.%d", i)
		ips = append(ips, ip)
		views[ip] = NewView(Node{Name: ip, IP: ip, IsControl: i < 3}, 6, 3)
		views[ip].Add(Node{Name: "seed", IP: "10.0.0.0", IsControl: true})
	}
	round := func(dead string) {
		for _, ip := range ips {
			if ip == dead {
				continue
			}
			p, offer, ok := views[ip].BeginShuffle()
			if !ok || p.IP == dead {
				continue
			}
			views[ip].FinishShuffle(p, views[p.IP].HandleShuffle(offer))
		}
	}
	for i := 0; i < 30; i++ {
		round("")
	}
	for ip, v := range views {
		if n := len(v.Nodes()); n < 4 || n > 6 {
			t.Fatalf("%s knows %d nodes", ip, n)
		}
		for _, n := range v.Nodes() {
			if n.IP == ip {
				t.Fatalf("%s knows itself", ip)
			}
		}
	}
	for i := 0; i < 60; i++ {
		round("10.0.0.5")
	}
	know := 0
	for ip, v := range views {
		for _, n := range v.Nodes() {
			if ip != "10.0.0.5" && n.IP == "10.0.0.5" {
				know++
			}
		}
	}
	if know > 2 {
		t.Fatalf("%d views still hold a node that is gone", know)
	}
}
