package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"swiftswitch/internal/events"
)

func init() { hlog.SetLevel(hlog.LevelFatal) }

// ServerOptions says how one address is served.
type ServerOptions struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	ReadTimeout    time.Duration
	IdleTimeout    time.Duration
	TCPUserTimeout time.Duration
	// Timeouts, where set, are asked each time in place of ReadWithin and IdleFor.
	Timeouts func() (read, idle time.Duration)
	// Tracker, where set with Limits, is told of the connections.
	Tracker *ConnTracker
}

// hertz takes its times once, at the start. Where they may change it is given
// these, and the connection puts the present limits in their place.
const (
	markRead = 24 * time.Hour
	markIdle = 48 * time.Hour
)

// ConnTracker knows the connections of a listener, and which of them have a request
// under way: from its first byte read to its answer written.
type ConnTracker struct {
	mu    sync.Mutex
	conns map[*gatedConn]bool
	shut  bool
}

// Drain ends the connections that rest, and lets the others end with the answer under way.
func (g *ConnTracker) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
	for c := range g.conns {
		if c.idle {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// Active counts the connections with a request under way.
func (g *ConnTracker) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for c := range g.conns {
		if !c.idle {
			n++
		}
	}
	return n
}

type gated struct {
	net.Listener
	gate   *ConnTracker
	limits func() (read, idle time.Duration)
}

func (l gated) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gc := &gatedConn{Conn: c, limits: l.limits, gate: l.gate, idle: true}
	l.gate.mu.Lock()
	if l.gate.conns == nil {
		l.gate.conns = map[*gatedConn]bool{}
	}
	l.gate.conns[gc] = true
	l.gate.mu.Unlock()
	return gc, nil
}

type gatedConn struct {
	net.Conn
	limits func() (read, idle time.Duration)
	gate   *ConnTracker
	// Owned by the gate's lock. idle: nothing of a request was read; wrote:
	// an answer was written since.
	idle, wrote bool
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.gate.mu.Lock()
	if c.wrote {
		c.idle, c.wrote = true, false
	}
	over := c.gate.shut && c.idle
	c.gate.mu.Unlock()
	if over {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.gate.mu.Lock()
		c.idle = false
		c.gate.mu.Unlock()
	}
	return n, err
}

// interim begins what tells a client to go on with its body: the answer is still to come.
var interim = []byte("HTTP/1.1 1")

func (c *gatedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if bytes.HasPrefix(b, interim) {
		return n, err
	}
	c.gate.mu.Lock()
	c.wrote = true
	c.gate.mu.Unlock()
	return n, err
}

func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

func (c *gatedConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); left > markRead/2 {
		read, idle := c.limits()
		if left > (markRead+markIdle)/2 {
			read = idle
		}
		t = time.Now().Add(read)
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.gate.shut && (c.idle || c.wrote) {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// Listen opens the listening socket, trying again while the address is taken
// until stop is closed.
func Listen(addr string, userTimeout, again time.Duration, stop <-chan struct{}) (net.Listener, bool) {
	lc := &net.ListenConfig{Control: controlTCPUserTimeout(userTimeout), KeepAlive: -1}
	for {
		ln, err := lc.Listen(context.Background(), "tcp4", addr)
		if err == nil {
			return ln, true
		}
		events.Log(events.ListenFailed, "addr", addr, "err", err)
		select {
		case <-stop:
			return nil, false
		case <-time.After(again):
		}
	}
}

// Serve starts a server on ln whose every request goes to handle: paths are
// not normalised, nothing is added to answers, no body is touched.
func Serve(ln net.Listener, l ServerOptions, handle app.HandlerFunc) *server.Hertz {
	if l.Timeouts != nil {
		if l.Tracker == nil {
			l.Tracker = &ConnTracker{}
		}
		ln = gated{ln, l.Tracker, l.Timeouts}
		l.ReadTimeout, l.IdleTimeout = markRead, markIdle
	}
	h := server.New(
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxHeaderBytes(l.MaxHeaderBytes),
		server.WithMaxRequestBodySize(l.MaxBodyBytes),
		server.WithReadTimeout(l.ReadTimeout),
		server.WithKeepAliveTimeout(l.ReadTimeout),
		server.WithIdleTimeout(l.IdleTimeout),
		server.WithReadBufferSize(2048),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithDisablePrintRoute(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
		server.WithOnAccept(func(c net.Conn) context.Context {
			boundConn(c, l.TCPUserTimeout)
			_ = c.SetReadDeadline(time.Now().Add(l.ReadTimeout))
			return context.Background()
		}),
	)
	h.NoRoute(handle)
	h.NoMethod(handle)
	go func() { _ = h.Engine.Run() }()
	return h
}

// boundConn sets TCP_USER_TIMEOUT on a connection that was taken.
func boundConn(c net.Conn, d time.Duration) {
	if l, ok := c.(*gatedConn); ok {
		c = l.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setUserTimeout(fd, d) })
}

// WriteJSON writes v as JSON.
func WriteJSON(c *app.RequestContext, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = 500, []byte(`{}`)
	}
	c.SetStatusCode(status)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBodyRaw(b)
}

// ReadJSON parses a node's message; on failure it answers 400 and returns false.
func ReadJSON(c *app.RequestContext, v any) bool {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		events.Log(events.MessageRejected, "path", string(c.Request.Header.RequestURI()), "from", c.RemoteAddr(), "err", err)
		WriteJSON(c, 400, map[string]string{"Error": err.Error()})
		return false
	}
	return true
}
