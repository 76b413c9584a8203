// Package host holds what the parts of one node share: its settings, its
// monotonic clock, the client for calls to other nodes, the partial view of
// the cluster and the signals that end the process. The control server, the
// front server and the cache fetcher each get a Host and know nothing of each
// other.
package host

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/transport"
)

const (
	// maxIdleConnections is how many idle connections the client keeps to one node.
	maxIdleConnections = 16
	// viewSize and shuffleSize are the sizes of the partial view and of a shuffle.
	viewSize    = 8
	shuffleSize = 3
	// maxInternalHeaderBytes bounds the header of a call between nodes.
	maxInternalHeaderBytes = 64 << 10
	// defaultMemoryMb stands for a memory limit that the settings don't give;
	// a message may take one part in messageMemoryParts of the memory.
	defaultMemoryMb    = 256
	messageMemoryParts = 32
)

// Host is the part of a node that its servers share. Its exported fields are
// set by New and not assigned afterwards.
type Host struct {
	settings  atomic.Pointer[config.Settings]
	startedAt time.Time
	Options   Options
	// Client calls other nodes.
	Client *transport.Client
	// Stopping is closed when the process ends.
	Stopping chan struct{}
	// Draining is set from SIGTERM on.
	Draining atomic.Bool

	// ViewLoop owns View.
	ViewLoop *commandloop.Loop
	View     *peersampling.View

	// controlSources list the control nodes that the node's servers know,
	// those to be tried first in front. Fixed before the servers start.
	controlSources []func() []string
}

// New makes the host of a node with these settings.
func New(settings *config.Settings, options Options) *Host {
	h := &Host{startedAt: time.Now(), Stopping: make(chan struct{}), Options: options, ViewLoop: commandloop.New()}
	h.settings.Store(settings)
	h.Client = transport.NewClient(transport.ClientOptions{
		MaxIdlePerNode: maxIdleConnections,
		IdleTimeout:    config.Milliseconds(settings.Bounds.InTouchMs, 1),
		TCPUserTimeout: h.TCPUserTimeout(),
		MaxBodyBytes:   h.MaxMessageBytes(),
	})
	self := peersampling.Node{Name: settings.NodeName, IP: settings.IpAddress, Zone: settings.Zone, IsControl: settings.HasDisk() && options.Role != RoleCache}
	h.View = peersampling.NewView(self, viewSize, shuffleSize)
	return h
}

// Settings returns the settings in force. They are never changed in place.
func (h *Host) Settings() *config.Settings { return h.settings.Load() }

// SetSettings puts changed settings in force.
func (h *Host) SetSettings(s *config.Settings) { h.settings.Store(s) }

// Now is the time since the node started, by the monotonic clock.
func (h *Host) Now() time.Duration { return time.Since(h.startedAt) }

// Heartbeats returns a multiple of the heartbeat interval.
func (h *Host) Heartbeats(n float64) time.Duration {
	return config.Milliseconds(h.Settings().HeartbeatIntervalMs, n)
}

// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
// kernel ends the connection.
func (h *Host) TCPUserTimeout() time.Duration {
	return config.Milliseconds(h.Settings().Bounds.InTouchMs, 0.5)
}

// LongPollTimeout bounds how long a long poll is held: one that was lost ends
// before the machine counts as in touch again.
func (h *Host) LongPollTimeout() time.Duration {
	return config.Milliseconds(h.Settings().Bounds.InTouchMs, 0.75)
}

// UnreachableTTL is how long a report that an endpoint does not answer keeps
// requests away from it.
func (h *Host) UnreachableTTL() time.Duration {
	return config.Milliseconds(h.Settings().Bounds.InTouchMs, 0.5)
}

// MajorityTimeout is how long a front may be without news from a control node
// in touch with a majority before it keeps to settled versions.
func (h *Host) MajorityTimeout() time.Duration {
	b := h.Settings().Bounds
	if b.RollbackMs > 0 {
		return config.Milliseconds(b.RollbackMs, 0.4)
	}
	return config.Milliseconds(b.InTouchMs, 0.4)
}

// PurgeTime returns a part of the time that a purge may take to reach every cache.
func (h *Host) PurgeTime(ratio float64) time.Duration {
	b := h.Settings().Bounds
	if b.PurgeMs > 0 {
		return config.Milliseconds(b.PurgeMs, ratio)
	}
	return config.Milliseconds(b.ConfigEffectMs, ratio)
}

// RolloutExposure is how many requests a bad version may be sent.
func (h *Host) RolloutExposure() rollout.Exposure {
	b := h.Settings().Bounds
	return rollout.Exposure{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

// MaxMessageBytes bounds a message between nodes.
func (h *Host) MaxMessageBytes() int {
	mb := h.Settings().Limits.MemoryMb
	if mb <= 0 {
		mb = defaultMemoryMb
	}
	return int(mb * (1 << 20) / messageMemoryParts)
}

// ServerOptions are the limits of a listener for other nodes.
func (h *Host) ServerOptions(idleTimeout time.Duration) transport.ServerOptions {
	return transport.ServerOptions{
		MaxHeaderBytes: maxInternalHeaderBytes,
		MaxBodyBytes:   h.MaxMessageBytes(),
		ReadTimeout:    config.Milliseconds(h.Settings().Bounds.InTouchMs, 2),
		IdleTimeout:    idleTimeout,
		TCPUserTimeout: h.TCPUserTimeout(),
	}
}

// Distances of a zone.
const (
	SameZone = iota
	SameRegion
	OtherRegion
)

// Distance tells how far a zone is from this node's own.
func (h *Host) Distance(zone string) int {
	s := h.Settings()
	if zone == s.Zone {
		return SameZone
	}
	if region, known := s.Zones[zone]; known && region == s.Region {
		return SameRegion
	}
	return OtherRegion
}

// AddControlSource registers a list of control nodes that a server of this
// node knows. It must not be called once the servers run.
func (h *Host) AddControlSource(ips func() []string) {
	h.controlSources = append(h.controlSources, ips)
}

// ControlIPs lists the nodes that may keep state, those known best first.
func (h *Host) ControlIPs() []string {
	var out []string
	add := func(ips []string) {
		for _, ip := range ips {
			if ip != "" && !slices.Contains(out, ip) {
				out = append(out, ip)
			}
		}
	}
	for _, ips := range h.controlSources {
		add(ips())
	}
	add(h.Settings().SeedIPs())
	h.ViewLoop.Call(func() { add(h.View.ControlIPs()) })
	return out
}

const (
	randomIDLetters = "abcdefghijkmnpqrstuvwxyz23456789"
	randomIDLength  = 12
)

// RandomID draws a name that no other node or request is likely to have.
func RandomID() string {
	id := make([]byte, randomIDLength)
	for i := range id {
		id[i] = randomIDLetters[rand.IntN(len(randomIDLetters))]
	}
	return string(id)
}
