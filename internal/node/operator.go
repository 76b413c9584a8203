package node

import (
	"context"
	"net/http"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// isOperatorPath reports whether path is that of an operator's call.
func isOperatorPath(path string) bool {
	return path == nodeapi.PathConfiguration || path == nodeapi.PathPurge || nodeapi.IsRolloutPath(path)
}

// rejectMethod returns why an operator's call can't have this method, empty if
// it can.
func rejectMethod(path, method string) string {
	switch {
	case path == nodeapi.PathConfiguration:
		if method != "GET" && method != "PUT" && method != "PATCH" {
			return "GET, PUT and PATCH only"
		}
	case path == nodeapi.PathPurge:
		if method != "POST" {
			return "POST only"
		}
	case method != "GET" && !(method == "POST" && path == nodeapi.PathRollouts):
		return "POST " + nodeapi.PathRollouts + " and GET only"
	}
	return ""
}

// handleOperator serves the operator's calls, and forwards what this node can't
// settle. Each is settled within its caller's timeout or not at all: a caller
// that got no answer goes on to another node, and may have sent other orders by
// the time that this one could answer. For the same reason nothing is begun for
// a caller that has left.
func (n *Node) handleOperator(ctx context.Context, c *app.RequestContext) {
	caller := transport.CallerFrom(ctx)
	if caller.Left() {
		n.WriteUnavailable(c, "the caller has left")
		return
	}
	path, method := string(c.Request.URI().PathOriginal()), string(c.Request.Header.Method())
	if n.control != nil && method != "GET" {
		end, ok := n.control.BeginChange()
		defer end()
		if !ok {
			c.Response.Header.Set("Retry-After", "0.2")
			transport.WriteError(c, http.StatusServiceUnavailable, "this node leaves")
			return
		}
	}
	deadline := n.callerDeadline(c)
	if !isOperatorPath(path) {
		transport.WriteError(c, http.StatusNotFound, "no such call")
		return
	}
	if reason := rejectMethod(path, method); reason != "" {
		transport.WriteError(c, http.StatusMethodNotAllowed, reason)
		return
	}
	// A late change of the configuration is rejected because of its base
	// version; a late POST can't be told from a timely one.
	if method == "POST" && n.recentlyPaused() {
		n.WriteUnavailable(c, "this node stood still, and the order may be an old one")
		return
	}
	switch {
	case n.control == nil || !n.control.HasState():
		n.forward(c, caller, path, deadline)
	case path == nodeapi.PathConfiguration:
		n.control.HandleConfiguration(c, deadline)
	case path == nodeapi.PathPurge:
		n.control.HandlePurge(c, deadline)
	default:
		n.control.HandleRollout(c, path, deadline)
	}
}
