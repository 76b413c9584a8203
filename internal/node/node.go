// Package node runs one node of a cluster: it makes the servers that follow
// from the settings and the role, routes calls to them, forwards the operator's
// calls that this node cannot settle, takes part in the peer sampling, and
// drains on SIGTERM.
package node

import (
	"net"
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/control"
	"swiftswitch/internal/events"
	"swiftswitch/internal/front"
	"swiftswitch/internal/host"
)

// Node is what every machine runs. Which servers it has follows from its
// settings and its role.
type Node struct {
	*host.Host
	// settingsPath is the file that the settings are reloaded from.
	settingsPath string
	// listeners are opened by Start and closed by Close or Drain.
	listeners []net.Listener

	// pauses and unresponsive are owned by ViewLoop, like the partial view.
	pauses       pauseDetector
	unresponsive unresponsivePeers

	// control is nil on a node without a disk and on a cache node; front is nil
	// on a node that neither serves clients nor caches.
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

// Run loads the settings, runs the node until SIGTERM or SIGINT, drains it, and
// returns the exit code of the process. A data directory that is not empty
// replaces that of the settings. What went wrong is logged.
func Run(settingsPath, dataDirectory string, options host.Options) ExitCode {
	signals := catchReloads()
	settings, err := config.LoadSettings(settingsPath)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return ExitInvalidSettings
	}
	if dataDirectory != "" {
		settings.DataDirectory = dataDirectory
	}
	tuneRuntime(settings)
	n, err := Open(settings, settingsPath, options)
	if err != nil {
		events.Log(events.SettingsInvalid, "err", err)
		return ExitStartFailed
	}
	if n.Start() == nil {
		events.Log(events.Started, "node", settings.NodeName, "role", settings.Role, "zone", settings.Zone, "control", n.control != nil, "front", n.front != nil)
	}
	n.handleSignals(signals)
	events.Log(events.Stopped)
	return ExitOK
}

// Open makes a node with these settings, and opens its disk; Start runs it.
// settingsPath is the file that the settings are reloaded from.
func Open(settings *config.Settings, settingsPath string, options host.Options) (*Node, error) {
	n := &Node{Host: host.New(settings, options), settingsPath: settingsPath, unresponsive: unresponsivePeers{}}
	n.pauses.threshold = pauseThreshold(settings.Bounds.AcknowledgeMs)
	isCacheNode := options.Role == host.RoleCache
	var err error
	if settings.HasDisk() && !isCacheNode {
		if n.control, err = control.New(n.Host); err != nil {
			return nil, err
		}
		n.AddControlSource(n.control.VoterIPs)
	}
	if slices.Contains(settings.Serves, "front") || isCacheNode {
		if n.front, err = front.New(n.Host, options); err != nil {
			return nil, err
		}
		n.AddControlSource(n.front.ControlIPs)
	}
	return n, nil
}

// Control returns the node's control server, nil where it has none.
func (n *Node) Control() *control.Server { return n.control }

// Front returns the node's front server, nil where it has none.
func (n *Node) Front() *front.Server { return n.front }

// Start opens the listeners, then starts the servers and the node's own loops.
// It retries to listen until it can, and fails only once the node is stopping.
func (n *Node) Start() error {
	n.ViewLoop.Call(n.checkPause)
	if err := n.listen(); err != nil {
		return err
	}
	if n.control != nil {
		n.control.Start()
	}
	if n.front != nil {
		n.front.Start()
	}
	n.serveMetrics()
	n.logUnsupported()
	go n.shuffleLoop()
	go n.pauseLoop()
	return nil
}

// Close ends the node at once, without draining, as a kill of its process would.
func (n *Node) Close() {
	close(n.Stopping)
	n.closeListeners()
	if n.front != nil {
		n.front.Close()
	}
	if n.control != nil {
		n.control.Close(time.Second)
	}
}

// Drain ends the node in order, within GraceS: the front's clients go elsewhere
// first, then the control server hands over what only it holds.
func (n *Node) Drain() {
	start := time.Now()
	grace := config.Seconds(n.Settings().Bounds.GraceS, 1)
	events.Log(events.Draining, "grace", grace)
	n.Draining.Store(true)
	if n.front != nil {
		n.front.Drain(start, grace)
	}
	if n.control != nil {
		n.control.Drain(start, grace)
	}
	close(n.Stopping)
	n.closeListeners()
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close() // the process ends
	}
}
