package host

import (
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/quota"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/transport"
)

// Ratios of the settings' bounds that timeouts are derived from. The bound
// that each is a ratio of stands at the method that uses it.
const (
	tcpUserTimeoutRatio  = 0.5
	longPollRatio        = 0.75
	unreachableTTLRatio  = 0.5
	majorityTimeoutRatio = 0.4
	readTimeoutRatio     = 2
)

const (
	// maxInternalHeaderBytes bounds the header of a call between nodes.
	maxInternalHeaderBytes = 64 << 10
	// defaultMemoryMb is assumed where the settings give no memory limit. A
	// message may take one part in messageMemoryParts of the memory.
	defaultMemoryMb    = 256
	messageMemoryParts = 32
	// bufferedBodyParts of the greatest message are bodies of clients that are in
	// memory as a whole.
	bufferedBodyParts = 8
	// messageCopies is how many copies of a message its decoding and its handling
	// hold.
	messageCopies = 2
	// retryAfterHeartbeats is when a caller may come back that found no room.
	retryAfterHeartbeats = 0.02
)

// defaultQuotaWindow is assumed where the settings give no QuotaWindowS.
const defaultQuotaWindow = 5 * time.Second

// What callers may make a node take of its Limits.
const (
	// defaultFileDescriptors is assumed where the settings give no limit.
	defaultFileDescriptors = 1024
	// reservedFileDescriptors are kept for files.
	reservedFileDescriptors = 200
	// callerDescriptorRatio of the other descriptors are for accepted
	// connections. The rest is for connections to searchers and nodes.
	callerDescriptorRatio = 0.75
	// callerBufferRatio and callerConnectionRatio of MemoryMb are for the buffers
	// and for the connections of callers.
	callerBufferRatio     = 0.25
	callerConnectionRatio = 0.25
	// connectionBytes is about what a connection takes besides buffers: its
	// goroutine's stack and what the library keeps for it.
	connectionBytes = 16 << 10
)

// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
// kernel ends the connection; a ratio of InTouchMs.
func (h *Host) TCPUserTimeout() time.Duration {
	return config.Milliseconds(h.Settings().Bounds.InTouchMs, tcpUserTimeoutRatio)
}

// LongPollTimeout bounds how long a long poll is held; a ratio of InTouchMs
// below 1, so that one that was lost ends before the machine counts as in touch
// again.
func (h *Host) LongPollTimeout() time.Duration {
	return config.Milliseconds(h.Settings().Bounds.InTouchMs, longPollRatio)
}

// UnreachableTTL is how long a report that an endpoint does not answer keeps
// requests away from it; a ratio of InTouchMs.
func (h *Host) UnreachableTTL() time.Duration {
	return config.Milliseconds(h.Settings().Bounds.InTouchMs, unreachableTTLRatio)
}

// MajorityTimeout is how long a front may be without an answer from a control
// node in touch with a majority before it keeps to versions whose rollout has
// ended; a ratio of RollbackMs, or of InTouchMs where that is not set.
func (h *Host) MajorityTimeout() time.Duration {
	bounds := h.Settings().Bounds
	if bounds.RollbackMs > 0 {
		return config.Milliseconds(bounds.RollbackMs, majorityTimeoutRatio)
	}
	return config.Milliseconds(bounds.InTouchMs, majorityTimeoutRatio)
}

// PurgeTime returns a ratio of the time that a purge may take to reach every
// cache: PurgeMs, or ConfigEffectMs where that is not set.
func (h *Host) PurgeTime(ratio float64) time.Duration {
	bounds := h.Settings().Bounds
	if bounds.PurgeMs > 0 {
		return config.Milliseconds(bounds.PurgeMs, ratio)
	}
	return config.Milliseconds(bounds.ConfigEffectMs, ratio)
}

// RolloutExposure is how many requests may be sent to a bad version.
func (h *Host) RolloutExposure() rollout.Exposure {
	bounds := h.Settings().Bounds
	return rollout.Exposure{Share: bounds.ExposureShare, Slack: bounds.ExposureSlack}
}

// QuotaBounds say by how much the requests of a tenant may exceed its quota.
func (h *Host) QuotaBounds() quota.Bounds {
	bounds := h.Settings().Bounds
	window := config.Seconds(bounds.QuotaWindowS, 1)
	if window <= 0 {
		window = defaultQuotaWindow
	}
	return quota.Bounds{Window: window, Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack}
}

// memoryBytes is the memory that the node may take.
func (h *Host) memoryBytes() float64 {
	memoryMb := h.Settings().Limits.MemoryMb
	if memoryMb <= 0 {
		memoryMb = defaultMemoryMb
	}
	return memoryMb * (1 << 20)
}

// MaxMessageBytes bounds a message between nodes, unpacked or not.
func (h *Host) MaxMessageBytes() int { return int(h.memoryBytes() / messageMemoryParts) }

// MaxBufferedBodyBytes bounds the bodies of clients' requests, and of responses to
// them, that are in memory as a whole. Larger ones are passed on as they come.
func (h *Host) MaxBufferedBodyBytes() int { return h.MaxMessageBytes() / bufferedBodyParts }

// callerLimits is what the callers of all listeners may take together.
func (h *Host) callerLimits() transport.ResourceLimits {
	descriptors := h.Settings().Limits.FileDescriptors
	if descriptors <= 0 {
		descriptors = defaultFileDescriptors
	}
	byDescriptors := float64(max(descriptors-reservedFileDescriptors, 1)) * callerDescriptorRatio
	byMemory := h.memoryBytes() * callerConnectionRatio / connectionBytes
	return transport.ResourceLimits{
		BufferBytes: int(h.memoryBytes() * callerBufferRatio),
		Connections: int(min(byDescriptors, byMemory)),
	}
}

// ServerOptions are the limits of a listener for other nodes.
func (h *Host) ServerOptions(idleTimeout time.Duration) transport.ServerOptions {
	return transport.ServerOptions{
		RequestLimits: transport.RequestLimits{
			HeaderBytes: maxInternalHeaderBytes,
			BodyBytes:   h.MaxMessageBytes(),
			ReadTimeout: config.Milliseconds(h.Settings().Bounds.InTouchMs, readTimeoutRatio),
			IdleTimeout: idleTimeout,
		},
		TCPUserTimeout: h.TCPUserTimeout(),
		BodyCopies:     messageCopies,
		RetryAfter:     h.Heartbeats(retryAfterHeartbeats),
		Budget:         h.Budget,
	}
}
