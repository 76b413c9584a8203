package transport

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"swiftswitch/internal/events"
)

const (
	// minAcceptPause is the pause after an attempt to accept a connection
	// failed. It doubles with each further one, up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 80 * time.Millisecond
	// acceptLogInterval is how often failed attempts are logged at most.
	acceptLogInterval = time.Second
	// idleEndedAtOnce is how many idle connections are ended where there is no
	// descriptor left for another one.
	idleEndedAtOnce = 16
)

// passingAcceptErrors are those after which a listener can go on: the process or
// the machine has no descriptor or memory left for a connection now, or the
// client left before its connection was accepted.
var passingAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EINTR, syscall.EAGAIN,
}

// trackedListener accepts connections that its tracker knows, and whose callers
// its hangupWatcher can watch. One goroutine at a time accepts.
type trackedListener struct {
	net.Listener
	tracker *ConnTracker
	options *ServerOptions
	hangups *hangupWatcher
	// failureLoggedAt is when a failed attempt was logged last.
	failureLoggedAt time.Time
}

// accept waits for the next connection for which there is room. The server ends
// with the first error, so only one that is final is returned.
func (l *trackedListener) accept() (*serverConn, error) {
	for {
		conn, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		setTCPUserTimeoutOn(conn, l.options.TCPUserTimeout)
		c := newServerConn(conn, l.tracker, l.options, l.hangups)
		if l.tracker.budget.admit(c) {
			return c, nil
		}
		l.tracker.budget.metrics.refusals[refusedNoRoom].Inc()
		_ = c.Close()
	}
}

// acceptNext waits for the next connection, through errors that pass.
func (l *trackedListener) acceptNext() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || !isPassing(err) {
			return conn, err
		}
		if time.Since(l.failureLoggedAt) > acceptLogInterval {
			l.failureLoggedAt = time.Now()
			events.Log(events.AcceptFailed, "addr", l.Addr(), "err", err)
		}
		if isOutOfDescriptors(err) {
			l.tracker.EndIdle(idleEndedAtOnce)
		}
		time.Sleep(pause)
	}
}

func isPassing(err error) bool {
	return slices.ContainsFunc(passingAcceptErrors, func(passing error) bool { return errors.Is(err, passing) })
}

func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
