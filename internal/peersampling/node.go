package peersampling

// Node is one entry of a view, as it is sent between nodes. A node is known by
// its address; the name tells apart those that had the address one after another.
type Node struct {
	Name string `json:"Name"`
	IP   string `json:"IP"`
	Zone string `json:"Zone"`
	// IsControl tells whether the node is a control node: it keeps state on disk.
	IsControl bool `json:"Hut,omitempty"`
	// Age counts the shuffles that holders of the entry began since the node
	// issued it or answered a shuffle.
	Age int `json:"Age"`
}
