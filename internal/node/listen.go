package node

import (
	"context"
	"net/http"
	"slices"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// listenRetryHeartbeats is after how many heartbeat intervals a node whose
	// port is taken retries to listen.
	listenRetryHeartbeats = 0.1
	// idleTimeoutRatio, of InTouchMs, is how long a listener keeps an idle
	// connection.
	idleTimeoutRatio = 2
)

// listen opens the port for other nodes and, where the settings say so, the
// control address for the operator.
func (n *Node) listen() error {
	settings := n.Settings()
	if err := n.serve(settings.InternalAddress(settings.IpAddress), n.HandleInternal); err != nil {
		return err
	}
	if !slices.Contains(settings.Serves, "control") {
		return nil
	}
	return n.serve(settings.ListenAddresses.ControlAddress, n.handleOperator)
}

func (n *Node) serve(address string, handle app.HandlerFunc) error {
	listener, err := transport.Listen(address, n.TCPUserTimeout(), n.Heartbeats(listenRetryHeartbeats), n.Stopping)
	if err != nil {
		return err
	}
	idleTimeout := config.Milliseconds(n.Settings().Bounds.InTouchMs, idleTimeoutRatio)
	transport.Serve(listener, n.ServerOptions(idleTimeout), handle)
	n.listeners = append(n.listeners, listener)
	return nil
}

// HandleInternal serves the port for other nodes: their calls, and the
// operator's calls too.
func (n *Node) HandleInternal(ctx context.Context, c *app.RequestContext) {
	path := string(c.Request.URI().PathOriginal())
	switch {
	case path == nodeapi.PathShuffle:
		n.handleShuffle(c)
	case path == nodeapi.PathStatus:
		transport.WriteJSON(c, http.StatusOK, n.Status())
	case isOperatorPath(path):
		n.handleOperator(ctx, c)
	case n.control != nil && n.control.HandleInternal(c):
	case n.front != nil && n.front.HandleInternal(ctx, c):
	default:
		transport.WriteError(c, http.StatusNotFound, "no such call")
	}
}
