package control

import (
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/handoff"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
)

// peerState is what the last heartbeat of another control node reported.
type peerState struct {
	id      string
	heardAt time.Duration
	// leaving: the node drains.
	leaving bool
	zone    string
	// slot is the last decided slot that the node knew.
	slot int64
	// format is the consensus.Format of its program.
	format int
	// clock is the node's clock when it sent its last heartbeat, to be echoed;
	// nil if it sent none.
	clock *nodeapi.ClockReading
	// contact is what it knew last, as far as that can be dated; nil if it can't.
	contact *membership.Contact
}

// peerTable holds what this node knows of the other control nodes. It belongs
// to the server's command loop.
type peerTable struct {
	// byIP holds the nodes that were heard, by address. A node that lost its
	// disk comes back at the same address under another ID.
	byIP map[string]peerState
	// detector suspects voters that are silent for long. Only the suspicion of
	// a majority takes a vote away.
	detector *membership.FailureDetector
	// handoff tracks up to which slot each node has the decided state on disk,
	// and which nodes a hinted handoff is in progress to.
	handoff *handoff.Tracker
}

func newPeerTable(detector *membership.FailureDetector) peerTable {
	return peerTable{
		byIP:     map[string]peerState{},
		detector: detector,
		handoff:  handoff.NewTracker(),
	}
}

// onHeartbeat records the heartbeat of another node; contact is what it knew, nil
// where that can't be dated.
func (p *peerTable) onHeartbeat(heartbeat nodeapi.Heartbeat, contact *membership.Contact, now time.Duration) {
	if known, ok := p.byIP[heartbeat.IP]; ok && known.id == heartbeat.ID {
		contact = laterContact(known.contact, contact)
	}
	p.byIP[heartbeat.IP] = peerState{
		id:      heartbeat.ID,
		heardAt: now,
		leaving: heartbeat.Draining,
		zone:    heartbeat.Zone,
		slot:    heartbeat.DecidedSlot,
		format:  heartbeat.Format,
		clock:   heartbeat.Clock,
		contact: contact,
	}
	p.detector.OnHeartbeat(heartbeat.ID, now)
}

// laterContact returns the later of two contacts: heartbeats may arrive out of
// order. Either may be nil.
func laterContact(a, b *membership.Contact) *membership.Contact {
	if b == nil || a != nil && a.At > b.At {
		return a
	}
	return b
}

// contacts returns what the voters of a state knew last, by ID, as far as it can
// be dated.
func (p *peerTable) contacts(state consensus.State) map[string]membership.Contact {
	contacts := map[string]membership.Contact{}
	for _, v := range state.Voters {
		if peer, ok := p.voter(v); ok && peer.contact != nil {
			contacts[v.ID] = *peer.contact
		}
	}
	return contacts
}

// add notes a node that made itself known by another call than a heartbeat. A
// node that is known under this identity stays as it is.
func (p *peerTable) add(ip, id string, now time.Duration) {
	if known, ok := p.byIP[ip]; !ok || known.id != id {
		p.byIP[ip] = peerState{id: id, heardAt: now}
	}
}

// voter returns what is known of another voter; ok is false where its address
// was not heard, or was heard under another identity.
func (p *peerTable) voter(v consensus.Voter) (peer peerState, ok bool) {
	peer, heard := p.byIP[v.IP]
	if !heard || peer.id != v.ID {
		return peerState{}, false
	}
	return peer, true
}

// allApply reports whether the programs of all nodes that were heard apply the
// values of a format.
func (p *peerTable) allApply(format int) bool {
	for _, peer := range p.byIP {
		if peer.format < format {
			return false
		}
	}
	return true
}

// staying lists the addresses of the nodes that don't drain and were heard
// within the time given.
func (p *peerTable) staying(now, within time.Duration) (ips []string) {
	for ip, peer := range p.byIP {
		if !peer.leaving && now-peer.heardAt < within {
			ips = append(ips, ip)
		}
	}
	return ips
}

// forget drops a node that was not heard for long.
func (p *peerTable) forget(ip string) {
	delete(p.byIP, ip)
	p.handoff.Forget(ip)
}
