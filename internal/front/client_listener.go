package front

import (
	"net"
	"sync/atomic"

	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/transport"
)

const (
	// listenRetryHeartbeats is the pause, in heartbeat intervals, before
	// another attempt to listen on an address that is in use.
	listenRetryHeartbeats = 0.1
	// readinessIdleHeartbeats is how long a probe's connection may be idle.
	readinessIdleHeartbeats = 8
	// maxHeaderDivisor bounds a header by a part of the greatest message.
	maxHeaderDivisor = 16
)

// clientListener accepts the clients' connections.
type clientListener struct {
	host          *host.Host
	handler       *frontend.Handler
	defaultLimits routing.Limits

	// listener is nil until the address could be bound.
	listener atomic.Pointer[net.Listener]
	// connections tracks the clients' connections.
	connections *transport.ConnTracker
}

// start listens in the background. Until the node has a configuration and an
// endpoint table, requests wait in the handler.
func (l *clientListener) start() {
	options := l.host.ServerOptions(l.defaultLimits.IdleTimeout)
	options.Tracker = l.connections
	options.Limits = l.limits
	options.BodyCopies = 0 // attempts share the body
	go func() {
		ln, err := transport.Listen(l.host.Settings().ListenAddresses.FrontAddress, l.host.TCPUserTimeout(), l.host.Heartbeats(listenRetryHeartbeats), l.host.Stopping)
		if err != nil {
			return
		}
		l.listener.Store(&ln)
		transport.Serve(ln, options, l.handler.Handle)
	}()
}

// limits returns what bounds the clients' next requests: the operator's limits,
// as far as the node's memory allows, and until they are known the memory alone.
func (l *clientListener) limits() transport.RequestLimits {
	limits := transport.RequestLimits{
		HeaderBytes: l.host.MaxMessageBytes() / maxHeaderDivisor,
		BodyBytes:   l.host.MaxMessageBytes(),
		ReadTimeout: l.defaultLimits.HeaderTimeout,
		IdleTimeout: l.defaultLimits.IdleTimeout,
	}
	snapshot := l.handler.Snapshot()
	if snapshot == nil {
		return limits
	}
	inForce := &snapshot.RouteTable.Limits
	limits.HeaderBytes = min(limits.HeaderBytes, inForce.HeaderBytes)
	limits.BodyBytes = inForce.BodyBytes
	limits.BufferedBodyBytes = l.host.MaxBufferedBodyBytes()
	limits.ReadTimeout, limits.IdleTimeout = inForce.HeaderTimeout, inForce.IdleTimeout
	return limits
}

// isListening reports whether clients can connect.
func (l *clientListener) isListening() bool { return l.listener.Load() != nil }

// close stops accepting connections.
func (l *clientListener) close() {
	if ln := l.listener.Load(); ln != nil {
		_ = (*ln).Close()
	}
}
