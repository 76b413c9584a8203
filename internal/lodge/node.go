package lodge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/transport"
)

// Node is what every machine runs; hut and trail are added by role.
type Node struct {
	settings     atomic.Pointer[config.Settings]
	settingsPath string
	startedAt    time.Time
	Client       *transport.Client
	Options      Options
	Stopping     chan struct{}
	Draining     atomic.Bool
	listeners    []net.Listener

	ViewLoop *commandloop.Loop
	View     *peersampling.View
	// Owned by the view's desk as well.
	pauses       pauseDetector
	unresponsive unresponsivePeers

	control *ControlServer
	front   *FrontServer
	// fetcher: the node keeps copies for the fronts.
	fetcher *Fetcher
}

func (n *Node) Settings() *config.Settings { return n.settings.Load() }

// Now is the node's steady clock.
func (n *Node) Now() time.Duration { return time.Since(n.startedAt) }

func (n *Node) TCPUserTimeout() time.Duration {
	return config.Milliseconds(n.Settings().Bounds.InTouchMs, 0.5)
}

// LongPollTimeout is how long a call for news may be held at most: one that was lost
// ends before a machine counts as in touch again.
func (n *Node) LongPollTimeout() time.Duration {
	return config.Milliseconds(n.Settings().Bounds.InTouchMs, 0.75)
}

func (n *Node) Heartbeats(ratio float64) time.Duration {
	return config.Milliseconds(n.Settings().HeartbeatIntervalMs, ratio)
}

// Run is the life of a node; it returns the process's exit code.
func Run(path, dir string, options Options) int {
	s, err := config.LoadSettings(path)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return 2
	}
	if dir != "" {
		s.DataDirectory = dir
	}
	tuneRuntime(s)
	n, err := Open(s, path, options)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return 3
	}
	if n.Start() {
		events.Log(events.Started, "node", s.NodeName, "role", s.Role, "zone", s.Zone, "hut", n.control != nil, "trail", n.front != nil)
	}
	n.handleSignals()
	events.Log(events.Stopped)
	return 0
}

