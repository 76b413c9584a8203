package front

import (
	"context"
	"net/http"

	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// serveReadiness answers the platform's readiness probes until the node stops.
func (s *Server) serveReadiness() {
	ln, err := transport.Listen(s.host.Settings().ListenAddresses.ReadinessAddress, s.host.TCPUserTimeout(), s.host.Heartbeats(listenRetryHeartbeats), s.host.Stopping)
	if err != nil {
		return
	}
	transport.Serve(ln, s.host.ServerOptions(s.host.Heartbeats(readinessIdleHeartbeats)), s.handleReadiness)
}

func (s *Server) handleReadiness(_ context.Context, c *app.RequestContext) {
	isReady := s.Ready() && !s.host.Draining.Load()
	status := http.StatusServiceUnavailable
	if isReady {
		status = http.StatusOK
	}
	transport.WriteJSON(c, status, map[string]bool{"Ready": isReady})
}
