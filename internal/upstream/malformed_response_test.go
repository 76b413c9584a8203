package upstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

// garbler answers each request with the next of a script's lines; "late:" sends
// the rest a little after the answer before it.
func garbler(t *testing.T, script []string) (addr string, conns *atomic.Int32) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns = &atomic.Int32{}
	next := make(chan string, len(script))
	for _, s := range script {
		next <- s
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					for line := ""; line != "\r\n"; {
						if line, err = r.ReadString('\n'); err != nil {
							return
						}
					}
					now, late, _ := strings.Cut(<-next, "late:")
					_, _ = fmt.Fprint(c, now)
					if late != "" {
						time.Sleep(30 * time.Millisecond)
						_, _ = fmt.Fprint(c, late)
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

const whole = "HTTP/1.1 200 OK\r\nSwiftswitch-Request-Id: r1\r\nSwiftswitch-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"

// Whatever bytes a searcher sends, only a whole answer to this very request
// counts, and a connection with bytes in doubt carries nothing more.
func TestGarbledAnswers(t *testing.T) {
	const length = "Content-Length: 4"
	for name, c := range map[string]struct {
		old, new string
		good     bool
	}{
		"whole":                   {"", "", true},
		"bytes after it":          {"body", "bodymore", true},
		"an answer after it":      {"body", "body" + whole, true},
		"late bytes":              {"body", "bodylate:" + whole, true},
		"another id":              {"r1", "r2", false},
		"length not a number":     {length, "Content-Length: four", false},
		"length too large":        {length, "Content-Length: 99", false},
		"two lengths that differ": {length, length + "\r\nContent-Length: 2", false},
		"space before the colon":  {length, "Content-Length : 4", false},
		"length and chunks":       {length, length + "\r\nTransfer-Encoding: chunked", false},
		"no end":                  {length + "\r\n", "", false},
		"not an answer":           {"HTTP/1.1 200 OK", "\x00\x01\x02 garbage", false},
		"no status":               {"200", "9x9", false},
		"chunks broken":           {length + "\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", false},
		"a signed length":         {length, "Content-Length: +4", false},
		"a list of lengths":       {length, "Content-Length: 4, 4", false},
		"a negative length":       {length, "Content-Length: -1", false},
		"an unknown coding":       {length, "Transfer-Encoding: gzip", false},
		"a folded line":           {length, "X-A: 1\r\n Content-Length: 9\r\n" + length, false},
		"an older version":        {"HTTP/1.1", "HTTP/1.0", false},
		"a hint before it":        {"", "HTTP/1.1 103 X\r\nSwiftswitch-Request-Id: r2\r\nSwiftswitch-Server-Stamp: no\r\n\r\n", true},
		"a switch of protocols":   {"200 OK", "101 X", false},
		"a body where none is":    {"200 OK", "204 X", true},
		"chunks with trailers":    {length + "\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSwiftswitch-Request-Id: r2\r\n\r\n", true},
		"chunks with extensions":  {length + "\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4;x=1\r\nbody\r\n0\r\n\r\n", false},
		"two ids":                 {length, "Swiftswitch-Request-Id: r2\r\n" + length, false},
		"two stamps":              {length, "Swiftswitch-Server-Stamp: t\r\n" + length, false},
		"no stamp":                {"Swiftswitch-Server-Stamp: s\r\n", "", false},
	} {
		addr, conns := garbler(t, []string{strings.Replace(whole, c.old, c.new, 1), whole, whole})
		g := New(Options{Distance: func(string) int { return 0 }, TCPUserTimeout: time.Second, DialTimeout: time.Second, MaxBodyBytes: 1 << 16, IdleTimeout: time.Second, TwoChoicesThreshold: 5, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, DecayTime: time.Second})
		table, _ := endpoints.NextTable(nil, []endpoints.Endpoint{{ID: "i", Service: "s", Addr: addr, Slots: 2}}, endpoints.Stamp{Epoch: 1})
		g.SetTable(table)
		req, err := NewRequest("GET", "/a", []byte(lines), nil)
		if err != nil {
			t.Fatal(err)
		}
		ask := func() Attempt {
			p, start := g.Pick(Selector{Service: "s"}, nil, time.Second, false)
			o := g.Do(p, req, start, time.Now().Add(250*time.Millisecond))
			time.Sleep(60 * time.Millisecond)
			return o
		}
		o := ask()
		body := "body"
		if name == "a body where none is" {
			body = ""
		}
		if o.Succeeded() != c.good || c.good && string(o.Records()) != body {
			t.Errorf("%s: taken as %+v", name, o)
		}
		for i := 0; i < 2; i++ {
			if o := ask(); !o.Succeeded() || string(o.Records()) != "body" {
				t.Errorf("%s: the answer after it: %+v", name, o)
			}
		}
		want := int32(2)
		switch name {
		case "whole", "no stamp", "a hint before it", "chunks with trailers":
			want = 1
		case "bytes after it", "an answer after it", "late bytes", "a body where none is":
			// In doubt, each connection carries one request only.
			want = 3
		}
		if n := conns.Load(); n != want {
			t.Errorf("%s: %d connections for three requests, want %d", name, n, want)
		}
	}
}

// A read on the system's own account has an answer without an id. What a
// searcher sends too much after another such answer is not taken for it.
func TestOwnReads(t *testing.T) {
	noID := func(body string) string {
		return "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: " + body + "\r\nContent-Length: 4\r\n\r\n" + body
	}
	addr, conns := garbler(t, []string{noID("one1") + "late:" + noID("old1"), noID("two2"), noID("thr3"), noID("fou4"), noID("fiv5")})
	g := New(Options{Distance: func(string) int { return 0 }, TCPUserTimeout: time.Second, DialTimeout: time.Second, MaxBodyBytes: 1 << 16, IdleTimeout: time.Second, SettleTime: 80 * time.Millisecond, TwoChoicesThreshold: 5, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, DecayTime: 50 * time.Millisecond})
	table, _ := endpoints.NextTable(nil, []endpoints.Endpoint{{ID: "i", Service: "s", Addr: addr, Slots: 2}}, endpoints.Stamp{Epoch: 1})
	g.SetTable(table)
	for i, want := range []string{"one1", "two2", "thr3", "fou4", "fiv5"} {
		p, start := g.Pick(Selector{Service: "s"}, nil, time.Second, false)
		o := g.Do(p, NewFetchRequest("own", "a.example", "/"+want, ""), start, time.Now().Add(time.Second))
		if !o.Succeeded() || string(o.Records()) != want {
			t.Fatalf("%s was answered with %q, %+v", want, o.Records(), o)
		}
		if i > 0 {
			time.Sleep(150 * time.Millisecond)
		}
	}
	// The second has one of its own, the third finds the bytes on the first and
	// is alone on its own; the fourth's is settled when the fifth comes.
	if n := conns.Load(); n != 4 {
		t.Fatalf("%d connections", n)
	}
}
