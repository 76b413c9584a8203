package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"swiftswitch/internal/config"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/upstream"
)

// timedConn remembers how long an answer may take to be written.
type timedConn struct {
	network.Conn
	within time.Duration
}

func (c *timedConn) SetWriteTimeout(d time.Duration) error { c.within = d; return nil }

// An answer is not cut off while its client still waits for it, nor kept for long after.
func TestWriteAsLongAsTheClientWaits(t *testing.T) {
	h := idleHead()
	for deadline, want := range map[string]time.Duration{"4000": 4 * time.Second, "60000": 6 * time.Second, "500": 2 * time.Second} {
		c, conn := handle(h, deadline)
		if c.Response.StatusCode() != 503 || conn.within < want-200*time.Millisecond || conn.within > want {
			t.Errorf("client waits %s ms: status %d, %v to write, want %v", deadline, c.Response.StatusCode(), conn.within, want)
		}
	}
}

// What was read and never offered to a searcher ends with 503, which says so,
// and with the time to come back.
func TestNeverOffered(t *testing.T) {
	for _, deadline := range []string{"0", "0.5", "400"} {
		c, _ := handle(idleHead(), deadline)
		if c.Response.StatusCode() != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
			t.Errorf("client waits %s ms: %d %q", deadline, c.Response.StatusCode(), c.Response.Header.Peek("Retry-After"))
		}
	}
}

// idleHead has a route and no searchers.
func idleHead() *Handler {
	conf := &config.Configuration{Version: 1, Services: []*config.Service{{Name: "s"}}, Routes: []*config.Route{
		{Name: "r", HostName: "a.example", PathPrefix: "/", RouteKind: "safe", TimeoutMs: 6000, Service: "s", Attempts: 1}}}
	guide := &scatter.Gatherer{Upstream: upstream.New(upstream.Options{TwoChoicesThreshold: 5, DecayTime: time.Second}), RetryBudget: ratelimit.NewRetryBudget(ratelimit.BudgetOptions{Window: time.Second}, 0), Now: func() time.Duration { return 0 }}
	h := New(Options{PartialResponseAfter: 0.9, GiveUpAfter: 0.97, WriteTimeout: 2 * time.Second, OverloadFactor: 2}, guide)
	h.SetSnapshot(&Snapshot{RouteTable: routing.Compile(conf, routing.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 14})})
	return h
}

func handle(h *Handler, deadline string) (*app.RequestContext, *timedConn) {
	conn := &timedConn{}
	c := app.NewContext(0)
	c.SetConn(conn)
	c.Request.SetRequestURI("/x")
	c.Request.Header.SetProtocol("HTTP/1.1")
	c.Request.Header.SetRawHeaders([]byte("Host: a.example\r\nSwiftswitch-Request-Id: r1\r\nSwiftswitch-Deadline-Milliseconds: " + deadline + "\r\n"))
	h.Handle(context.Background(), c)
	return c, conn
}
