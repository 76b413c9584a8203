package frontend

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// largeBytes is the size of a body that is far beyond testBufferedBytes, and of no
// round number.
const largeBytes = 3<<20 + 12345

// largeBody returns bytes of which no two parts are alike.
func largeBody(size int) []byte {
	body := make([]byte, 0, size+sha256.Size)
	for i := 0; len(body) < size; i++ {
		sum := sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		body = append(body, sum[:]...)
	}
	return body[:size]
}

// inChunks frames a body in chunks of several sizes.
func inChunks(body []byte) string {
	var b strings.Builder
	for size := 1; len(body) > 0; size = size*3 + 1 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;n=%d\r\n%s\r\n", n, n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// A body that is too large to be in memory as a whole reaches the endpoint as it was
// sent, once, and the connection goes on.
func TestLargeRequestBodies(t *testing.T) {
	body := largeBody(largeBytes)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunked = "Transfer-Encoding: chunked\r\n"
	var received []byte
	endpoint := newTestEndpoint(t, replyWhole)
	addr, _ := newTestFront(t, endpoint.addr)
	for name, c := range map[string]struct{ raw, want string }{
		"with a length":    {rawRequest("POST", "/unsafe/a", "1", length, string(body)), "200"},
		"in chunks":        {rawRequest("POST", "/unsafe/a", "1", chunked, inChunks(body)), "200"},
		"repeatable":       {rawRequest("PUT", "/safe/a", "1", length, string(body)), "200"},
		"with expectation": {rawRequest("POST", "/unsafe/a", "1", "Expect: 100-continue\r\n"+length, string(body)), "100,200"},
	} {
		t.Run(name, func(t *testing.T) {
			want := append(strings.Split(c.want, ","), "200")
			responses, rest := send(t, addr, c.raw+rawRequest("GET", "/safe/b", "2", "", ""), slices.Repeat([]string{"POST"}, len(want))...)
			var statuses []string
			for _, r := range responses {
				statuses = append(statuses, fmt.Sprint(r.status))
			}
			if !slices.Equal(statuses, want) || rest != "" {
				t.Fatalf("answers %v and then %.80q, want %v", statuses, rest, want)
			}
			processed := endpoint.takeProcessed()
			if len(processed) != 2 {
				t.Fatalf("%d requests were processed", len(processed))
			}
			_, got, _ := strings.Cut(processed[0], " 1 ")
			if received = []byte(got); !bytes.Equal(received, bytes.TrimSpace(body)) {
				t.Errorf("%d bytes of %d came, or others", len(received), len(body))
			}
		})
	}
}

// A large body that does not come whole is processed by nobody, and is sent to one
// endpoint at most.
func TestLargeRequestBodiesThatEndEarly(t *testing.T) {
	body := largeBody(largeBytes)
	half := string(body[:len(body)/2])
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for name, c := range map[string]struct {
		raw    string
		status int
	}{
		"cut short":           {rawRequest("PUT", "/safe/a", "1", length, half), 0},
		"malformed chunks":    {rawRequest("PUT", "/safe/a", "1", "Transfer-Encoding: chunked\r\n", "40000\r\n"+half[:0x40000]+"no chunk\r\n"), http.StatusBadRequest},
		"chunks without end":  {rawRequest("PUT", "/safe/a", "1", "Transfer-Encoding: chunked\r\n", strings.Repeat("40000\r\n"+half[:0x40000]+"\r\n", 1+testBodyBytes/0x40000)), http.StatusBadRequest},
		"announced too large": {rawRequest("PUT", "/safe/a", "1", fmt.Sprintf("Content-Length: %d\r\n", testBodyBytes+1), half), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newTestEndpoint(t, replyWhole), newTestEndpoint(t, replyWhole)
			addr, _ := newTestFront(t, first.addr, second.addr)
			conn, err := net.Dial("tcp4", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			go func() {
				_, _ = io.WriteString(conn, c.raw)
				if c.status == 0 {
					_ = conn.Close()
				}
			}()
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); c.status > 0 && (err != nil || response.StatusCode != c.status) {
				t.Errorf("answer %v, %v, want %d", response, err, c.status)
			}
			time.Sleep(50 * time.Millisecond)
			if processed := append(first.takeProcessed(), second.takeProcessed()...); len(processed) > 0 {
				t.Errorf("%d requests were processed", len(processed))
			}
		})
	}
}

