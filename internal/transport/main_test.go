package transport

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"swiftswitch/internal/events"
)

func TestMain(m *testing.M) {
	events.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// testOptions are limits that no test runs into.
func testOptions() ServerOptions {
	return ServerOptions{
		RequestLimits:  RequestLimits{HeaderBytes: 1 << 16, BodyBytes: 1 << 20, ReadTimeout: time.Second, IdleTimeout: time.Second},
		TCPUserTimeout: time.Second,
	}
}

// killableListener counts its connections, which end with it, as with the
// process that held them.
type killableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *killableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

func (l *killableListener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *killableListener) kill() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// startServer serves on addr until the test ends or the listener is killed.
func startServer(t *testing.T, addr string, options ServerOptions, handle func(c *app.RequestContext)) *killableListener {
	t.Helper()
	socket, err := Listen(addr, time.Second, 10*time.Millisecond, nil)
	if err != nil {
		t.Fatal(err)
	}
	listener := &killableListener{Listener: socket}
	t.Cleanup(listener.kill)
	Serve(listener, options, func(_ context.Context, c *app.RequestContext) { handle(c) })
	return listener
}
