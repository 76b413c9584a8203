package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"swiftswitch/internal/control"
	"swiftswitch/internal/front"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// Node is what every machine runs. Which servers it has follows from its
// settings and its role.
type Node struct {
	*host.Host
	settingsPath string
	listeners    []net.Listener

	// pauses and unresponsive are owned by ViewLoop, like the view.
	pauses       pauseDetector
	unresponsive unresponsivePeers

	// control is nil on a node without a disk, front on one that neither
	// serves clients nor caches.
	control *control.Server
	front   *front.Server
}

// ExitCode is the exit status of a process that ran a node.
type ExitCode int

// The exit codes of a node.
const (
	// ExitOK is that of a node that drained after a signal.
	ExitOK ExitCode = 0
	// ExitInvalidSettings is that of a node whose settings can't be loaded.
	ExitInvalidSettings ExitCode = 2
	// ExitStartFailed is that of a node that can't use its disk.
	ExitStartFailed ExitCode = 3
)

// Run is the life of a node; it returns the process's exit code.
func Run(path, dir string, options host.Options) ExitCode {
	s, err := config.LoadSettings(path)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return ExitInvalidSettings
	}
	if dir != "" {
		s.DataDirectory = dir
	}
	tuneRuntime(s)
	n, err := Open(s, path, options)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return ExitStartFailed
	}
	if n.Start() {
		events.Log(events.Started, "node", s.NodeName, "role", s.Role, "zone", s.Zone, "control", n.control != nil, "front", n.front != nil)
	}
	n.handleSignals()
	events.Log(events.Stopped)
	return ExitOK
}

// Open makes a node of its settings; Start runs it.
func Open(s *config.Settings, path string, options host.Options) (*Node, error) {
	n := &Node{Host: host.New(s, options), settingsPath: path, unresponsive: unresponsivePeers{}}
	n.pauses.Threshold = time.Duration(float64(callerTimeout(s.Bounds.AcknowledgeMs, 0)) * pauseRatio)
	caches := options.Role == host.RoleCache
	var err error
	if s.HasDisk() && !caches {
		if n.control, err = control.New(n.Host); err != nil {
			return nil, err
		}
		n.AddControlSource(n.control.VoterIPs)
	}
	if slices.Contains(s.Serves, "front") || caches {
		if n.front, err = front.New(n.Host, options); err != nil {
			return nil, err
		}
		n.AddControlSource(n.front.ControlIPs)
	}
	return n, nil
}

// Control is the node's control server, nil where it has none.
func (n *Node) Control() *control.Server { return n.control }

// Front is the node's front server, nil where it has none.
func (n *Node) Front() *front.Server { return n.front }

// Close ends the node at once, without draining, as a kill of its process would.
func (n *Node) Close() {
	close(n.Stopping)
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
	if n.front != nil {
		n.front.Close()
	}
	if n.control != nil {
		n.control.Close(time.Second)
	}
}

// Start listens and starts the controllers.
func (n *Node) Start() bool {
	n.ViewLoop.Call(n.checkPause)
	if !n.listen() {
		return false
	}
	if n.control != nil {
		n.control.Start()
	}
	if n.front != nil {
		n.front.Start()
	}
	go n.shuffleLoop()
	go n.pauseLoop()
	return true
}

// listen opens the port for other nodes and, where the role has it, control.
func (n *Node) listen() bool {
	s := n.Settings()
	addrs := []string{s.InternalAddress(s.IpAddress)}
	if slices.Contains(s.Serves, "control") {
		addrs = append(addrs, s.ListenAddresses.ControlAddress)
	}
	for i, a := range addrs {
		ln, err := transport.Listen(a, n.TCPUserTimeout(), n.Heartbeats(0.1), n.Stopping)
		if err != nil {
			return false
		}
		handle := n.HandleInternal
		if i > 0 {
			handle = n.handleOperator
		}
		transport.Serve(ln, n.ServerOptions(config.Milliseconds(s.Bounds.InTouchMs, 2)), handle)
		n.listeners = append(n.listeners, ln)
	}
	return true
}

// HandleInternal takes the calls of other nodes, and control calls as well.
func (n *Node) HandleInternal(ctx context.Context, c *app.RequestContext) {
	switch string(c.Request.URI().PathOriginal()) {
	case nodeapi.PathShuffle:
		n.handleShuffle(c)
	case nodeapi.PathStatus:
		transport.WriteJSON(c, 200, n.Status())
	case nodeapi.PathConfiguration, nodeapi.PathPurge:
		n.handleOperator(ctx, c)
	default:
		if nodeapi.IsRolloutPath(string(c.Request.URI().PathOriginal())) {
			n.handleOperator(ctx, c)
			return
		}
		taken := n.control != nil && n.control.HandleInternal(c) || n.front != nil && n.front.HandleInternal(c)
		if !taken {
			transport.WriteError(c, 404, "no such call")
		}
	}
}

