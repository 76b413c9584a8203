package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// exhaustedListener fails to accept a few times, as where no descriptor is left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
	err      error
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// Guards against a front that ran out of descriptors for a moment and never
// accepts a connection again.
func TestServerOutlivesPassingAcceptErrors(t *testing.T) {
	for _, passing := range passingAcceptErrors {
		t.Run(passing.Error(), func(t *testing.T) {
			socket, err := Listen(anyPort, time.Second, 10*time.Millisecond, nil)
			if err != nil {
				t.Fatal(err)
			}
			listener := &exhaustedListener{Listener: socket, err: passing}
			listener.failures.Store(3)
			t.Cleanup(func() { _ = socket.Close() })
			Serve(listener, testOptions(), func(_ context.Context, c *app.RequestContext) { WriteJSON(c, 200, "a") })
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			t.Cleanup(client.CloseIdleConnections)
			response, err := client.Get("http://" + socket.Addr().String() + "/")
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		})
	}
}

// A listener that was closed ends its server.
func TestClosedListenerEndsAccept(t *testing.T) {
	socket, err := Listen(anyPort, time.Second, 10*time.Millisecond, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = socket.Close()
	ended := make(chan error, 1)
	go func() {
		listener := &trackedListener{Listener: socket, tracker: unlimited().NewTracker(), options: &ServerOptions{}}
		_, err := listener.accept()
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a closed listener accepted a connection")
		}
	case <-time.After(2 * time.Second):
		t.Error("it goes on")
	}
}

// Where no descriptor is left, the connection that has rested for longest makes
// room, and none with a request under way.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	tracker := unlimited().NewTracker()
	options := testOptions()
	options.Tracker = tracker
	options.ReadTimeout, options.IdleTimeout = 10*time.Second, 10*time.Second
	busy, release := make(chan bool, 1), make(chan bool)
	listener := startServer(t, anyPort, options, func(c *app.RequestContext) {
		if string(c.Request.URI().Path()) == "/wait" {
			busy <- true
			<-release
		}
		WriteJSON(c, 200, "a")
	})
	open := func(path string) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		return conn
	}
	answered := func(conn net.Conn) error {
		_, err := io.ReadAtLeast(conn, make([]byte, 512), len("HTTP/1.1 200"))
		return err
	}
	// rests waits until only the first connection has a request under way.
	rests := func() {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); tracker.Active() > 1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("an answered connection does not rest")
			}
		}
	}
	waiting := open("/wait")
	<-busy
	oldest := open("/")
	if err := answered(oldest); err != nil {
		t.Fatal(err)
	}
	rests()
	newer := open("/")
	if err := answered(newer); err != nil {
		t.Fatal(err)
	}
	rests()
	tracker.EndIdle(1)
	if _, err := oldest.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection that rested for longest: %v", err)
	}
	close(release)
	if err := answered(waiting); err != nil {
		t.Errorf("the connection with a request under way: %v", err)
	}
	_, _ = io.WriteString(newer, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if err := answered(newer); err != nil {
		t.Errorf("the connection that rested for shorter: %v", err)
	}
}
