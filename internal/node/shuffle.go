package node

import (
	"math/rand/v2"
	"net/http"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// shuffleHeartbeats is the mean time between two shuffles and
	// shuffleTimeoutHeartbeats the timeout of one, in heartbeat intervals.
	shuffleHeartbeats        = 12
	shuffleTimeoutHeartbeats = 0.8
)

// shuffleLoop exchanges samples of the partial view with neighbours.
func (n *Node) shuffleLoop() {
	for {
		select {
		case <-n.Stopping:
			return
		case <-time.After(jitter(n.Heartbeats(shuffleHeartbeats))):
			n.shuffle()
		}
	}
}

// jitter returns a random duration between 0.75 and 1.25 of d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// shuffle exchanges samples with one neighbour, or with a seed node where the
// view is empty.
func (n *Node) shuffle() {
	var partner peersampling.Node
	var offer []peersampling.Node
	ok := false
	n.ViewLoop.Call(func() {
		n.addSeed()
		partner, offer, ok = n.View.BeginShuffle()
	})
	if !ok {
		return
	}
	var answer nodeapi.ShuffleMessage
	address := n.Settings().InternalAddress(partner.IP)
	err := n.Client.CallJSON(address, nodeapi.PathShuffle, nodeapi.ShuffleMessage{Nodes: offer}, &answer, n.Heartbeats(shuffleTimeoutHeartbeats))
	if err != nil {
		return // BeginShuffle has dropped the partner
	}
	n.ViewLoop.Call(func() { n.View.FinishShuffle(partner, answer.Nodes) })
}

// addSeed adds the first other seed node to an empty view. It must be called
// from ViewLoop.
func (n *Node) addSeed() {
	for _, ip := range n.Settings().SeedIPs() {
		if ip != n.Settings().IpAddress && len(n.View.Nodes()) == 0 {
			n.View.Add(peersampling.Node{Name: "seed-" + ip, IP: ip, IsControl: true})
		}
	}
}

func (n *Node) handleShuffle(c *app.RequestContext) {
	var message nodeapi.ShuffleMessage
	if !transport.ReadJSON(c, &message) {
		return
	}
	var answer []peersampling.Node
	n.ViewLoop.Call(func() { answer = n.View.HandleShuffle(message.Nodes) })
	transport.WriteJSON(c, http.StatusOK, nodeapi.ShuffleMessage{Nodes: answer})
}
