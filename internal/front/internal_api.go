package front

import (
	"context"
	"net/http"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// HandleInternal takes a call of another node and reports whether it was one for
// a front or a cache node.
func (s *Server) HandleInternal(ctx context.Context, c *app.RequestContext) bool {
	switch string(c.Request.URI().PathOriginal()) {
	case nodeapi.PathRelay:
		s.handleRelay(ctx, c)
	case nodeapi.PathCacheFetch:
		if !s.isCacheNode {
			return false
		}
		s.fetcher.HandleFetch(c)
	default:
		return false
	}
	return true
}

// handleRelay gathers some shards of a scattered request for a front in another
// zone.
func (s *Server) handleRelay(ctx context.Context, c *app.RequestContext) {
	var request relay.Request
	if !transport.ReadJSON(c, &request) {
		return
	}
	if response, ok := s.frontend.HandleRelay(transport.CallerFrom(ctx), request); ok {
		transport.WriteJSON(c, http.StatusOK, response)
		return
	}
	transport.WriteError(c, http.StatusConflict, "another version is in force here")
}

// callRelay asks a front in another zone to relay.
func (s *Server) callRelay(ctx context.Context, ip string, request relay.Request, response *relay.Response, timeout time.Duration) error {
	err := s.host.Client.CallJSONContext(ctx, s.host.Settings().InternalAddress(ip), nodeapi.PathRelay, request, response, timeout)
	if err != nil && ctx.Err() == nil {
		// The next poll asks for fronts that may do better.
		s.watcher.rosterReceivedAt.Store(0)
	}
	return err
}
