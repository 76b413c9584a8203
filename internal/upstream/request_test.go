package upstream

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

func TestNewRequest(t *testing.T) {
	r, err := NewRequest("POST", "/a%2Fb/../c?q=1", []byte(requestHeaders+
		"Swiftswitch-Deadline-Milliseconds: 250.5\r\nX-Own: 1\r\nX-Own: 2\r\nConnection: keep-alive, X-Gone\r\nX-Gone: y\r\nTE: trailers\r\nSwiftswitch-Expected-Instance: forged\r\nTransfer-Encoding: chunked\r\n"), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if r.ID != "r1" || r.Host != "a.example" || r.DeadlineMs != 250.5 {
		t.Fatalf("parsed as %+v", r)
	}
	want := "POST /a%2Fb/../c?q=1 HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: r1\r\nX-Own: 1\r\nX-Own: 2\r\nContent-Length: 4\r\n" +
		"Swiftswitch-Deadline-Milliseconds: 99\r\nSwiftswitch-Expected-Instance: i-1\r\n\r\nbody"
	if got := string(bytes.Join(r.encode("i-1", 99*time.Millisecond), nil)); got != want {
		t.Fatalf("encoded as\n%q, want\n%q", got, want)
	}
}

func TestNewRequestRejects(t *testing.T) {
	for name, raw := range map[string]string{
		"two lengths":          requestHeaders + "Content-Length: 4\r\nContent-Length: 4\r\n",
		"length and coding":    requestHeaders + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"wrong length":         requestHeaders + "Content-Length: 5\r\n",
		"signed length":        requestHeaders + "Content-Length: +4\r\n",
		"other coding":         requestHeaders + "Transfer-Encoding: gzip, chunked\r\n",
		"coding twice":         requestHeaders + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"space before colon":   requestHeaders + "Content-Length : 4\r\n",
		"folded line":          requestHeaders + "X-A: 1\r\n Content-Length: 9\r\n",
		"no colon":             requestHeaders + "Content-Length\r\n",
		"bare return":          requestHeaders + "X-A: 1\rContent-Length: 9\r\n",
		"no host":              "Swiftswitch-Request-Id: r1\r\n",
		"two hosts":            requestHeaders + "Host: b.example\r\n",
		"no id":                "Host: a.example\r\n",
		"two ids":              requestHeaders + "Swiftswitch-Request-Id: r2\r\n",
		"deadline not a time":  requestHeaders + "Swiftswitch-Deadline-Milliseconds: soon\r\n",
		"deadline below zero":  requestHeaders + "Swiftswitch-Deadline-Milliseconds: -1\r\n",
		"two deadlines differ": requestHeaders + "Swiftswitch-Deadline-Milliseconds: 1\r\nSwiftswitch-Deadline-Milliseconds: 2\r\n",
	} {
		if _, err := NewRequest("POST", "/a", []byte(raw), []byte("body")); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for _, target := range []string{"/a b", "/a\r\nX: y", "/a\x00"} {
		if _, err := NewRequest("GET", target, []byte(requestHeaders), nil); err == nil {
			t.Errorf("target %q: accepted", target)
		}
	}
	for _, method := range []string{"", "G T", "GET\r\n"} {
		if _, err := NewRequest(method, "/a", []byte(requestHeaders), nil); err == nil {
			t.Errorf("method %q: accepted", method)
		}
	}
}

func TestNewRelayedRequest(t *testing.T) {
	original, err := NewRequest("GET", "/a?q=1", []byte(requestHeaders+"X-Own: 1\r\n"), nil)
	if err != nil {
		t.Fatal(err)
	}
	relayed, ok := NewRelayedRequest(original.Head())
	if !ok || relayed.ID != "r1" || relayed.Host != "a.example" || relayed.Method != "GET" || relayed.Target != "/a?q=1" {
		t.Fatalf("parsed as %+v, %v", relayed, ok)
	}
	if got, want := string(bytes.Join(relayed.encode("i-1", time.Second), nil)), string(bytes.Join(original.encode("i-1", time.Second), nil)); got != want {
		t.Fatalf("encoded as\n%q, want\n%q", got, want)
	}
	for _, head := range []string{"", "GET /a\r\n", "GET /a HTTP/1.1\r\nHost: a\r\n", "GET /a HTTP/1.1\r\n" + requestHeaders + "X"} {
		if _, ok := NewRelayedRequest(head); ok {
			t.Errorf("%q: accepted", head)
		}
	}
}

// A head of many fields that is within the limits does not outgrow them on its way.
func TestHeadOfManyFieldsDoesNotGrow(t *testing.T) {
	lines := "Host: a.example\r\nSwiftswitch-Request-Id: r1\r\n"
	for i := range 1000 {
		lines += fmt.Sprintf("a%03x:1\r\n", i)
	}
	request, err := NewRequest("GET", "/x", []byte(lines), nil)
	if err != nil {
		t.Fatal(err)
	}
	if sent := len("GET /x HTTP/1.1\r\n") + len(lines); len(request.Head()) > sent {
		t.Errorf("%d bytes go on of %d", len(request.Head()), sent)
	}
	relayed, ok := NewRelayedRequest(request.Head())
	if !ok || relayed.Host != "a.example" || relayed.ID != "r1" {
		t.Errorf("relayed as %q of %q", relayed.ID, relayed.Host)
	}
}
