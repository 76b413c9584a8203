package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

// lateMarker separates what a scripted server sends at once from what it sends
// lateDelay after.
const (
	lateMarker = "late:"
	lateDelay  = 30 * time.Millisecond
)

// serveScript starts a server that answers each request with the next string of
// the script, whatever connection it comes on, and counts the connections.
func serveScript(t *testing.T, script []string) (addr string, conns *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns = &atomic.Int32{}
	responses := make(chan string, len(script))
	for _, response := range script {
		responses <- response
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serveScriptedConn(conn, responses)
		}
	}()
	return listener.Addr().String(), conns
}

// serveScriptedConn answers the requests of one connection.
func serveScriptedConn(conn net.Conn, responses <-chan string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for skipRequest(in) == nil {
		now, late, _ := strings.Cut(<-responses, lateMarker)
		_, _ = fmt.Fprint(conn, now)
		if late != "" {
			time.Sleep(lateDelay)
			_, _ = fmt.Fprint(conn, late)
		}
	}
}

// skipRequest reads a request without a body.
func skipRequest(in *bufio.Reader) error {
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if string(line) == "\r\n" {
			return nil
		}
	}
}

// Numbers of connections for three requests.
const (
	allReuse = 1 // one connection carries all
	oneClose = 2 // the first connection is closed
	noReuse  = 3 // each connection carries one request
)

// Parts of wholeResponse.
const (
	length        = "Content-Length: 4"
	lengthAndBody = length + "\r\n\r\nbody"
)

// malformedResponseTest is a first response of an endpoint, which two whole ones
// follow.
type malformedResponseTest struct {
	name string
	// old is replaced by new in wholeResponse, to make the first response.
	old, new string
	// succeeds is whether that counts as a response, wantBody its body, and
	// wantConns the connections for it and two whole ones.
	succeeds  bool
	wantBody  string
	wantConns int32
}

var malformedResponseTests = []malformedResponseTest{
	{"whole", "", "", true, "body", allReuse},
	{"bytes after it", "body", "bodymore", true, "body", noReuse},
	{"a response after it", "body", "body" + wholeResponse, true, "body", noReuse},
	{"late bytes", "body", "body" + lateMarker + wholeResponse, true, "body", noReuse},
	{"another ID", "r1", "r2", false, "", oneClose},
	{"length not a number", length, "Content-Length: four", false, "", oneClose},
	{"length too large", length, "Content-Length: 99", false, "", oneClose},
	{"two lengths that differ", length, length + "\r\nContent-Length: 2", false, "", oneClose},
	{"space before the colon", length, "Content-Length : 4", false, "", oneClose},
	{"length and chunks", length, length + "\r\nTransfer-Encoding: chunked", false, "", oneClose},
	{"no end", length + "\r\n", "", false, "", oneClose},
	{"not a response", "HTTP/1.1 200 OK", "\x00\x01\x02 garbage", false, "", oneClose},
	{"no status", "200", "9x9", false, "", oneClose},
	{"malformed chunks", lengthAndBody, "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", false, "", oneClose},
	{"a signed length", length, "Content-Length: +4", false, "", oneClose},
	{"a list of lengths", length, "Content-Length: 4, 4", false, "", oneClose},
	{"a negative length", length, "Content-Length: -1", false, "", oneClose},
	{"an unknown coding", length, "Transfer-Encoding: gzip", false, "", oneClose},
	{"a folded line", length, "X-A: 1\r\n Content-Length: 9\r\n" + length, false, "", oneClose},
	{"an older version", "HTTP/1.1", "HTTP/1.0", false, "", oneClose},
	{"an interim response before it", "", "HTTP/1.1 103 X\r\nSwiftswitch-Request-Id: r2\r\nSwiftswitch-Server-Stamp: no\r\n\r\n", true, "body", allReuse},
	{"a switch of protocols", "200 OK", "101 X", false, "", oneClose},
	{"a body where none may be", "200 OK", "204 X", true, "", noReuse},
	{"chunks with trailers", lengthAndBody, "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSwiftswitch-Request-Id: r2\r\n\r\n", true, "body", allReuse},
	{"chunks with extensions", lengthAndBody, "Transfer-Encoding: chunked\r\n\r\n4;x=1\r\nbody\r\n0;y\r\n\r\n", true, "body", allReuse},
	{"an extension that ends its line", lengthAndBody, "Transfer-Encoding: chunked\r\n\r\n4;x=1\nbody\r\n0\r\n\r\n", false, "", oneClose},
	{"a carriage return in an extension", lengthAndBody, "Transfer-Encoding: chunked\r\n\r\n4;x\ry\r\nbody\r\n0\r\n\r\n", false, "", oneClose},
	{"two IDs", length, "Swiftswitch-Request-Id: r2\r\n" + length, false, "", oneClose},
	{"a header without an end", length, "X-A: " + strings.Repeat("a", 256<<10) + "\r\n" + length, false, "", oneClose},
	{"two stamps", length, "Swiftswitch-Server-Stamp: t\r\n" + length, false, "", oneClose},
	{"no stamp", "Swiftswitch-Server-Stamp: s\r\n", "", false, "", allReuse},
}

