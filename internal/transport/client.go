package transport

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// headRoom is the size of a request's head in most calls, in bytes.
const headRoom = 256

// ClientOptions are the limits of a client.
type ClientOptions struct {
	// MaxIdlePerNode is how many idle connections are kept to each address,
	// IdleTimeout for how long.
	MaxIdlePerNode int
	IdleTimeout    time.Duration
	// TCPUserTimeout is after how long without an acknowledgement a connection
	// is broken; opening one takes no longer either.
	TCPUserTimeout time.Duration
	// MaxBodyBytes is the size of the largest response body that is read.
	MaxBodyBytes int
}

// Client calls other nodes and keeps a few idle connections to each. It is
// safe for concurrent use. No request is sent twice: whether a call may be
// repeated is for the caller to know.
type Client struct {
	options ClientOptions

	mu sync.Mutex
	// idle are the connections by address, the one used last at the end.
	idle map[string][]*Conn
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, idle: map[string][]*Conn{}}
}

// Response is what a node answered; it is a copy that its receiver owns.
type Response struct {
	Status int
	Body   []byte
	header map[string]string
}

// Header returns a header by its name in canonical form (Retry-After), empty
// where it is missing.
func (r Response) Header(name string) string { return r.header[name] }

// Err returns a *StatusError unless the status is 200.
func (r Response) Err() error {
	if r.Status == http.StatusOK {
		return nil
	}
	e := &StatusError{Status: r.Status}
	var body errorBody
	if json.Unmarshal(r.Body, &body) == nil {
		e.Message = body.Error
	}
	return e
}

// StatusError is the error of a call that was answered with another status
// than 200.
type StatusError struct {
	Status int
	// Message is the reason that the response named, empty if it named none.
	Message string
}

func (e *StatusError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("status %d", e.Status)
	}
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Do sends a request to addr (host:port) and returns the response, of any
// status. It takes no longer than timeout.
func (c *Client) Do(addr, method, path string, headers map[string]string, body []byte, timeout time.Duration) (Response, error) {
	return c.DoContext(context.Background(), addr, method, path, headers, body, timeout)
}

// DoContext is Do, which also ends, with the error of ctx, once ctx is canceled.
// The called node sees its caller leave.
func (c *Client) DoContext(ctx context.Context, addr, method, path string, headers map[string]string, body []byte, timeout time.Duration) (Response, error) {
	start := time.Now()
	deadline := start.Add(timeout)
	conn := c.takeIdle(addr, start)
	if conn == nil {
		var err error
		if conn, err = Dial(addr, min(timeout, c.options.TCPUserTimeout), c.options.TCPUserTimeout); err != nil {
			return Response{}, err
		}
	}
	parsed := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(parsed)
	request := appendRequest(addr, method, path, headers, body)
	if _, err := conn.Exchange(ctx, &Outgoing{Parts: [][]byte{request}, MaxBodyBytes: c.options.MaxBodyBytes}, deadline, parsed); err != nil {
		_ = conn.Close()
		return Response{}, err
	}
	response := copyResponse(parsed)
	if parsed.ConnectionClose() || conn.HasUnsolicited() {
		_ = conn.Close()
	} else {
		c.putIdle(addr, conn, time.Now())
	}
	return response, nil
}

// CallJSON posts in as JSON and decodes the response into out, unless out is
// nil. A status other than 200 is a *StatusError.
func (c *Client) CallJSON(addr, path string, in, out any, timeout time.Duration) error {
	return c.CallJSONContext(context.Background(), addr, path, in, out, timeout)
}

// CallJSONContext is CallJSON, by DoContext.
func (c *Client) CallJSONContext(ctx context.Context, addr, path string, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	response, err := c.DoContext(ctx, addr, http.MethodPost, path, nil, body, timeout)
	if err != nil {
		return err
	}
	if err := response.Err(); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(response.Body, out)
}

// takeIdle returns the connection to addr that was used last, nil if none of
// them can be used any more. Those are closed.
func (c *Client) takeIdle(addr string, now time.Time) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		idle := c.idle[addr]
		if len(idle) == 0 {
			return nil
		}
		conn := idle[len(idle)-1]
		c.idle[addr] = idle[:len(idle)-1]
		if now.Sub(conn.IdleSince) < c.options.IdleTimeout && conn.Reusable() {
			return conn
		}
		_ = conn.Close()
	}
}

// putIdle keeps a connection for the next call, or closes it.
func (c *Client) putIdle(addr string, conn *Conn, now time.Time) {
	conn.IdleSince = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.options.MaxIdlePerNode {
		_ = conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], conn)
}

// appendRequest returns the bytes of a request.
func appendRequest(addr, method, path string, headers map[string]string, body []byte) []byte {
	b := make([]byte, 0, headRoom+len(body))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	for name, value := range headers {
		b = append(b, "\r\n"...)
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, value...)
	}
	if len(body) > 0 || method != http.MethodGet {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

func copyResponse(parsed *protocol.Response) Response {
	header := map[string]string{}
	parsed.Header.VisitAll(func(name, value []byte) { header[string(name)] = string(value) })
	return Response{
		Status: parsed.StatusCode(),
		Body:   append([]byte(nil), parsed.Body()...),
		header: header,
	}
}
