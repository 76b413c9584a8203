package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// KeyedRequest is a request as a client sent it, and what it was answered.
type KeyedRequest struct {
	// Front is the number of the front that was asked.
	Front int
	ID    string
	Path  string
	// Key is the one key that the request presents, empty if it presents none
	// or not exactly one.
	Key             string
	SentAt, EndedAt time.Time
	// Status is that of the answer, 0 if there was none.
	Status int
	Body   []byte
	// Truncated: the connection ended before the whole body was there.
	Truncated bool
	// Reused: an earlier request had gone over the connection.
	Reused bool
}

// KeyedClient keeps its connection to a front open for as long as the front
// does. It is not safe for concurrent use.
type KeyedClient struct {
	// Stubborn clients use their connection although an answer said that it is
	// the last on it.
	Stubborn bool

	cluster *Cluster
	front   int
	conn    net.Conn
	reader  *bufio.Reader
	reused  bool
}

// NewKeyedClient returns a client of front n that is not connected yet.
func (c *Cluster) NewKeyedClient(n int) *KeyedClient { return &KeyedClient{cluster: c, front: n} }

// Close closes the connection.
func (k *KeyedClient) Close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// Ask sends a GET with one key, or with none where the key is empty.
func (k *KeyedClient) Ask(path, key string) KeyedRequest {
	if key == "" {
		return k.Send("GET", path, key, "", "")
	}
	return k.Send("GET", path, key, "X-Api-Key: "+key+"\r\n", "")
}

// Send sends a request with these header lines, each with its end, followed by
// what comes after the headers. key is the one that it presents.
func (k *KeyedClient) Send(method, path, key, headerLines, body string) KeyedRequest {
	r := KeyedRequest{Front: k.front, ID: fmt.Sprintf("keyed%06d", requestNumber.Add(1)), Path: path, Key: key, SentAt: time.Now()}
	defer func() { r.EndedAt = time.Now() }()
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp4", k.cluster.address(k.front, frontPort), clientTimeout)
		if err != nil {
			r.EndedAt = time.Now()
			return r
		}
		k.conn, k.reader, k.reused = conn, bufio.NewReader(conn), false
	}
	r.Reused, k.reused = k.reused, true
	_ = k.conn.SetDeadline(time.Now().Add(clientTimeout))
	raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Deadline-Milliseconds: %d\r\n%s\r\n%s",
		method, path, r.ID, clientDeadline.Milliseconds(), headerLines, body)
	if _, err := io.WriteString(k.conn, raw); err != nil {
		k.Close()
		r.EndedAt = time.Now()
		return r
	}
	response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		k.Close()
		r.EndedAt = time.Now()
		return r
	}
	r.Body, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	r.Truncated = err != nil
	r.Status, r.EndedAt = response.StatusCode, time.Now()
	isLast := response.Close || strings.EqualFold(response.Header.Get("Connection"), "close")
	if err != nil || isLast && !k.Stubborn {
		k.Close()
	}
	return r
}