// Whatever bytes an endpoint sends, only a whole response to this very request
// counts, and a connection with unsolicited bytes is not used again.
func TestMalformedResponses(t *testing.T) {
	for _, c := range malformedResponseTests {
		t.Run(c.name, func(t *testing.T) {
			first := strings.Replace(wholeResponse, c.old, c.new, 1)
			addr, conns := serveScript(t, []string{first, wholeResponse, wholeResponse})
			options := testOptions()
			options.DecayTime = time.Second
			pool := newTestPool(t, options, endpoints.Endpoint{ID: "i", Service: "s", Addr: addr, Slots: 2})
			request, err := NewRequest("GET", "/a", []byte(requestHeaders), nil)
			if err != nil {
				t.Fatal(err)
			}
			do := func() Attempt {
				e, start := pool.Pick(Selector{Service: "s"}, nil, false)
				attempt := pool.Do(context.Background(), e, request, start, time.Now().Add(250*time.Millisecond))
				time.Sleep(2 * lateDelay)
				return attempt
			}
			if a := do(); a.Succeeded() != c.succeeds || c.succeeds && string(a.Records()) != c.wantBody {
				t.Errorf("taken as %+v", a)
			}
			for range 2 {
				if a := do(); !a.Succeeded() || string(a.Records()) != "body" {
					t.Errorf("a whole response after it is taken as %+v", a)
				}
			}
			if n := conns.Load(); n != c.wantConns {
				t.Errorf("%d connections for three requests, want %d", n, c.wantConns)
			}
		})
	}
}

// The response to an internal request carries no ID. Surplus bytes after an
// earlier response are not taken for it.
func TestInternalRequests(t *testing.T) {
	withoutID := func(body string) string {
		return "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: " + body + "\r\nContent-Length: 4\r\n\r\n" + body
	}
	addr, conns := serveScript(t, []string{withoutID("one1") + lateMarker + withoutID("old1"), withoutID("two2"), withoutID("thr3"), withoutID("fou4"), withoutID("fiv5")})
	options := testOptions()
	options.SettleTime = 80 * time.Millisecond
	options.DecayTime = 50 * time.Millisecond
	pool := newTestPool(t, options, endpoints.Endpoint{ID: "i", Service: "s", Addr: addr, Slots: 2})
	for i, want := range []string{"one1", "two2", "thr3", "fou4", "fiv5"} {
		e, start := pool.Pick(Selector{Service: "s"}, nil, false)
		a := pool.Do(context.Background(), e, NewFetchRequest("own", "a.example", "/"+want, ""), start, time.Now().Add(time.Second))
		if !a.Succeeded() || string(a.Records()) != want {
			t.Fatalf("%s was answered with %q, %+v", want, a.Records(), a)
		}
		if i > 0 {
			time.Sleep(150 * time.Millisecond)
		}
	}
	// The second request gets a connection of its own. The third finds the
	// bytes on the first connection, and is alone on its own; the connection of
	// the fourth has settled when the fifth comes.
	if n := conns.Load(); n != 4 {
		t.Fatalf("%d connections", n)
	}
}
