package control

import (
	"time"

	"swiftswitch/internal/handoff"
	"swiftswitch/internal/membership"
)

// peerState is what the last heartbeat of another control node said.
type peerState struct {
	id      string
	heardAt time.Duration
	// leaving: the node drains.
	leaving bool
	zone    string
	// slot is the last decided slot that the node knew.
	slot int64
}

// peerTable holds what this node knows of the other control nodes. It belongs
// to the server's command loop.
type peerTable struct {
	// byIP holds the nodes that were heard, by address. A node that lost its
	// disk comes back at the same address under another ID.
	byIP map[string]peerState
	// detector suspects voters that are silent for long. Only the evidence of
	// a majority's detectors takes a vote away.
	detector *membership.FailureDetector
	// handoff tracks up to which slot each node has the decided state on disk,
	// and which nodes a hinted handoff is under way to.
	handoff *handoff.Tracker
}

func newPeerTable(detector *membership.FailureDetector) peerTable {
	return peerTable{
		byIP:     map[string]peerState{},
		detector: detector,
		handoff:  handoff.NewTracker(),
	}
}

// forget drops a node that was not heard for long.
func (p *peerTable) forget(ip string) {
	delete(p.byIP, ip)
	p.handoff.Forget(ip)
}
