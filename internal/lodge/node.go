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
	settings atomic.Pointer[config.Settings]
	path     string
	born     time.Time
	call     *transport.Client
	options  Options
	stop     chan struct{}
	leaving  atomic.Bool
	sockets  []net.Listener

	view *commandloop.Loop
	way  *peersampling.View
	// Owned by the view's desk as well.
	vigil   vigil
	unheard unheard

	hut   *ControlServer
	trail *FrontServer
	// kitchen: the node keeps copies for the fronts.
	kitchen *Fetcher
}

func (n *Node) set() *config.Settings { return n.settings.Load() }

// steady is the node's steady clock.
func (n *Node) steady() time.Duration { return time.Since(n.born) }

func (n *Node) userTimeout() time.Duration { return config.Milliseconds(n.set().Bounds.InTouchMs, 0.5) }

// longHold is how long a call for news may be held at most: one that was lost
// ends before a machine counts as in touch again.
func (n *Node) longHold() time.Duration { return config.Milliseconds(n.set().Bounds.InTouchMs, 0.75) }

func (n *Node) heartbeat(ratio float64) time.Duration {
	return config.Milliseconds(n.set().HeartbeatIntervalMs, ratio)
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
	tune(s)
	n, err := open(s, path, options)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return 3
	}
	if n.begin() {
		events.Log(events.Started, "node", s.NodeName, "role", s.Role, "zone", s.Zone, "hut", n.hut != nil, "trail", n.trail != nil)
	}
	n.signals()
	events.Log(events.Stopped)
	return 0
}

