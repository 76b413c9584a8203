package control

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
)

// Times of a node that wants a vote, in heartbeat intervals.
const (
	// firstJoinHeartbeats is when a node that starts asks first, and
	// joinRetryHeartbeats when it asks again; both with jitter.
	firstJoinHeartbeats = 0.05
	joinRetryHeartbeats = 0.25
	// peekHeartbeats bounds the calls that ask others for their last slot, and
	// peekGraceHeartbeats how long the others' answers are waited for after
	// the first.
	peekHeartbeats      = 0.8
	peekGraceHeartbeats = 0.15
	// fetchStateHeartbeats bounds the transfer of the state.
	fetchStateHeartbeats = 1
	// joinHedgeHeartbeats is when a further voter is asked, where one takes long.
	joinHedgeHeartbeats = 0.8
)

// joinTimeoutRatio, of AcknowledgeMs, bounds one JoinRequest. It is above
// admissionTimeoutRatio, the time that the answering voter takes.
const joinTimeoutRatio = 0.4

// joinLoop requests a vote, after a catch-up, as long as this node has none.
func (s *Server) joinLoop() {
	wait := s.host.Heartbeats(firstJoinHeartbeats)
	for {
		jitter := 0.5 + rand.Float64()
		select {
		case <-s.host.Stopping:
			return
		case <-time.After(time.Duration(float64(wait) * jitter)):
		}
		wait = s.host.Heartbeats(joinRetryHeartbeats)
		if state := s.State(); state.IsVoter(s.acceptor.ID) || s.host.Draining.Load() {
			continue
		}
		if voters := s.catchUp(); len(voters) > 0 {
			s.requestVote(voters)
		}
	}
}

// otherControlIPs lists the control nodes that this node knows of, without itself.
func (s *Server) otherControlIPs() []string {
	self := s.host.Settings().IpAddress
	return slices.DeleteFunc(s.host.ControlIPs(), func(ip string) bool { return ip == self })
}

// peekedPeer is a control node that answered a peek.
type peekedPeer struct {
	ip       string
	response nodeapi.PeekResponse
}

// peekPeers asks all known control nodes at once for their last slot. Once one
// has answered, the others get a short grace: those that are down must not
// hold up the catch-up.
func (s *Server) peekPeers() (peers []peekedPeer) {
	ips := s.otherControlIPs()
	answers := make(chan *peekedPeer, len(ips))
	for _, ip := range ips {
		go func() {
			peer := peekedPeer{ip: ip}
			err := s.host.Client.CallJSON(s.host.Settings().InternalAddress(ip), nodeapi.PathPeek, struct{}{}, &peer.response, s.host.Heartbeats(peekHeartbeats))
			if err != nil {
				answers <- nil
				return
			}
			answers <- &peer
		}()
	}
	var grace <-chan time.Time
	for range ips {
		select {
		case peer := <-answers:
			if peer == nil {
				continue
			}
			peers = append(peers, *peer)
			if grace == nil {
				grace = time.After(s.host.Heartbeats(peekGraceHeartbeats))
			}
		case <-grace:
			return peers
		}
	}
	return peers
}

// catchUp takes over the newest state that a reachable node has and, once it
// is on disk, lists the addresses of the voters that answered, those that know
// the latest slot first. It lists none where the disk did not take the state.
func (s *Server) catchUp() (voters []string) {
	peers := s.peekPeers()
	slices.SortStableFunc(peers, func(a, b peekedPeer) int {
		return cmp.Compare(b.response.DecidedSlot, a.response.DecidedSlot)
	})
	state := s.State()
	for _, peer := range peers {
		if len(state.Voters) > 0 && peer.response.DecidedSlot <= state.Slot {
			break
		}
		slot, fetched := s.fetchState(peer.ip, state)
		if !fetched {
			continue
		}
		if s.waitDurable() < slot {
			return nil
		}
		events.Log(events.CaughtUp, "slot", slot, "from", peer.ip)
		state = s.State()
		break
	}
	for _, peer := range peers {
		if state.IsVoter(peer.response.AcceptorID) {
			voters = append(voters, peer.ip)
		}
	}
	return voters
}

// fetchState takes over the state of another node, as the difference to this
// node's own or, where that does not fit, as a whole. It returns the slot
// reached; ok is false where nothing was taken over.
func (s *Server) fetchState(ip string, own consensus.State) (slot int64, ok bool) {
	bases := []int64{own.Slot, consensus.NoSlot}
	if len(own.Voters) == 0 {
		bases = []int64{consensus.NoSlot}
	}
	for _, base := range bases {
		var delta nodeapi.StateDelta
		err := s.host.Client.CallJSON(s.host.Settings().InternalAddress(ip), nodeapi.PathState, nodeapi.StateRequest{Slot: base}, &delta, s.host.Heartbeats(fetchStateHeartbeats))
		if err != nil || base == consensus.NoSlot && len(delta.Voters) == 0 {
			return 0, false
		}
		s.loop.Call(func() { ok = s.applyStateDelta(&delta, "caught up") })
		if ok {
			return delta.Slot, true
		}
	}
	return 0, false
}

// requestVote asks the voters at these addresses for a vote, one after the
// other, and the next one also when one takes long. It returns once this node
// has a vote or all have answered.
func (s *Server) requestVote(voters []string) {
	answers := make(chan bool, len(voters))
	requested, answered := 0, 0
	for answered < len(voters) {
		if requested < len(voters) {
			ip := voters[requested]
			requested++
			go func() { answers <- s.sendJoin(ip) }()
		}
		select {
		case isVoter := <-answers:
			answered++
			if isVoter {
				return
			}
		case <-time.After(s.host.Heartbeats(joinHedgeHeartbeats)):
			if s.State().IsVoter(s.acceptor.ID) {
				return
			}
		case <-s.host.Stopping:
			return
		}
	}
}

// sendJoin asks one voter for a vote and reports whether this node has one then.
func (s *Server) sendJoin(ip string) bool {
	settings := s.host.Settings()
	request := nodeapi.JoinRequest{ID: s.acceptor.ID, IP: settings.IpAddress, DurableSlot: s.waitDurable()}
	timeout := config.Milliseconds(settings.Bounds.AcknowledgeMs, joinTimeoutRatio)
	var response nodeapi.JoinResponse
	err := s.host.Client.CallJSON(settings.InternalAddress(ip), nodeapi.PathJoin, request, &response, timeout)
	events.Log(events.JoinRequested, "of", ip, "votes", response.IsVoter, "err", err)
	return err == nil && response.IsVoter
}
