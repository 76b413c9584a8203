package node

import (
	"encoding/json"
	"time"

	"swiftswitch/internal/control"
	"swiftswitch/internal/front"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/transport"
)

// Status is what `swiftswitch status` shows. Control and Front are nil on a
// node without that server.
type Status struct {
	Node     string `json:"Node"`
	Zone     string `json:"Zone"`
	UpMs     int64  `json:"UpMs"`
	Draining bool   `json:"Draining"`
	// Unsupported is what the settings ask for and this program does not do.
	Unsupported []string `json:"Unsupported,omitempty"`

	View    []peersampling.Node `json:"View"`
	Control *control.Status     `json:"Control,omitempty"`
	Front   *front.Status       `json:"Front,omitempty"`
}

// Status returns the node's status of this moment.
func (n *Node) Status() Status {
	status := Status{
		Node:     n.Settings().NodeName,
		Zone:     n.Settings().Zone,
		UpMs:     n.Now().Milliseconds(),
		Draining: n.Draining.Load(),

		Unsupported: n.Settings().Unsupported(),
	}
	n.ViewLoop.Call(func() { status.View = n.View.Nodes() })
	if n.control != nil {
		status.Control = n.control.Status()
	}
	if n.front != nil {
		status.Front = n.front.Status()
	}
	return status
}

// maxStatusBytes is the size of the largest status that FetchStatus reads.
const maxStatusBytes = 8 << 20

// FetchStatus asks the node at address (host:port between nodes) for its status
// and returns it as indented JSON. The node may be of another version, so that
// its status is not decoded.
func FetchStatus(address string, timeout time.Duration) ([]byte, error) {
	client := transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: 1,
		IdleTimeout:    timeout,
		TCPUserTimeout: timeout,
		MaxBodyBytes:   maxStatusBytes,
	})
	response, err := client.Do(address, "GET", nodeapi.PathStatus, nil, nil, timeout)
	if err != nil {
		return nil, err
	}
	var status any
	if err := json.Unmarshal(response.Body, &status); err != nil {
		return nil, err
	}
	return json.MarshalIndent(status, "", "  ")
}
