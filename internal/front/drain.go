package front

import (
	"time"

	"swiftswitch/internal/events"
)

// Steps of a graceful shutdown, as parts of the grace period.
const (
	// closeListenerAt leaves the platform time to send clients elsewhere after
	// the readiness probe has failed.
	closeListenerAt = 0.5
	// cancelWaitingAt is when requests are answered that wait in the handler.
	cancelWaitingAt = 0.65
	// stopDrainingAt is when the node ends, whatever is in flight.
	stopDrainingAt = 0.92
	// drainCheckInterval is how often the requests in flight are counted.
	drainCheckInterval = 1.0 / 200
)

// Drain shuts down gracefully within a grace period that began at start: it
// waits until the platform sends clients elsewhere, closes the listener and
// lets the requests in flight end.
func (s *Server) Drain(start time.Time, grace time.Duration) {
	events.Log(events.FrontNotReady, "why", "leaving")
	s.frontend.Drain()
	time.Sleep(time.Until(start.Add(scaled(grace, closeListenerAt))))
	s.clients.close()
	// Idle connections are closed; the others close with their response.
	s.clients.connections.Drain()
	canceled := false
	for time.Since(start) < scaled(grace, stopDrainingAt) && (s.clients.connections.Active() > 0 || s.frontend.InFlight() > 0) {
		if !canceled && time.Since(start) > scaled(grace, cancelWaitingAt) {
			canceled = true
			s.frontend.CancelWaiting()
		}
		time.Sleep(scaled(grace, drainCheckInterval))
	}
}
