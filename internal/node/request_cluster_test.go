package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

func TestGatheredRequestEndToEnd(t *testing.T) {
	c, _ := testcluster.StartDefault(t)
	response, body, id := c.Request(11, "GET", "/g/find?q=1", "")
	stamps := strings.Split(response.Header.Get("Swiftswitch-Part-Stamps"), ", ")
	if response.StatusCode != 200 || len(stamps) != 2 || !bytes.Equal(body, testcluster.TopRecords(7, "s1", "s2")) {
		t.Fatalf("gathered: %d %v %x", response.StatusCode, response.Header, body)
	}
	for _, stamp := range stamps {
		if !strings.Contains(stamp, id) {
			t.Fatalf("a stamp of another request: %s", stamp)
		}
	}
}

func TestPlainRequestEndToEnd(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	response, body, _ := c.Request(12, "POST", "/p/a%2F..//b?x=%20", "payload")
	if response.StatusCode != 200 || !bytes.Equal(body, testcluster.Records("plain")) || len(response.Header["X-Kept"]) != 2 || response.Header.Get("Swiftswitch-Server-Stamp") == "" {
		t.Fatalf("plain: %d %v", response.StatusCode, response.Header)
	}
	runs := strings.Join(append(endpoints["plain-a"].Executed, endpoints["plain-b"].Executed...), "\n")
	if !strings.Contains(runs, "POST /p/a%2F..//b?x=%20 r") || !strings.Contains(runs, " payload") {
		t.Fatalf("it arrived changed: %v", runs)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	if r, _, _ := c.Request(11, "GET", "/none/", ""); r.StatusCode != 404 {
		t.Fatalf("no route: %d", r.StatusCode)
	}
	if r, _, _ := c.Request(11, "POST", "/p/x", strings.Repeat("x", 1001)); r.StatusCode != 413 {
		t.Fatalf("large body: %d", r.StatusCode)
	}
	if r, _, _ := c.Request(11, "GET", "/p/"+strings.Repeat("x", 5000), ""); r.StatusCode != 431 && r.StatusCode != 0 {
		t.Fatalf("large header: %d", r.StatusCode)
	}
	// Raw requests whose end is ambiguous reach no endpoint.
	before := executed(endpoints["plain-a"], endpoints["plain-b"])
	for _, raw := range []string{
		"POST /p/x HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /p/smuggled HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q2\r\n\r\n",
		"POST /p/x HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q3\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"GET /p/x HTTP/1.1\r\nHost : a.example\r\n\r\n",
		"\x16\x03\x01 nonsense\r\n\r\n",
	} {
		answer, _ := exchangeRaw(t, c.IP(11)+":8080", raw, 2*time.Second)
		if !strings.HasPrefix(answer, "HTTP/1.1 400") || strings.Count(answer, "HTTP/1.1") != 1 {
			t.Errorf("%q got %q", raw, answer)
		}
	}
	if n := executed(endpoints["plain-a"], endpoints["plain-b"]); n != before {
		t.Fatalf("%d ambiguous requests were executed", n-before)
	}
}

// The configuration's limits in time: half a header is cut off, an idle
// connection later.
func TestSlowClientsAreDisconnected(t *testing.T) {
	c, _ := testcluster.StartDefault(t)
	for _, test := range []struct {
		raw      string
		min, max time.Duration
	}{
		{"GET /p/x HTTP/1.1\r\nHost: a.ex", 800 * time.Millisecond, 2 * time.Second},
		{"GET /none/ HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q9\r\n\r\n", 2500 * time.Millisecond, 5 * time.Second},
	} {
		begun := time.Now()
		_, err := exchangeRaw(t, c.IP(11)+":8080", test.raw, 8*time.Second)
		if took := time.Since(begun); err != nil || took < test.min || took > test.max {
			t.Errorf("%q was cut off after %v: %v", test.raw, took, err)
		}
	}
}

// exchangeRaw sends bytes and reads until the other side closes the connection.
func exchangeRaw(t *testing.T, address, raw string, timeout time.Duration) (answer string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	_, _ = fmt.Fprint(conn, raw)
	read, err := io.ReadAll(conn)
	return string(read), err
}
