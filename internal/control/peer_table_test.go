package control

import (
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
)

// A node that lost its disk is known under its new identity alone.
func TestPeerTableIdentities(t *testing.T) {
	peers := newPeerTable(membership.NewFailureDetector(time.Second, 0))
	before, after := consensus.Voter{ID: "a1", IP: "ip-a"}, consensus.Voter{ID: "a2", IP: "ip-a"}
	if _, known := peers.voter(before); known {
		t.Error("a node is known before it was heard")
	}
	peers.onHeartbeat(nodeapi.Heartbeat{ID: "a1", IP: "ip-a", DecidedSlot: 7, Draining: true}, nil, time.Second)
	if peer, known := peers.voter(before); !known || !peer.leaving || peer.slot != 7 {
		t.Errorf("after its heartbeat: %+v, known: %v", peer, known)
	}
	peers.add("ip-a", "a1", 2*time.Second)
	if peer, _ := peers.voter(before); !peer.leaving {
		t.Error("a known node is made anew")
	}
	peers.add("ip-a", "a2", 2*time.Second)
	if peer, known := peers.voter(after); !known || peer.leaving {
		t.Errorf("its later identity: %+v, known: %v", peer, known)
	}
	if _, known := peers.voter(before); known {
		t.Error("its earlier identity is still known")
	}
}

// Nodes that drain, or were not heard lately, don't stay.
func TestStayingPeers(t *testing.T) {
	peers := newPeerTable(membership.NewFailureDetector(time.Second, 0))
	peers.onHeartbeat(nodeapi.Heartbeat{ID: "silent", IP: "ip-s"}, nil, time.Second)
	peers.onHeartbeat(nodeapi.Heartbeat{ID: "draining", IP: "ip-d", Draining: true}, nil, 3*time.Second)
	peers.onHeartbeat(nodeapi.Heartbeat{ID: "staying", IP: "ip-t"}, nil, 3*time.Second)
	if got := peers.staying(3*time.Second, 2*time.Second); len(got) != 1 || got[0] != "ip-t" {
		t.Errorf("%v", got)
	}
	peers.forget("ip-t")
	if got := peers.staying(3*time.Second, 2*time.Second); len(got) != 0 {
		t.Errorf("after it was forgotten: %v", got)
	}
}
