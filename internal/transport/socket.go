package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlTCPUserTimeout returns a Control function for dialers and listeners
// that sets TCP_USER_TIMEOUT: a connection breaks once sent bytes have gone
// without an acknowledgement for that long, rather than after the many minutes
// of TCP's own retries.
func controlTCPUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { setTCPUserTimeout(fd, timeout) })
	}
}

// setTCPUserTimeoutOn sets TCP_USER_TIMEOUT on a connection that a listener
// accepted.
func setTCPUserTimeoutOn(conn net.Conn, timeout time.Duration) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setTCPUserTimeout(fd, timeout) })
}

func setTCPUserTimeout(fd uintptr, timeout time.Duration) {
	_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
}

// socketState is what a connected socket shows to a reader.
type socketState int

const (
	// socketOpen: nothing to read, and the peer may still send.
	socketOpen socketState = iota
	// socketReadable: there are bytes to read.
	socketReadable
	// socketEnded: the peer has closed or reset the connection, or shut down its
	// sending side, and there is nothing to read before that.
	socketEnded
)

// peekSocket returns the state of a socket without reading from it or blocking.
func peekSocket(fd int) socketState {
	return peekState(func(b []byte) (int, error) {
		n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
}

// peekState returns what a peek at a socket says. One that a signal interrupted
// says nothing and is made again.
func peekState(peek func(b []byte) (int, error)) socketState {
	var b [1]byte
	n, err := peek(b[:])
	for err == unix.EINTR {
		n, err = peek(b[:])
	}
	switch {
	case err == unix.EAGAIN:
		return socketOpen
	case n > 0:
		return socketReadable
	}
	return socketEnded
}