// open makes a node of its settings.
func open(s *config.Settings, path string, options Options) (*Node, error) {
	n := &Node{path: path, born: time.Now(), stop: make(chan struct{}), options: options}
	n.settings.Store(s)
	n.call = transport.NewClient(16, config.Milliseconds(s.Bounds.InTouchMs, 1), n.userTimeout(), n.maxMessage())
	n.view = commandloop.New()
	n.unheard = unheard{}
	n.vigil.Gap = time.Duration(float64(patience(s.Bounds.AcknowledgeMs, 0)) * stillPart)
	n.way = peersampling.NewView(peersampling.Node{Name: s.NodeName, IP: s.IpAddress, Zone: s.Zone, IsControl: s.HasDisk() && options.Role != RoleCache}, 8, 3)
	var err error
	keeps := options.Role == RoleCache
	if s.HasDisk() && !keeps {
		if n.hut, err = NewControlServer(n); err != nil {
			return nil, err
		}
	}
	if slices.Contains(s.Serves, "front") || keeps {
		if n.trail, err = NewFrontServer(n, options); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// begin listens and starts the controllers.
func (n *Node) begin() bool {
	n.view.Call(n.look)
	if !n.serve() {
		return false
	}
	if n.hut != nil {
		n.hut.Start()
	}
	if n.trail != nil {
		n.trail.Start()
	}
	go n.shuffleLoop()
	go n.vigilLoop()
	return true
}

func randomName() string {
	const letters = "abcdefghijkmnpqrstuvwxyz23456789"
	b := make([]byte, 12)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}

func (n *Node) maxMessage() int {
	mb := n.set().Limits.MemoryMb
	if mb <= 0 {
		mb = 256
	}
	return int(mb * (1 << 20) / 32)
}

func (n *Node) listener(idle time.Duration) transport.ServerOptions {
	return transport.ServerOptions{
		MaxHeaderBytes: 64 << 10, MaxBodyBytes: n.maxMessage(), ReadTimeout: config.Milliseconds(n.set().Bounds.InTouchMs, 2),
		IdleTimeout: idle, TCPUserTimeout: n.userTimeout(),
	}
}

// serve opens the port for other nodes and, where the role has it, control.
func (n *Node) serve() bool {
	s := n.set()
	addrs := []string{s.InternalAddress(s.IpAddress)}
	if slices.Contains(s.Serves, "control") {
		addrs = append(addrs, s.ListenAddresses.ControlAddress)
	}
	for i, a := range addrs {
		ln, ok := transport.Listen(a, n.userTimeout(), n.heartbeat(0.1), n.stop)
		if !ok {
			return false
		}
		handle := n.handleRope
		if i > 0 {
			handle = n.handleControl
		}
		transport.Serve(ln, n.listener(config.Milliseconds(s.Bounds.InTouchMs, 2)), handle)
		n.sockets = append(n.sockets, ln)
	}
	return true
}

// handleRope takes the calls of other nodes, and control calls as well.
func (n *Node) handleRope(ctx context.Context, c *app.RequestContext) {
	switch string(c.Request.URI().PathOriginal()) {
	case PathShuffle:
		n.handleShuffle(c)
	case PathRelay:
		var m relay.Ask
		if !transport.ReadJSON(c, &m) {
			return
		}
		if n.trail == nil {
			transport.WriteJSON(c, 404, map[string]string{"Error": "no front"})
		} else if say, ok := n.trail.frontend.Lend(m); ok {
			transport.WriteJSON(c, 200, say)
		} else {
			transport.WriteJSON(c, 409, map[string]string{"Error": "another version is in force here"})
		}
	case PathCacheFetch:
		if n.kitchen == nil {
			transport.WriteJSON(c, 404, map[string]string{"Error": "no larder"})
			return
		}
		n.kitchen.HandleFetch(c)
	case PathStatus:
		transport.WriteJSON(c, 200, n.Status())
	case PathConfiguration, PathPurge:
		n.handleControl(ctx, c)
	default:
		if IsRolloutPath(string(c.Request.URI().PathOriginal())) {
			n.handleControl(ctx, c)
			return
		}
		if n.hut == nil || !n.hut.HandleInternal(c) {
			transport.WriteJSON(c, 404, map[string]string{"Error": "no such call"})
		}
	}
}

// handleControl takes the operator's calls and passes on what this node can't settle.
func (n *Node) handleControl(_ context.Context, c *app.RequestContext) {
	path, m := string(c.Request.URI().PathOriginal()), string(c.Request.Header.Method())
	rollout := IsRolloutPath(path)
	if n.hut != nil && m != "GET" {
		n.hut.ordersInFlight.Add(1)
		defer n.hut.ordersInFlight.Add(-1)
		if n.hut.closing.Load() {
			c.Response.Header.Set("Retry-After", "0.2")
			transport.WriteJSON(c, 503, map[string]string{"Error": "this node leaves"})
			return
		}
	}
	until := n.until(c)
	switch {
	case path != PathConfiguration && path != PathPurge && !rollout:
		transport.WriteJSON(c, 404, map[string]string{"Error": "no such call"})
	case path == PathConfiguration && m != "GET" && m != "PUT" && m != "PATCH":
		transport.WriteJSON(c, 405, map[string]string{"Error": "GET, PUT and PATCH only"})
	case path == PathPurge && m != "POST":
		transport.WriteJSON(c, 405, map[string]string{"Error": "POST only"})
	case rollout && m != "GET" && !(m == "POST" && path == PathRollouts):
		transport.WriteJSON(c, 405, map[string]string{"Error": "POST " + PathRollouts + " and GET only"})
	case m == "POST" && n.doubtful():
		// A change of the configuration is known as late by its base, an order isn't.
		n.unsettled(c, "this node stood still, and the order may be an old one")
	case n.hut == nil || !n.hut.HasState():
		n.passOn(c, path, until)
	case rollout:
		n.hut.HandleRollout(c, path, until)
	case path == PathPurge:
		n.hut.HandlePurge(c, until)
	default:
		n.hut.HandleConfiguration(c, until)
	}
}

// huts lists the IPs of the nodes that may keep state, those known best first.
func (n *Node) huts() []string {
	var out []string
	add := func(ips []string) {
		for _, ip := range ips {
			if ip != "" && !slices.Contains(out, ip) {
				out = append(out, ip)
			}
		}
	}
	if n.hut != nil {
		add(n.hut.VoterIPs())
	}
	if n.trail != nil {
		add(n.trail.ControlIPs())
	}
	add(n.set().SeedIPs())
	n.view.Call(func() { add(n.way.ControlIPs()) })
	return out
}

func (n *Node) handleShuffle(c *app.RequestContext) {
	var m ShuffleMessage
	if !transport.ReadJSON(c, &m) {
		return
	}
	var give []peersampling.Node
	n.view.Call(func() { give = n.way.HandleShuffle(m.Nodes) })
	transport.WriteJSON(c, 200, ShuffleMessage{give})
}

// shuffleLoop exchanges parts of the view with neighbours.
func (n *Node) shuffleLoop() {
	for {
		select {
		case <-n.stop:
			return
		case <-time.After(time.Duration(float64(n.heartbeat(12)) * (0.75 + rand.Float64()/2))):
		}
		var partner peersampling.Node
		var offer []peersampling.Node
		ok := false
		n.view.Call(func() {
			for _, ip := range n.set().SeedIPs() {
				if ip != n.set().IpAddress && len(n.way.Nodes()) == 0 {
					n.way.Add(peersampling.Node{Name: "seed-" + ip, IP: ip, IsControl: true})
				}
			}
			partner, offer, ok = n.way.BeginShuffle()
		})
		if !ok {
			continue
		}
		var got ShuffleMessage
		if err := n.call.CallJSON(n.set().InternalAddress(partner.IP), PathShuffle, ShuffleMessage{offer}, &got, n.heartbeat(0.8)); err == nil {
			n.view.Call(func() { n.way.FinishShuffle(partner, got.Nodes) })
		}
	}
}

// Status is what `swiftswitch status` shows.
type Status struct {
	Node    string              `json:"Node"`
	Zone    string              `json:"Zone"`
	UpMs    int64               `json:"UpMs"`
	Leaving bool                `json:"Leaving"`
	View    []peersampling.Node `json:"View"`
	Hut     *ControlStatus      `json:"Hut,omitempty"`
	Trail   *FrontStatus        `json:"Trail,omitempty"`
}

// Status tells how the node is doing.
func (n *Node) Status() Status {
	st := Status{Node: n.set().NodeName, Zone: n.set().Zone, UpMs: n.steady().Milliseconds(), Leaving: n.leaving.Load()}
	n.view.Call(func() { st.View = n.way.Nodes() })
	if n.hut != nil {
		st.Hut = n.hut.Status()
	}
	if n.trail != nil {
		st.Trail = n.trail.Status()
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

func fileTime(path string) time.Time {
	if st, err := os.Stat(path); err == nil {
		return st.ModTime()
	}
	return time.Time{}
}
