package traverse

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/hutbook"
)

// garbler answers each request with the next of a script's lines; "late:" sends
// the rest a little after the answer before it.
func garbler(t *testing.T, script []string) (addr string, conns *atomic.Int32) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
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
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					for line := ""; line != "\r\n"; {
						if line, err = r.ReadString('\n'); err != nil {
							return
						}
					}
					now, late, _ := strings.Cut(<-next, "late:")
					fmt.Fprint(c, now)
					if late != "" {
						time.Sleep(30 * time.Millisecond)
						fmt.Fprint(c, late)
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
	for name, c := range map[string]struct {
		bytes string
		good  bool
	}{
		"whole":                   {whole, true},
		"bytes after it":          {whole + "more", true},
		"an answer after it":      {whole + whole, true},
		"late bytes":              {whole + "late:" + whole, true},
		"another id":              {strings.Replace(whole, "r1", "r2", 1), false},
		"length not a number":     {strings.Replace(whole, ": 4", ": four", 1), false},
		"length too large":        {strings.Replace(whole, ": 4", ": 99", 1), false},
		"two lengths that differ": {strings.Replace(whole, "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 2", 1), false},
		"space before the colon":  {strings.Replace(whole, "Content-Length:", "Content-Length :", 1), false},
		"length and chunks":       {strings.Replace(whole, "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", 1), false},
		"no end":                  {strings.Replace(whole, "Content-Length: 4\r\n", "", 1), false},
		"not an answer":           {"\x00\x01\x02 garbage\r\n\r\n", false},
		"no status":               {strings.Replace(whole, "200", "9x9", 1), false},
		"chunks broken":           {strings.Replace(strings.Replace(whole, "Content-Length: 4", "Transfer-Encoding: chunked", 1), "body", "zz\r\nbody\r\n0\r\n\r\n", 1), false},
		"no stamp":                {strings.Replace(whole, "Swiftswitch-Server-Stamp: s\r\n", "", 1), false},
	} {
		addr, conns := garbler(t, []string{c.bytes, whole, whole})
		g := New(Options{Distance: func(string) int { return 0 }, UserTimeout: time.Second, DialWithin: time.Second, MaxBody: 1 << 16, KeepIdle: time.Second, Many: 5, FailsOut: 3, OutFor: time.Second, Forget: time.Second})
		table, _ := hutbook.Next(nil, []hutbook.Searcher{{ID: "i", Service: "s", Addr: addr, Slots: 2}}, hutbook.Stamp{Epoch: 1})
		g.SetTable(table)
		req, err := NewRequest("GET", "/a", []byte(lines), nil)
		if err != nil {
			t.Fatal(err)
		}
		ask := func() Outcome {
			p, start := g.Choose("s", nil, nil, time.Second, false)
			o := g.Try(p, req, start, time.Now().Add(250*time.Millisecond))
			time.Sleep(60 * time.Millisecond)
			return o
		}
		o := ask()
		if o.Good() != c.good || c.good && string(o.Records()) != "body" {
			t.Errorf("%s: taken as %+v", name, o)
		}
		for i := 0; i < 2; i++ {
			if o := ask(); !o.Good() || string(o.Records()) != "body" {
				t.Errorf("%s: the answer after it: %+v", name, o)
			}
		}
		want := int32(2)
		switch name {
		case "whole", "no stamp":
			want = 1
		case "bytes after it", "an answer after it", "late bytes":
			// In doubt, each connection carries one request only.
			want = 3
		}
		if n := conns.Load(); n != want {
			t.Errorf("%s: %d connections for three requests, want %d", name, n, want)
		}
	}
}