// An endpoint may answer before it has read a large body. Its answer is passed on,
// the rest of the body goes nowhere, and neither connection is used again.
func TestEarlyAnswerToALargeRequest(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"refusal":    {"HTTP/1.1 403 X\r\nSwiftswitch-Request-Id: 1\r\nContent-Length: 0\r\n\r\n", 403},
		"not run":    {"HTTP/1.1 503 X\r\nSwiftswitch-Request-Id: 1\r\nSwiftswitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"nothing":    {"", 502},
		"no answer":  {"nonsense\r\n\r\n", 502},
		"cut answer": {"HTTP/1.1 200 X\r\nSwiftswitch-Request-Id: 1\r\nSwiftswitch-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nab", 502},
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			connections := make(chan []byte, 9)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					head, _ := bufio.NewReaderSize(conn, 1<<10).Peek(1 << 10)
					connections <- head
					_, _ = io.WriteString(conn, c.answer)
					time.Sleep(30 * time.Millisecond)
					if c.answer == "" || strings.HasSuffix(c.answer, "ab") {
						_ = conn.Close()
					}
				}
			}()
			second := newTestEndpoint(t, replyWhole)
			addr, _ := newTestFront(t, listener.Addr().String(), second.addr)
			// More than the buffers of sockets hold.
			body := make([]byte, testBodyBytes)
			raw := rawRequest("PUT", "/safe/a", "1", fmt.Sprintf("Content-Length: %d\r\n", len(body)), string(body)) + rawRequest("GET", "/safe/b", "2", "", "")
			responses, _ := send(t, addr, raw, "PUT", "GET")
			if len(responses) != 1 || responses[0].status != c.status {
				t.Errorf("answers %v, want one %d", responses, c.status)
			}
			if processed := second.takeProcessed(); len(processed) > 0 || len(connections) != 1 {
				t.Errorf("%d connections, and %q processed by another endpoint", len(connections), processed)
			}
		})
	}
}

// A client that stops in the middle of a large body holds its request no longer
// than it may last.
func TestClientThatStopsInALargeBody(t *testing.T) {
	endpoint := newTestEndpoint(t, replyWhole)
	addr, h := newTestFront(t, endpoint.addr)
	raw := rawRequest("POST", "/unsafe/a", "1", "Content-Length: 3000000\r\n", strings.Repeat("b", 200_000))
	responses, _ := send(t, addr, raw, "POST")
	if len(responses) != 1 || responses[0].status != http.StatusGatewayTimeout {
		t.Errorf("answers %v", responses)
	}
	if processed := endpoint.takeProcessed(); len(processed) > 0 || h.InFlight() > 0 {
		t.Errorf("%d processed, %d in flight", len(processed), h.InFlight())
	}
}

// replyLarge answers with a large body, in chunks if the path says so, and breaks
// off in the middle of it if the path says that.
func replyLarge(body []byte) replyFunc {
	return func(c net.Conn, r *http.Request) error {
		framing, sent := fmt.Sprintf("Content-Length: %d", len(body)), string(body)
		if strings.Contains(r.RequestURI, "chunks") {
			framing, sent = "Transfer-Encoding: chunked", inChunks(body)
		}
		if strings.Contains(r.RequestURI, "cut") {
			sent = sent[:len(sent)/2]
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Server-Stamp: s\r\n%s\r\n\r\n%s", r.Header.Get("Swiftswitch-Request-Id"), framing, sent)
		if strings.Contains(r.RequestURI, "cut") {
			return io.EOF
		}
		return err
	}
}

// A response that is too large to be in memory as a whole is passed on as it is, and
// both connections go on. One that ends early does not look complete, and is not
// begun anew.
func TestLargeResponses(t *testing.T) {
	body := largeBody(largeBytes)
	endpoint := newTestEndpoint(t, replyLarge(body))
	second := newTestEndpoint(t, replyLarge(body))
	addr, _ := newTestFront(t, endpoint.addr, second.addr)
	for _, path := range []string{"/safe/length", "/safe/chunks", "/unsafe/length", "/unsafe/chunks"} {
		t.Run(path, func(t *testing.T) {
			responses, rest := send(t, addr, rawRequest("GET", path, "1", "", "")+rawRequest("GET", path, "2", "", ""), "GET", "GET")
			if len(responses) != 2 || rest != "" {
				t.Fatalf("%d answers, and then %q", len(responses), rest)
			}
			for _, r := range responses {
				if r.status != 200 || r.stamp != "s" || r.body != string(body) {
					t.Errorf("status %d, stamp %q, %d bytes of %d, or others", r.status, r.stamp, len(r.body), len(body))
				}
			}
		})
	}
	for _, path := range []string{"/safe/cut/length", "/safe/cut/chunks"} {
		t.Run(path, func(t *testing.T) {
			endpoint.takeProcessed()
			second.takeProcessed()
			// A front that has measured no latencies yet sends no hedge so soon.
			addr, _ := newTestFront(t, endpoint.addr, second.addr)
			responses, rest := send(t, addr, rawRequest("GET", path, "1", "", ""), "GET")
			if len(responses) > 0 || rest != io.ErrUnexpectedEOF.Error() {
				t.Errorf("%d answers, then %q", len(responses), rest)
			}
			if processed := append(endpoint.takeProcessed(), second.takeProcessed()...); len(processed) != 1 {
				t.Errorf("processed %q", processed)
			}
		})
	}
}

// An endpoint learns soon that nobody takes its large response any more.
func TestClientLeavesALargeResponse(t *testing.T) {
	ended := make(chan struct{})
	endpoint := newTestEndpoint(t, func(c net.Conn, r *http.Request) error {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Server-Stamp: s\r\nContent-Length: 999999999\r\n\r\n", r.Header.Get("Swiftswitch-Request-Id"))
		for part := largeBody(64 << 10); err == nil; {
			_, err = c.Write(part)
		}
		close(ended)
		return err
	})
	addr, h := newTestFront(t, endpoint.addr)
	h.SetSnapshot(newTestSnapshotWithTimeout(time.Minute))
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, rawRequest("GET", "/safe/a", "1", "", ""))
	_, _ = io.CopyN(io.Discard, conn, 1<<20)
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still sends")
	}
}
