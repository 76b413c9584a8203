package lodge

import (
	"swiftswitch/internal/relay"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// HandleInternal takes a call of another node and tells whether it was one for
// a front or a cache node.
func (t *FrontServer) HandleInternal(c *app.RequestContext) bool {
	switch string(c.Request.URI().PathOriginal()) {
	case PathRelay:
		t.handleRelay(c)
	case PathCacheFetch:
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
func (t *FrontServer) handleRelay(c *app.RequestContext) {
	var request relay.Ask
	if !transport.ReadJSON(c, &request) {
		return
	}
	if response, ok := t.frontend.Lend(request); ok {
		transport.WriteJSON(c, 200, response)
		return
	}
	transport.WriteJSON(c, 409, map[string]string{"Error": "another version is in force here"})
}
