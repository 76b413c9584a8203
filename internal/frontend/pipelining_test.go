package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Requests behind an answer that closes the connection run nowhere, and the answer
// arrives whole although they are unread.
func TestPipelinedBehindAClosingAnswer(t *testing.T) {
	const answerBytes = 120 << 10
	started := make(chan struct{}, 100)
	endpoint := newTestEndpoint(t, func(c net.Conn, r *http.Request) error {
		started <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Swiftswitch-Request-Id"), answerBytes, strings.Repeat("a", answerBytes))
		return err
	})
	addr, h := newTestFront(t, endpoint.addr)
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// Most of the answer waits at the front for the client to read.
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(conn, rawRequest("GET", "/safe/a", "1", "", ""))
	<-started
	h.Drain()
	behind := strings.Repeat(rawRequest("GET", "/safe/b", "2", "", ""), 400)
	if _, err := io.WriteString(conn, behind); err != nil {
		t.Fatal(err)
	}
	// A slow client, whose answer must not be reset meanwhile.
	time.Sleep(300 * time.Millisecond)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || len(body) != answerBytes || !response.Close {
		t.Errorf("%d bytes, %v, closes: %v", len(body), err, response.Close)
	}
	if rest, _ := io.ReadAll(in); len(rest) > 0 {
		t.Errorf("%d bytes more", len(rest))
	}
	if processed := endpoint.takeProcessed(); len(processed) != 1 {
		t.Errorf("processed %q", processed)
	}
}
