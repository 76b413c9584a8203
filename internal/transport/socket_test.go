package transport

import (
	"testing"

	"golang.org/x/sys/unix"
)

// A peek that a signal interrupted says nothing about the socket.
func TestPeekState(t *testing.T) {
	type answer struct {
		n   int
		err error
	}
	for _, test := range []struct {
		name    string
		answers []answer
		want    socketState
	}{
		{"nothing to read", []answer{{0, unix.EAGAIN}}, socketOpen},
		{"a byte", []answer{{1, nil}}, socketReadable},
		{"the end", []answer{{0, nil}}, socketEnded},
		{"reset", []answer{{0, unix.ECONNRESET}}, socketEnded},
		{"interrupted, then the end", []answer{{0, unix.EINTR}, {0, unix.EINTR}, {0, nil}}, socketEnded},
		{"interrupted, then a byte", []answer{{-1, unix.EINTR}, {1, nil}}, socketReadable},
		{"interrupted, then nothing", []answer{{-1, unix.EINTR}, {-1, unix.EAGAIN}}, socketOpen},
	} {
		t.Run(test.name, func(t *testing.T) {
			peeks := 0
			got := peekState(func([]byte) (int, error) {
				peeks++
				return test.answers[peeks-1].n, test.answers[peeks-1].err
			})
			if got != test.want || peeks != len(test.answers) {
				t.Fatalf("state %v after %d peeks, want %v after %d", got, peeks, test.want, len(test.answers))
			}
		})
	}
}
