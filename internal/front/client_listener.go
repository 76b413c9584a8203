package front

import (
	"net"
	"sync/atomic"
	"time"

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
	// connections tracks which connections are idle.
	connections transport.ConnTracker
}

// start listens in the background. Until the node has a configuration and an
// endpoint table, requests wait in the handler.
func (l *clientListener) start() {
	options := l.host.ServerOptions(l.defaultLimits.IdleTimeout)
	options.MaxHeaderBytes = l.host.MaxMessageBytes() / maxHeaderDivisor
	options.Tracker = &l.connections
	options.Timeouts = func() (header, idle time.Duration) {
		limits := l.defaultLimits
		if snapshot := l.handler.Snapshot(); snapshot != nil {
			limits = snapshot.RouteTable.Limits
		}
		return limits.HeaderTimeout, limits.IdleTimeout
	}
	go func() {
		ln, err := transport.Listen(l.host.Settings().ListenAddresses.FrontAddress, l.host.TCPUserTimeout(), l.host.Heartbeats(listenRetryHeartbeats), l.host.Stopping)
		if err != nil {
			return
		}
		l.listener.Store(&ln)
		transport.Serve(ln, options, l.handler.Handle)
	}()
}

// isListening reports whether clients can connect.
func (l *clientListener) isListening() bool { return l.listener.Load() != nil }

// close stops accepting connections.
func (l *clientListener) close() {
	if ln := l.listener.Load(); ln != nil {
		_ = (*ln).Close()
	}
}
