package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// noticedWithin is after how long a caller's leaving must be noticed: two
// sweeps, and room for a busy machine.
const noticedWithin = 2*hangupSweepInterval + 150*time.Millisecond

// waitingServer serves requests that wait until their caller leaves. Each
// caller that was seen to leave is sent on left.
func waitingServer(t *testing.T) (addr string, handling *atomic.Int64, left chan *Caller) {
	t.Helper()
	handling, left = &atomic.Int64{}, make(chan *Caller, 200)
	socket, err := Listen(anyPort, time.Second, 10*time.Millisecond, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	Serve(socket, testOptions(), func(ctx context.Context, c *app.RequestContext) {
		caller := CallerFrom(ctx)
		caller.Watch(func() {
			handling.Add(1)
			select {
			case <-caller.Context().Done():
				c.SetConnectionClose()
				left <- caller
			case <-time.After(3 * time.Second):
			}
		})
	})
	return socket.Addr().String(), handling, left
}

// dialAndAsk opens a connection and sends requests on it.
func dialAndAsk(t *testing.T, addr string, requests string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, requests); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func awaitHandling(t *testing.T, handling *atomic.Int64, n int64) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); handling.Load() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d requests are handled", handling.Load(), n)
		}
	}
}

const oneRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"

// However a caller leaves, and whatever it sent before, it is noticed soon; and
// not before.
func TestCallerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		requests string
		leave    func(*net.TCPConn)
	}{
		"closes":                    {oneRequest, func(c *net.TCPConn) { _ = c.Close() }},
		"resets":                    {oneRequest, func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		"shuts down its side":       {oneRequest, func(c *net.TCPConn) { _ = c.CloseWrite() }},
		"closes behind a pipeline":  {oneRequest + oneRequest + oneRequest, func(c *net.TCPConn) { _ = c.Close() }},
		"closes in a request":       {oneRequest + "GET /b HTTP", func(c *net.TCPConn) { _ = c.Close() }},
		"closes after a long while": {oneRequest, func(c *net.TCPConn) { time.Sleep(400 * time.Millisecond); _ = c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			addr, handling, left := waitingServer(t)
			conn := dialAndAsk(t, addr, c.requests)
			awaitHandling(t, handling, 1)
			select {
			case <-left:
				t.Fatal("noticed while the caller is there")
			case <-time.After(noticedWithin):
			}
			c.leave(conn)
			select {
			case <-left:
			case <-time.After(noticedWithin):
				t.Fatal("not noticed")
			}
			time.Sleep(20 * time.Millisecond)
			if n := handling.Load(); n != 1 {
				t.Errorf("%d requests were handled; the connection ends with the first", n)
			}
		})
	}
}

// Many callers that leave at once are all noticed, and those who stay are not
// taken for gone.
func TestManyCallersLeaveAtOnce(t *testing.T) {
	addr, handling, left := waitingServer(t)
	const callers = 100
	var conns []*net.TCPConn
	for range callers {
		conns = append(conns, dialAndAsk(t, addr, oneRequest))
	}
	awaitHandling(t, handling, callers)
	for i, conn := range conns {
		if i%4 > 0 {
			_ = conn.Close()
		}
	}
	time.Sleep(noticedWithin)
	if n := len(left); n != callers*3/4 {
		t.Errorf("%d of %d callers are taken for gone, want three in four", n, callers)
	}
}

// Left sees at once, without a sweep, a caller that had left before its request
// was read.
func TestCallerLeftBeforeItsRequestIsRead(t *testing.T) {
	socket, err := Listen(anyPort, time.Second, 10*time.Millisecond, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	gone := dialAndAsk(t, socket.Addr().String(), oneRequest)
	_ = gone.Close()
	stays := dialAndAsk(t, socket.Addr().String(), oneRequest)
	time.Sleep(20 * time.Millisecond)
	seen := make(chan bool, 2)
	Serve(socket, testOptions(), func(ctx context.Context, _ *app.RequestContext) { seen <- CallerFrom(ctx).Left() })
	if first, second := <-seen, <-seen; first == second {
		t.Errorf("both callers: left %v, want one of them", first)
	}
	_ = stays.Close()
}

// A nil Caller, that of a context without one, never leaves.
func TestNoCaller(t *testing.T) {
	caller := CallerFrom(t.Context())
	waited := false
	caller.Watch(func() { waited = true })
	if !waited {
		t.Error("the wait was not called")
	}
	if caller != nil || caller.Left() || caller.Context().Err() != nil {
		t.Errorf("caller %v", caller)
	}
}

// Nothing is looked at any more once no caller is watched.
func TestWatcherRests(t *testing.T) {
	server, client := net.Pipe()
	defer func() { _, _ = server.Close(), client.Close() }()
	watcher := &hangupWatcher{}
	caller := newCaller(server, watcher)
	resting := func() bool {
		watcher.mu.Lock()
		defer watcher.mu.Unlock()
		return !watcher.sweeping && len(watcher.watched) == 0
	}
	for range 2 {
		caller.Watch(func() {
			if resting() {
				t.Error("no sweep is due for a watched caller")
			}
		})
		time.Sleep(3 * hangupSweepInterval)
		if !resting() {
			t.Error("sweeps go on for nobody")
		}
	}
	if caller.Left() {
		t.Error("a connection without a socket is taken for closed")
	}
}

// A call that its context ends fails at once, and the called node sees that its
// caller has left. The client's next call is not affected.
func TestCanceledCall(t *testing.T) {
	addr, handling, left := waitingServer(t)
	client := NewClient(ClientOptions{MaxIdlePerNode: 2, IdleTimeout: time.Second, TCPUserTimeout: time.Second, MaxBodyBytes: 1 << 10})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := client.DoContext(ctx, addr, http.MethodGet, "/a", nil, nil, 3*time.Second)
		failed <- err
	}()
	awaitHandling(t, handling, 1)
	cancel()
	if err := <-failed; err != context.Canceled {
		t.Errorf("the call's error: %v", err)
	}
	select {
	case <-left:
	case <-time.After(noticedWithin):
		t.Error("the called node does not notice")
	}
	if _, err := client.DoContext(ctx, addr, http.MethodGet, "/a", nil, nil, time.Second); err != context.Canceled {
		t.Errorf("a call that was canceled before: %v", err)
	}
	if n := len(client.idle[addr]); n != 0 || handling.Load() != 1 {
		t.Errorf("%d connections are kept, %d calls arrived", n, handling.Load())
	}
}
