package front

import (
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// HandleInternal takes a call of another node and tells whether it was one for
// a front or a cache node.
func (t *Server) HandleInternal(c *app.RequestContext) bool {
	switch string(c.Request.URI().PathOriginal()) {
	case nodeapi.PathRelay:
		t.handleRelay(c)
	case nodeapi.PathCacheFetch:
		if !t.cacheNode {
			return false
		}
		t.fetcher.HandleFetch(c)
	default:
		return false
	}
	return true
}

// handleRelay gathers shards for a front in another zone.
func (t *Server) handleRelay(c *app.RequestContext) {
	var request relay.Request
	if !transport.ReadJSON(c, &request) {
		return
	}
	if response, ok := t.frontend.HandleRelay(request); ok {
		transport.WriteJSON(c, 200, response)
		return
	}
	transport.WriteError(c, 409, "another version is in force here")
}
