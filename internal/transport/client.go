package transport

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Client calls other nodes, keeping a few connections to each.
type Client struct {
	mu          sync.Mutex
	idle        map[string][]*Conn
	keep        int
	idleFor     time.Duration
	userTimeout time.Duration
	maxBody     int
}

// NewClient makes a client. idleFor bounds how long a connection is kept.
func NewClient(keep int, idleFor, userTimeout time.Duration, maxBody int) *Client {
	return &Client{idle: map[string][]*Conn{}, keep: keep, idleFor: idleFor, userTimeout: userTimeout, maxBody: maxBody}
}

// Response is an answer of another node.
type Response struct {
	Status int
	Body   []byte
	Header func(name string) string
}

func (c *Client) take(addr string, now time.Time) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		l := c.idle[addr]
		if len(l) == 0 {
			return nil
		}
		cn := l[len(l)-1]
		c.idle[addr] = l[:len(l)-1]
		if now.Sub(cn.IdleSince) < c.idleFor && cn.Reusable() {
			return cn
		}
		_ = cn.Close()
	}
}

func (c *Client) put(addr string, cn *Conn, now time.Time) {
	cn.IdleSince = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.keep {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// Do sends a request to addr (host:port) and waits for the answer at most
// for the time given. Nothing is sent twice.
func (c *Client) Do(addr, method, path string, headers map[string]string, body []byte, within time.Duration) (Response, error) {
	start := time.Now()
	deadline := start.Add(within)
	cn := c.take(addr, start)
	if cn == nil {
		var err error
		if cn, err = Dial(addr, min(within, c.userTimeout), c.userTimeout); err != nil {
			return Response{}, err
		}
	}
	b := make([]byte, 0, 256+len(body))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	for k, v := range headers {
		b = append(b, "\r\n"...)
		b = append(b, k...)
		b = append(b, ": "...)
		b = append(b, v...)
	}
	if len(body) > 0 || method != "GET" {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	b = append(b, body...)
	out := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(out)
	if _, err := cn.Exchange(b, deadline, false, c.maxBody, out); err != nil {
		_ = cn.Close()
		return Response{}, err
	}
	rep := Response{Status: out.StatusCode(), Body: append([]byte(nil), out.Body()...)}
	hdr := map[string]string{}
	out.Header.VisitAll(func(k, v []byte) { hdr[string(k)] = string(v) })
	rep.Header = func(name string) string { return hdr[name] }
	if out.ConnectionClose() || cn.HasSurplus() {
		_ = cn.Close()
	} else {
		c.put(addr, cn, time.Now())
	}
	return rep, nil
}

// CallJSON sends in as JSON and reads the answer into out. A status other than
// 200 is an error.
func (c *Client) CallJSON(addr, path string, in, out any, within time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	rep, err := c.Do(addr, "POST", path, nil, body, within)
	if err != nil {
		return err
	}
	if rep.Status != 200 {
		return fmt.Errorf("status %d", rep.Status)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(rep.Body, out)
}
