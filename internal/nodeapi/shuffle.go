package nodeapi

import "swiftswitch/internal/peersampling"

// ShuffleMessage is sent by any node to a random neighbour of its partial view
// on PathShuffle, about every 12 heartbeats. Both directions carry a sample of
// the sender's view, which the receiver merges into its own.
type ShuffleMessage struct {
	Nodes []peersampling.Node `json:"Nodes"`
}
