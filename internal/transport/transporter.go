package transport

import (
	"context"

	"github.com/cloudwego/hertz/pkg/network"
)

// transporter hands the connections of a listener to hertz, each with a
// goroutine of its own. It implements network.Transporter.
type transporter struct {
	listener *trackedListener
}

// ListenAndServe implements network.Transporter. It ends with its listener.
func (t *transporter) ListenAndServe(serve network.OnData) error {
	for {
		conn, err := t.listener.accept()
		if err != nil {
			return err
		}
		go func() { _ = serve(conn.caller.ctx, conn) }()
	}
}

// Close implements network.Transporter.
func (t *transporter) Close() error { return t.listener.Close() }

// Shutdown implements network.Transporter. Draining is for the ConnTracker.
func (t *transporter) Shutdown(context.Context) error { return t.listener.Close() }
