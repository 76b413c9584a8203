package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"

	"github.com/panjf2000/ants/v2"
)

// replyFunc writes an endpoint's response to a request; an error ends the
// connection.
type replyFunc func(c net.Conn, r *http.Request) error

// testEndpoint is an endpoint that records the requests which it processes.
type testEndpoint struct {
	addr  string
	reply replyFunc

	mu        sync.Mutex
	processed []string
}

func newTestEndpoint(t *testing.T, reply replyFunc) *testEndpoint {
	t.Helper()
	ln := listen(t)
	e := &testEndpoint{addr: ln.Addr().String(), reply: reply}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// listen returns a listener on a free port, closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func (e *testEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.processed = append(e.processed, strings.TrimSpace(r.Method+" "+r.RequestURI+" "+r.Header.Get(upstream.HeaderRequestID)+" "+string(body)))
		e.mu.Unlock()
		if e.reply(c, r) != nil {
			return
		}
	}
}

// takeProcessed returns the requests processed since the last call.
func (e *testEndpoint) takeProcessed() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	processed := e.processed
	e.processed = nil
	return processed
}

// replyWhole answers with the request's own ID and path.
func replyWhole(c net.Conn, r *http.Request) error {
	id, body := r.Header.Get(upstream.HeaderRequestID), r.RequestURI
	if r.Method == "HEAD" {
		body = ""
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Server-Stamp: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(r.RequestURI), body)
	return err
}

// replyStatus answers with a status, these header lines and no body.
func replyStatus(status int, lines ...string) replyFunc {
	return func(c net.Conn, r *http.Request) error {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s\r\nContent-Length: 0\r\n\r\n", status,
			strings.Join(append(lines, "Swiftswitch-Request-Id: "+r.Header.Get(upstream.HeaderRequestID)), "\r\n"))
		return err
	}
}

// replyRaw writes raw bytes and closes the connection.
func replyRaw(raw string) replyFunc {
	return func(c net.Conn, _ *http.Request) error {
		_, _ = io.WriteString(c, raw)
		return io.EOF
	}
}

// replyReset resets the connection.
func replyReset(c net.Conn, _ *http.Request) error {
	_ = c.(*net.TCPConn).SetLinger(0)
	return io.EOF
}

// replyAfter waits before it replies.
func replyAfter(d time.Duration, reply replyFunc) replyFunc {
	return func(c net.Conn, r *http.Request) error {
		time.Sleep(d)
		return reply(c, r)
	}
}

// testBufferedBytes bounds the bodies that a test front has in memory as a whole.
const testBufferedBytes = 128 << 10

// testBodyBytes bounds the bodies that a test front takes.
const testBodyBytes = 1 << 25

// newTestFront serves a route of each kind from endpoints that are attempted in
// the order given. It returns the address for clients and the handler.
func newTestFront(t *testing.T, endpointAddrs ...string) (addr string, h *Handler) {
	t.Helper()
	addr, h = newTestFrontWithoutSnapshot(t, endpointAddrs...)
	h.SetSnapshot(newTestSnapshot())
	return addr, h
}

// newTestFrontWithoutSnapshot is newTestFront right after its start.
func newTestFrontWithoutSnapshot(t *testing.T, endpointAddrs ...string) (addr string, h *Handler) {
	t.Helper()
	h = New(Options{GiveUpAfter: 0.97, WriteTimeout: 2 * time.Second, StartupWait: 2 * time.Second}, newTestGatherer(t, endpointAddrs))
	ln, err := transport.Listen("127.0.0.1:0", time.Second, time.Second, nil)
	if err != nil {
		t.Fatal("no listener")
	}
	limits := transport.RequestLimits{HeaderBytes: 1 << 14, BodyBytes: testBodyBytes, BufferedBodyBytes: testBufferedBytes, ReadTimeout: time.Second, IdleTimeout: time.Second}
	server := transport.Serve(ln, transport.ServerOptions{RequestLimits: limits, TCPUserTimeout: time.Second}, h.Handle)
	t.Cleanup(func() { _ = server.Close(); _ = ln.Close() })
	return ln.Addr().String(), h
}

// newTestGatherer knows endpoints of which each is farther away than the one
// before, so that they are attempted in this order.
func newTestGatherer(t *testing.T, endpointAddrs []string) *scatter.Gatherer {
	t.Helper()
	workers, err := ants.NewPool(64, ants.WithNonblocking(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(workers.Release)
	pool := upstream.NewPool(upstream.Options{
		Distance: func(zone string) int { return min(len(zone), 2) }, TCPUserTimeout: time.Second, DialTimeout: time.Second, MaxBodyBytes: 1 << 20, BufferedBodyBytes: testBufferedBytes,
		IdleTimeout: time.Minute, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, TwoChoicesThreshold: 5, DistancePenalty: 9, DecayTime: time.Second,
	})
	var list []endpoints.Endpoint
	for i, addr := range endpointAddrs {
		list = append(list, endpoints.Endpoint{ID: fmt.Sprint("i", i), Service: "s", Addr: addr, Zone: strings.Repeat("z", i), Slots: 4})
	}
	table, _ := endpoints.NextTable(nil, list, endpoints.Stamp{Epoch: 1})
	pool.SetTable(table)
	startedAt := time.Now()
	return &scatter.Gatherer{
		Upstream: pool, Workers: workers,
		Now:         func() time.Duration { return time.Since(startedAt) },
		RetryBudget: ratelimit.NewRetryBudget(ratelimit.BudgetOptions{Ratio: 1, Slack: 1000, Utilization: 1, FirstWindowShare: 1, Window: time.Second}, 0),
	}
}

// newTestSnapshot has the routes /safe/, /unsafe/ and /cached/ of a.example.
func newTestSnapshot() *Snapshot { return newTestSnapshotWithTimeout(400 * time.Millisecond) }

func newTestSnapshotWithTimeout(timeout time.Duration) *Snapshot {
	var routes []*config.Route
	for _, kind := range []string{"safe", "unsafe", "cached"} {
		routes = append(routes, &config.Route{Name: kind, HostName: "a.example", PathPrefix: "/" + kind + "/", RouteKind: kind, TimeoutMs: float64(timeout.Milliseconds()), Service: "s", Attempts: 3, CacheLifetimeS: 60})
	}
	configuration := &config.Configuration{Version: 1, Services: []*config.Service{{Name: "s"}}, Routes: routes}
	return &Snapshot{RouteTable: routing.Compile(configuration, routing.Limits{HeaderBytes: 1 << 14, BodyBytes: testBodyBytes}, nil)}
}

// testResponse is a response as a client sees it.
type testResponse struct {
	status          int
	id, body, stamp string
}

// send writes raw bytes on a connection of its own and reads the responses to
// requests of these methods, and then whatever else comes.
func send(t *testing.T, addr, raw string, methods ...string) (responses []testResponse, rest string) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, raw) }()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(c)
	for _, method := range methods {
		r, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return responses, err.Error()
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return responses, err.Error()
		}
		responses = append(responses, testResponse{r.StatusCode, r.Header.Get(upstream.HeaderRequestID), string(body), r.Header.Get(upstream.HeaderServerStamp)})
	}
	_ = c.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	b, _ := io.ReadAll(in)
	return responses, string(b)
}

// rawRequest formats a request; lines are further header lines.
func rawRequest(method, target, id, lines, body string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: " + id + "\r\n" + lines + "\r\n" + body
}

// contentLength is the header line of a body.
func contentLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
