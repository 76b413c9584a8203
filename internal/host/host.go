// Package host holds what the servers of one node share: the settings, the
// command line's options, a monotonic clock, the client for calls to other
// nodes, the partial view of the cluster and the signals that end the process.
// The control server, the front server and the cache fetcher each get a Host
// and depend on it alone, not on each other.
package host

import (
	"slices"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/metrics"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/transport"
)

const (
	// maxIdleConnections is how many idle connections the client keeps to one node.
	maxIdleConnections = 16
	// viewSize and shuffleSize are numbers of nodes: in the partial view, and
	// in one exchange of it.
	viewSize    = 8
	shuffleSize = 3
)

// Host is the part of a node that its servers share. Its exported fields are
// set by New and not assigned afterwards. All methods are safe for concurrent
// use, except that AddControlSource must not be called once the servers run.
type Host struct {
	settings  atomic.Pointer[config.Settings]
	startedAt time.Time
	Options   Options
	// Metrics holds the counters and gauges of the node.
	Metrics *metrics.Registry
	// Budget bounds what the callers of all listeners may take.
	Budget *transport.Budget
	// Client calls other nodes.
	Client *transport.Client
	// Stopping is closed when the node ends. Every goroutine of its servers
	// ends then.
	Stopping chan struct{}
	// Draining is set from SIGTERM on.
	Draining atomic.Bool

	// ViewLoop owns View, and what the node package keeps about its peers.
	ViewLoop *commandloop.Loop
	View     *peersampling.View

	// controlSources list the control nodes that the node's servers know, in
	// the order in which these are to be called. Fixed before the servers start.
	controlSources []func() []string
}

// New returns the host of a node with these settings and options.
func New(settings *config.Settings, options Options) *Host {
	h := &Host{
		startedAt: time.Now(),
		Options:   options,
		Metrics:   metrics.NewRegistry(),
		Stopping:  make(chan struct{}),
		ViewLoop:  commandloop.New(),
	}
	h.settings.Store(settings)
	h.Budget = transport.NewBudget(h.callerLimits(), h.Metrics)
	h.Client = transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: maxIdleConnections,
		IdleTimeout:    config.Milliseconds(settings.Bounds.InTouchMs, 1),
		TCPUserTimeout: h.TCPUserTimeout(),
		MaxBodyBytes:   h.MaxMessageBytes(),
	})
	self := peersampling.Node{
		Name:      settings.NodeName,
		IP:        settings.IpAddress,
		Zone:      settings.Zone,
		IsControl: settings.HasDisk() && options.Role != RoleCache,
	}
	h.View = peersampling.NewView(self, viewSize, shuffleSize)
	return h
}

// Settings returns the settings in force. They are never changed in place.
func (h *Host) Settings() *config.Settings { return h.settings.Load() }

// SetSettings puts changed settings in force.
func (h *Host) SetSettings(s *config.Settings) { h.settings.Store(s) }

// Now returns the time since the node started, by the monotonic clock.
func (h *Host) Now() time.Duration { return time.Since(h.startedAt) }

// Heartbeats returns n heartbeat intervals.
func (h *Host) Heartbeats(n float64) time.Duration {
	return config.Milliseconds(h.Settings().HeartbeatIntervalMs, n)
}

// AddControlSource registers a list of control nodes that a server of this
// node knows. It must not be called once the servers run.
func (h *Host) AddControlSource(ips func() []string) {
	h.controlSources = append(h.controlSources, ips)
}

// ControlIPs returns the addresses of the nodes that may be control nodes,
// without duplicates: those that the node's servers know first, then the seeds,
// then those of the partial view. It must not be called from ViewLoop.
func (h *Host) ControlIPs() []string {
	var out []string
	add := func(ips []string) {
		for _, ip := range ips {
			if ip != "" && !slices.Contains(out, ip) {
				out = append(out, ip)
			}
		}
	}
	for _, source := range h.controlSources {
		add(source())
	}
	add(h.Settings().SeedIPs())
	h.ViewLoop.Call(func() { add(h.View.ControlIPs()) })
	return out
}
