package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"

	"swiftswitch/internal/events"
	"swiftswitch/internal/metrics"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// metricsPath is where the metrics stand.
	metricsPath = "/metrics"
	// metricsRetryHeartbeats is after how many heartbeat intervals a node whose
	// port for metrics is taken tries again to listen.
	metricsRetryHeartbeats = 10
	// metricsIdleHeartbeats is how long a connection for metrics may rest.
	metricsIdleHeartbeats = 30
)

// serveMetrics serves the metrics until the node stops, if the options name a
// port. The node runs whether or not the port is free.
func (n *Node) serveMetrics() {
	if n.Options.MetricsPort == 0 {
		return
	}
	metrics.RegisterGauges(n.Metrics, n.gauges)
	address := net.JoinHostPort(n.Settings().IpAddress, strconv.Itoa(n.Options.MetricsPort))
	go func() {
		listener, err := transport.Listen(address, n.TCPUserTimeout(), n.Heartbeats(metricsRetryHeartbeats), n.Stopping)
		if err != nil {
			return
		}
		transport.Serve(listener, n.ServerOptions(n.Heartbeats(metricsIdleHeartbeats)), n.handleMetrics)
		<-n.Stopping
		_ = listener.Close() // the process ends
	}()
}

func (n *Node) handleMetrics(_ context.Context, c *app.RequestContext) {
	if string(c.Request.URI().PathOriginal()) != metricsPath || string(c.Request.Header.Method()) != http.MethodGet {
		transport.WriteError(c, http.StatusNotFound, "metrics stand at GET "+metricsPath)
		return
	}
	text, err := metrics.Text(n.Metrics)
	if err != nil {
		transport.WriteError(c, http.StatusInternalServerError, err.Error())
		return
	}
	c.SetStatusCode(http.StatusOK)
	c.Response.Header.SetContentType(metrics.ContentType)
	c.Response.SetBody(text)
}

// gauges reads the node's figures of this moment.
func (n *Node) gauges() []metrics.Gauge {
	draining := 0.0
	if n.Draining.Load() {
		draining = 1
	}
	callers := n.Budget.Usage()
	gauges := []metrics.Gauge{
		{Name: "caller_connections", Help: "Connections that were accepted and are open.", Value: float64(callers.Connections)},
		{Name: "caller_buffer_bytes", Help: "Bytes that requests and responses of callers take of the budget.", Value: float64(callers.BufferBytes)},
		{Name: "callers_waiting", Help: "Requests that wait for room in the budget.", Value: float64(callers.Waiting)},
		{Name: "up_seconds", Help: "Time since the process started.", Value: n.Now().Seconds()},
		{Name: "draining", Help: "Whether the node drains.", Value: draining},
		{Name: "unsupported_settings", Help: "Things that the settings ask for and this program does not do.", Value: float64(len(n.Settings().Unsupported()))},
	}
	if n.control != nil {
		gauges = append(gauges, n.control.Gauges()...)
	}
	if n.front != nil {
		gauges = append(gauges, n.front.Gauges()...)
	}
	return gauges
}

// logUnsupported says what the settings ask for and this program does not do.
func (n *Node) logUnsupported() {
	if unsupported := n.Settings().Unsupported(); len(unsupported) > 0 {
		events.Log(events.SettingsUnsupported, "settings", strings.Join(unsupported, ","))
	}
}