// Open makes a node of its settings.
func Open(s *config.Settings, path string, options Options) (*Node, error) {
	n := &Node{settingsPath: path, startedAt: time.Now(), Stopping: make(chan struct{}), Options: options}
	n.settings.Store(s)
	n.Client = transport.NewClient(16, config.Milliseconds(s.Bounds.InTouchMs, 1), n.TCPUserTimeout(), n.MaxMessageBytes())
	n.ViewLoop = commandloop.New()
	n.unresponsive = unresponsivePeers{}
	n.pauses.Threshold = time.Duration(float64(callerTimeout(s.Bounds.AcknowledgeMs, 0)) * pauseRatio)
	n.View = peersampling.NewView(peersampling.Node{Name: s.NodeName, IP: s.IpAddress, Zone: s.Zone, Hut: s.HasDisk() && options.Role != RoleCache}, 8, 3)
	var err error
	keeps := options.Role == RoleCache
	if s.HasDisk() && !keeps {
		if n.control, err = NewControlServer(n); err != nil {
			return nil, err
		}
	}
	if slices.Contains(s.Serves, "front") || keeps {
		if n.front, err = NewFrontServer(n, options); err != nil {
			return nil, err
		}
	}
	return n, nil
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

func RandomID() string {
	const letters = "abcdefghijkmnpqrstuvwxyz23456789"
	b := make([]byte, 12)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}

func (n *Node) MaxMessageBytes() int {
	mb := n.Settings().Limits.MemoryMb
	if mb <= 0 {
		mb = 256
	}
	return int(mb * (1 << 20) / 32)
}

func (n *Node) ServerOptions(idle time.Duration) transport.ServerOptions {
	return transport.ServerOptions{
		MaxHeaderBytes: 64 << 10, MaxBodyBytes: n.MaxMessageBytes(), ReadTimeout: config.Milliseconds(n.Settings().Bounds.InTouchMs, 2),
		IdleTimeout: idle, TCPUserTimeout: n.TCPUserTimeout(),
	}
}

// listen opens the port for other nodes and, where the role has it, control.
func (n *Node) listen() bool {
	s := n.Settings()
	addrs := []string{s.InternalAddress(s.IpAddress)}
	if slices.Contains(s.Serves, "control") {
		addrs = append(addrs, s.ListenAddresses.ControlAddress)
	}
	for i, a := range addrs {
		ln, ok := transport.Listen(a, n.TCPUserTimeout(), n.Heartbeats(0.1), n.Stopping)
		if !ok {
			return false
		}
		handle := n.handleInternal
		if i > 0 {
			handle = n.handleOperator
		}
		transport.Serve(ln, n.ServerOptions(config.Milliseconds(s.Bounds.InTouchMs, 2)), handle)
		n.listeners = append(n.listeners, ln)
	}
	return true
}

// handleInternal takes the calls of other nodes, and control calls as well.
func (n *Node) handleInternal(ctx context.Context, c *app.RequestContext) {
	switch string(c.Request.URI().PathOriginal()) {
	case PathShuffle:
		n.handleShuffle(c)
	case PathRelay:
		var m relay.Ask
		if !transport.ReadJSON(c, &m) {
			return
		}
		if n.front == nil {
			transport.WriteJSON(c, 404, map[string]string{"Error": "no front"})
		} else if say, ok := n.front.frontend.Lend(m); ok {
			transport.WriteJSON(c, 200, say)
		} else {
			transport.WriteJSON(c, 409, map[string]string{"Error": "another version is in force here"})
		}
	case PathCacheFetch:
		if n.fetcher == nil {
			transport.WriteJSON(c, 404, map[string]string{"Error": "no larder"})
			return
		}
		n.fetcher.HandleFetch(c)
	case PathStatus:
		transport.WriteJSON(c, 200, n.Status())
	case PathConfiguration, PathPurge:
		n.handleOperator(ctx, c)
	default:
		if IsRolloutPath(string(c.Request.URI().PathOriginal())) {
			n.handleOperator(ctx, c)
			return
		}
		if n.control == nil || !n.control.HandleInternal(c) {
			transport.WriteJSON(c, 404, map[string]string{"Error": "no such call"})
		}
	}
}

// handleOperator takes the operator's calls and passes on what this node can't settle.
func (n *Node) handleOperator(_ context.Context, c *app.RequestContext) {
	path, m := string(c.Request.URI().PathOriginal()), string(c.Request.Header.Method())
	rollout := IsRolloutPath(path)
	if n.control != nil && m != "GET" {
		n.control.ordersInFlight.Add(1)
		defer n.control.ordersInFlight.Add(-1)
		if n.control.closing.Load() {
			c.Response.Header.Set("Retry-After", "0.2")
			transport.WriteJSON(c, 503, map[string]string{"Error": "this node leaves"})
			return
		}
	}
	until := n.callerDeadline(c)
	switch {
	case path != PathConfiguration && path != PathPurge && !rollout:
		transport.WriteJSON(c, 404, map[string]string{"Error": "no such call"})
	case path == PathConfiguration && m != "GET" && m != "PUT" && m != "PATCH":
		transport.WriteJSON(c, 405, map[string]string{"Error": "GET, PUT and PATCH only"})
	case path == PathPurge && m != "POST":
		transport.WriteJSON(c, 405, map[string]string{"Error": "POST only"})
	case rollout && m != "GET" && !(m == "POST" && path == PathRollouts):
		transport.WriteJSON(c, 405, map[string]string{"Error": "POST " + PathRollouts + " and GET only"})
	case m == "POST" && n.recentlyPaused():
		// A change of the configuration is known as late by its base, an order isn't.
		n.WriteUnavailable(c, "this node stood still, and the order may be an old one")
	case n.control == nil || !n.control.HasState():
		n.forward(c, path, until)
	case rollout:
		n.control.HandleRollout(c, path, until)
	case path == PathPurge:
		n.control.HandlePurge(c, until)
	default:
		n.control.HandleConfiguration(c, until)
	}
}

// ControlIPs lists the IPs of the nodes that may keep state, those known best first.
func (n *Node) ControlIPs() []string {
	var out []string
	add := func(ips []string) {
		for _, ip := range ips {
			if ip != "" && !slices.Contains(out, ip) {
				out = append(out, ip)
			}
		}
	}
	if n.control != nil {
		add(n.control.VoterIPs())
	}
	if n.front != nil {
		add(n.front.ControlIPs())
	}
	add(n.Settings().SeedIPs())
	n.ViewLoop.Call(func() { add(n.View.ControlIPs()) })
	return out
}

func (n *Node) handleShuffle(c *app.RequestContext) {
	var m ShuffleMessage
	if !transport.ReadJSON(c, &m) {
		return
	}
	var give []peersampling.Node
	n.ViewLoop.Call(func() { give = n.View.HandleShuffle(m.Nodes) })
	transport.WriteJSON(c, 200, ShuffleMessage{give})
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
					n.View.Add(peersampling.Node{Name: "seed-" + ip, IP: ip, Hut: true})
				}
			}
			partner, offer, ok = n.View.BeginShuffle()
		})
		if !ok {
			continue
		}
		var got ShuffleMessage
		if err := n.Client.CallJSON(n.Settings().InternalAddress(partner.IP), PathShuffle, ShuffleMessage{offer}, &got, n.Heartbeats(0.8)); err == nil {
			n.ViewLoop.Call(func() { n.View.FinishShuffle(partner, got.Nodes) })
		}
	}
}

// Status is what `swiftswitch status` shows.
type Status struct {
	Node    string
	Zone    string
	UpMs    int64
	Leaving bool
	View    []peersampling.Node
	Hut     *ControlStatus `json:",omitempty"`
	Trail   *FrontStatus   `json:",omitempty"`
}

// Status tells how the node is doing.
func (n *Node) Status() Status {
	st := Status{Node: n.Settings().NodeName, Zone: n.Settings().Zone, UpMs: n.Now().Milliseconds(), Leaving: n.Draining.Load()}
	n.ViewLoop.Call(func() { st.View = n.View.Nodes() })
	if n.control != nil {
		st.Hut = n.control.Status()
	}
	if n.front != nil {
		st.Trail = n.front.Status()
	}
	return st
}

// FetchStatus asks a node for its status; `swiftswitch status` uses it.
func FetchStatus(addr string, within time.Duration) ([]byte, error) {
	cl := transport.NewClient(1, within, within, 8<<20)
	rep, err := cl.Do(addr, "GET", PathStatus, nil, nil, within)
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
