package rope

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// counting counts the connections that a listener takes.
type counting struct {
	net.Listener
	n atomic.Int32
}

func (c *counting) Accept() (net.Conn, error) {
	cn, err := c.Listener.Accept()
	if err == nil {
		c.n.Add(1)
	}
	return cn, err
}

// Connections between nodes are kept and used again, whatever the answer's size.
func TestConnectionsAreKept(t *testing.T) {
	ln, ok := Listen("127.0.0.1:0", time.Second, time.Second, nil)
	if !ok {
		t.Fatal("no listener")
	}
	cl := &counting{Listener: ln}
	Serve(cl, Listener{MaxHeader: 1 << 16, MaxBody: 1 << 20, ReadWithin: time.Second, IdleFor: time.Second, UserTimeout: time.Second}, func(_ context.Context, c *app.RequestContext) {
		var in struct{ Size int }
		if Read(c, &in) {
			Answer(c, 200, make([]byte, in.Size))
		}
	})
	defer ln.Close()
	c := NewClient(2, time.Second, time.Second, 1<<20)
	for i := 0; i < 40; i++ {
		var out []byte
		size := i * 100
		if err := c.Ask(ln.Addr().String(), "/x", map[string]int{"Size": size}, &out, time.Second); err != nil || len(out) != size {
			t.Fatalf("call %d: %d bytes, %v", i, len(out), err)
		}
	}
	// Also beyond the deadline of the call before.
	for i := 0; i < 2; i++ {
		if err := c.Ask(ln.Addr().String(), "/x", map[string]int{"Size": 1}, nil, 60*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		time.Sleep(90 * time.Millisecond)
	}
	if n := cl.n.Load(); n != 1 {
		t.Fatalf("%d connections for calls one after the other", n)
	}
	if rep, err := c.Call(ln.Addr().String(), "POST", "/x", nil, []byte("{"), time.Second); err != nil || rep.Status != 400 {
		t.Fatalf("a malformed message: %v %v", rep.Status, err)
	}
}
