package front

import (
	"time"

	"swiftswitch/internal/events"
)

// maxAcceptTime is how long after its signal a draining node accepts requests at
// most. The users let a node cut requests at the end of its grace period, but
// none that was sent later than 3 s after the signal.
const maxAcceptTime = 3 * time.Second

// Steps of a graceful shutdown, as parts of the grace period.
const (
	// closeListenerAt leaves the platform time to send clients elsewhere after
	// the readiness probe has failed; it is maxAcceptTime at the latest.
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
	time.Sleep(time.Until(start.Add(acceptTime(grace))))
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

// acceptTime returns for how long of a grace period requests are accepted.
func acceptTime(grace time.Duration) time.Duration {
	return min(scaled(grace, closeListenerAt), maxAcceptTime)
}

// scaled returns a part of a duration.
func scaled(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}
