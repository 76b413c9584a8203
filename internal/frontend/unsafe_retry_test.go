package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// postUnsafe sends one request that is not idempotent.
func postUnsafe(t *testing.T, addr, id, body string) ([]testResponse, string) {
	t.Helper()
	return send(t, addr, rawRequest("POST", "/unsafe/a", id, contentLength(body), body), "POST")
}

// A request that is not idempotent is retried only if the endpoint surely did
// not process it: it said so, or never got a byte. Where it may have been
// processed, no response promises that it was not, and none that is not a
// whole response to it is a success.
func TestUnsafeRunsOnce(t *testing.T) {
	closed := listen(t)
	_ = closed.Close()
	notRun := "Swiftswitch-Not-Run: full"
	for name, c := range map[string]struct {
		reply replyFunc
		// addr stands for an endpoint without a reply.
		addr    string
		status  int
		retried bool
	}{
		"whole response":              {reply: replyWhole, status: 200},
		"reset":                       {reply: replyReset, status: 502},
		"closed":                      {reply: replyRaw(""), status: 502},
		"silent":                      {reply: replyAfter(time.Second, replyRaw("")), status: 504},
		"late":                        {reply: replyAfter(500*time.Millisecond, replyWhole), status: 504},
		"truncated body":              {reply: replyRaw("HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf"), status: 502},
		"truncated chunk":             {reply: replyRaw("HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), status: 502},
		"no HTTP":                     {reply: replyRaw("\x16\x03garbage\r\n\r\n"), status: 502},
		"response to another request": {reply: replyStatus(200, "Swiftswitch-Request-Id: other", "Swiftswitch-Server-Stamp: s"), status: 502},
		"promise for another request": {reply: replyRaw("HTTP/1.1 503 X\r\nSwiftswitch-Request-Id: other\r\nSwiftswitch-Not-Run: full\r\nContent-Length: 0\r\n\r\n"), status: 502},
		"success without a stamp":     {reply: replyStatus(200), status: 502},
		"failure":                     {reply: replyStatus(500), status: 500},
		"503 unprocessed":             {reply: replyStatus(503, notRun), status: 200, retried: true},
		"429 unprocessed":             {reply: replyStatus(429, notRun), status: 200, retried: true},
		"misdirected":                 {reply: replyStatus(421), status: 200, retried: true},
		"503 without a promise":       {reply: replyStatus(503), status: 502},
		"429 without a promise":       {reply: replyStatus(429), status: 502},
		"408 without a promise":       {reply: replyStatus(408), status: 502},
		"success unprocessed":         {reply: replyStatus(200, notRun, "Swiftswitch-Server-Stamp: s"), status: 200, retried: true},
		"connection refused":          {addr: closed.Addr().String(), status: 200, retried: true},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := &testEndpoint{addr: c.addr}, newTestEndpoint(t, replyWhole)
			if c.reply != nil {
				first = newTestEndpoint(t, c.reply)
			}
			addr, _ := newTestFront(t, first.addr, second.addr)
			responses, rest := postUnsafe(t, addr, "1", "x")
			if len(responses) != 1 || responses[0].status != c.status || rest != "" || c.status == 200 && (responses[0].body != "/unsafe/a" || responses[0].stamp != "s.1") {
				t.Errorf("answered %+v and then %q, want %d", responses, rest, c.status)
			}
			if n, retries := len(first.takeProcessed()), len(second.takeProcessed()); n > 1 || (retries == 1) != c.retried || retries > 1 {
				t.Errorf("processed %d and %d times", n, retries)
			}
		})
	}
}

// What is sent on an idle connection may have arrived if the connection is
// reset afterwards.
func TestUnsafeResetOnReusedConnection(t *testing.T) {
	requests := 0
	first := newTestEndpoint(t, func(c net.Conn, r *http.Request) error {
		if requests++; requests == 1 {
			return replyWhole(c, r)
		}
		return replyReset(c, r)
	})
	second := newTestEndpoint(t, replyWhole)
	addr, _ := newTestFront(t, first.addr, second.addr)
	for i, want := range []int{200, 502} {
		responses, _ := postUnsafe(t, addr, fmt.Sprint(i), "x")
		if len(responses) != 1 || responses[0].status != want || len(second.takeProcessed()) > 0 {
			t.Errorf("request %d: %+v, want %d", i, responses, want)
		}
	}
}

// Nothing is sent on an idle connection that the endpoint has closed.
func TestUnsafeClosedIdleConnection(t *testing.T) {
	first := newTestEndpoint(t, func(c net.Conn, r *http.Request) error {
		_ = replyWhole(c, r)
		return io.EOF
	})
	second := newTestEndpoint(t, replyWhole)
	addr, _ := newTestFront(t, first.addr, second.addr)
	for i := range 2 {
		responses, _ := postUnsafe(t, addr, fmt.Sprint(i), "x")
		if len(responses) != 1 || responses[0].status != 200 || len(first.takeProcessed())+len(second.takeProcessed()) != 1 {
			t.Errorf("request %d: %+v", i, responses)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A body that was sent in part may have been processed.
func TestUnsafePartialBody(t *testing.T) {
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 4096))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	second := newTestEndpoint(t, replyWhole)
	addr, _ := newTestFront(t, ln.Addr().String(), second.addr)
	responses, _ := postUnsafe(t, addr, "b", string(bytes.Repeat([]byte{'x'}, 1<<21)))
	if len(responses) != 1 || responses[0].status != 502 || len(second.takeProcessed()) > 0 {
		t.Errorf("%+v", responses)
	}
}