// handleOperator takes the operator's calls and passes on what this node can't settle.
func (n *Node) handleOperator(_ context.Context, c *app.RequestContext) {
	path, m := string(c.Request.URI().PathOriginal()), string(c.Request.Header.Method())
	rollout := nodeapi.IsRolloutPath(path)
	if n.control != nil && m != "GET" {
		end, ok := n.control.BeginChange()
		defer end()
		if !ok {
			c.Response.Header.Set("Retry-After", "0.2")
			transport.WriteError(c, 503, "this node leaves")
			return
		}
	}
	until := n.callerDeadline(c)
	switch {
	case path != nodeapi.PathConfiguration && path != nodeapi.PathPurge && !rollout:
		transport.WriteError(c, 404, "no such call")
	case path == nodeapi.PathConfiguration && m != "GET" && m != "PUT" && m != "PATCH":
		transport.WriteError(c, 405, "GET, PUT and PATCH only")
	case path == nodeapi.PathPurge && m != "POST":
		transport.WriteError(c, 405, "POST only")
	case rollout && m != "GET" && !(m == "POST" && path == nodeapi.PathRollouts):
		transport.WriteError(c, 405, "POST "+nodeapi.PathRollouts+" and GET only")
	case m == "POST" && n.recentlyPaused():
		// A change of the configuration is known as late by its base, an order isn't.
		n.WriteUnavailable(c, "this node stood still, and the order may be an old one")
	case n.control == nil || !n.control.HasState():
		n.forward(c, path, until)
	case rollout:
		n.control.HandleRollout(c, path, until)
	case path == nodeapi.PathPurge:
		n.control.HandlePurge(c, until)
	default:
		n.control.HandleConfiguration(c, until)
	}
}

func (n *Node) handleShuffle(c *app.RequestContext) {
	var m nodeapi.ShuffleMessage
	if !transport.ReadJSON(c, &m) {
		return
	}
	var give []peersampling.Node
	n.ViewLoop.Call(func() { give = n.View.HandleShuffle(m.Nodes) })
	transport.WriteJSON(c, 200, nodeapi.ShuffleMessage{Nodes: give})
}

// shuffleLoop exchanges parts of the view with neighbours.
func (n *Node) shuffleLoop() {
	for {
		select {
		case <-n.Stopping:
			return
		case <-time.After(time.Duration(float64(n.Heartbeats(12)) * (0.75 + rand.Float64()/2))):
		}
		var partner peersampling.Node
		var offer []peersampling.Node
		ok := false
		n.ViewLoop.Call(func() {
			for _, ip := range n.Settings().SeedIPs() {
				if ip != n.Settings().IpAddress && len(n.View.Nodes()) == 0 {
					n.View.Add(peersampling.Node{Name: "seed-" + ip, IP: ip, IsControl: true})
				}
			}
			partner, offer, ok = n.View.BeginShuffle()
		})
		if !ok {
			continue
		}
		var got nodeapi.ShuffleMessage
		if err := n.Client.CallJSON(n.Settings().InternalAddress(partner.IP), nodeapi.PathShuffle, nodeapi.ShuffleMessage{Nodes: offer}, &got, n.Heartbeats(0.8)); err == nil {
			n.ViewLoop.Call(func() { n.View.FinishShuffle(partner, got.Nodes) })
		}
	}
}

// Status is what `swiftswitch status` shows.
type Status struct {
	Node     string              `json:"Node"`
	Zone     string              `json:"Zone"`
	UpMs     int64               `json:"UpMs"`
	Draining bool                `json:"Leaving"`
	View     []peersampling.Node `json:"View"`
	Control  *control.Status     `json:"Hut,omitempty"`
	Front    *front.Status       `json:"Trail,omitempty"`
}

// Status tells how the node is doing.
func (n *Node) Status() Status {
	st := Status{Node: n.Settings().NodeName, Zone: n.Settings().Zone, UpMs: n.Now().Milliseconds(), Draining: n.Draining.Load()}
	n.ViewLoop.Call(func() { st.View = n.View.Nodes() })
	if n.control != nil {
		st.Control = n.control.Status()
	}
	if n.front != nil {
		st.Front = n.front.Status()
	}
	return st
}

// maxStatusBytes is the size of the largest status that FetchStatus reads.
const maxStatusBytes = 8 << 20

// FetchStatus asks a node for its status; `swiftswitch status` uses it.
func FetchStatus(addr string, within time.Duration) ([]byte, error) {
	client := transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: 1, IdleTimeout: within, TCPUserTimeout: within, MaxBodyBytes: maxStatusBytes,
	})
	rep, err := client.Do(addr, "GET", nodeapi.PathStatus, nil, nil, within)
	if err != nil {
		return nil, err
	}
	var pretty any
	if err := json.Unmarshal(rep.Body, &pretty); err != nil {
		return nil, err
	}
	return json.MarshalIndent(pretty, "", "  ")
}

func modificationTime(path string) time.Time {
	if st, err := os.Stat(path); err == nil {
		return st.ModTime()
	}
	return time.Time{}
}
