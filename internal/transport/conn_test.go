package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// answerOnce accepts one connection, reads something and writes response; then
// it closes the connection, or holds it open until the test ends.
func answerOnce(t *testing.T, response string, closes bool) (addr string) {
	t.Helper()
	socket, err := net.Listen("tcp4", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	listener := &killableListener{Listener: socket}
	t.Cleanup(listener.kill)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = io.WriteString(conn, response)
		if closes {
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func exchange(t *testing.T, addr string, isHead bool) (*Conn, *protocol.Response, error) {
	t.Helper()
	conn, err := Dial(addr, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	out := &protocol.Response{}
	sent, err := conn.Exchange(t.Context(), &Outgoing{Parts: [][]byte{[]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")}, IsHead: isHead, MaxBodyBytes: 1 << 10}, time.Now().Add(time.Second), out)
	if !sent {
		t.Error("nothing was sent")
	}
	return conn, out, err
}

// A response is taken only if its end is beyond doubt.
func TestExchangeFraming(t *testing.T) {
	for _, tc := range []struct {
		name, response string
		closes         bool
		want           error
	}{
		{name: "length", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
		{name: "chunks", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
		{name: "interim response", response: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
		{name: "no length", response: "HTTP/1.1 200 OK\r\n\r\nab", closes: true, want: ErrNoBodyLength},
		{name: "two lengths", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", want: ErrAmbiguousFraming},
		{name: "length and chunks", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", want: ErrAmbiguousFraming},
		{name: "truncated", response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", closes: true, want: io.ErrUnexpectedEOF},
		{name: "old version", response: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", want: errNotHTTP11},
		{name: "no status", response: "HTTP/1.1 700 What\r\nContent-Length: 2\r\n\r\nab", want: errInvalidStatus},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, out, err := exchange(t, answerOnce(t, tc.response, tc.closes), false)
			if !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v", err, tc.want)
			}
			if err == nil && (out.StatusCode() != 200 || string(out.Body()) != "ab") {
				t.Errorf("response %d, %q", out.StatusCode(), out.Body())
			}
		})
	}
}

func TestFramedOnce(t *testing.T) {
	for _, tc := range []struct {
		head string
		want bool
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a: b\r\n\r\n", true},
		{"HTTP/1.1 200 OK\nContent-Length: 2\n\n", true},
		{"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nCONTENT-LENGTH: 2\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 2\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\n: no name\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: a\rContent-Length: 2\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n", false},
	} {
		if got := framedOnce([]byte(tc.head)); got != tc.want {
			t.Errorf("%q: %v, want %v", tc.head, got, tc.want)
		}
	}
}

// Bytes after a response are noticed at once or when the idle connection is
// looked at, and keep the connection from the next request.
func TestUnsolicitedBytesAreNoticed(t *testing.T) {
	conn, _, err := exchange(t, answerOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP", false), false)
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		if reusable, unsolicited := conn.CheckIdle(); !reusable && unsolicited {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the bytes after the response are not noticed")
		}
	}
	if conn.Reusable() {
		t.Error("the connection is called reusable")
	}
}

// An idle connection that its peer closed is not reusable, and nobody is
// blamed for unsolicited bytes.
func TestClosedConnectionIsNotReusable(t *testing.T) {
	conn, _, err := exchange(t, answerOnce(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true), false)
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Second); conn.Reusable(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the end of the connection is not noticed")
		}
	}
	if _, unsolicited := conn.CheckIdle(); unsolicited {
		t.Error("a closed connection is said to have sent bytes")
	}
}
