package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// A client that was told to go on with its body is in the middle of a request:
// a draining listener reads and answers it, and ends the connection then.
func TestDrainAnswersRequestAfterContinue(t *testing.T) {
	tracker := unlimited().NewTracker()
	options := testOptions()
	options.Tracker = tracker
	options.ReadTimeout, options.IdleTimeout = time.Second, time.Second
	listener := startServer(t, anyPort, options, func(c *app.RequestContext) {
		WriteJSON(c, 200, string(c.Request.Body()))
	})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	in := bufio.NewReader(conn)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 100 {
		t.Fatalf("the interim response: %+v %v", r, err)
	}
	time.Sleep(20 * time.Millisecond)
	if n := tracker.Active(); n != 1 {
		t.Errorf("%d connections count as active", n)
	}
	tracker.Drain()
	_, _ = io.WriteString(conn, "body")
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != 200 {
		t.Fatalf("the response: %+v %v", r, err)
	}
	if b, err := io.ReadAll(r.Body); string(b) != `"body"` || err != nil {
		t.Fatalf("its body: %q %v", b, err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("after it: %v", err)
	}
}

// Drain ends a connection that rests between requests without an answer.
func TestDrainEndsIdleConnections(t *testing.T) {
	tracker := unlimited().NewTracker()
	options := testOptions()
	options.Tracker = tracker
	options.ReadTimeout, options.IdleTimeout = 10*time.Second, 10*time.Second
	listener := startServer(t, anyPort, options, func(c *app.RequestContext) { WriteJSON(c, 200, "a") })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	in := bufio.NewReader(conn)
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	for deadline := time.Now().Add(time.Second); tracker.Active() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection counts as active after its response")
		}
	}
	tracker.Drain()
	if _, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("after Drain: %v", err)
	}
}
