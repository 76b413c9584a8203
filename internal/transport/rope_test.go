package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
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
	Serve(cl, ServerOptions{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadTimeout: time.Second, IdleTimeout: time.Second, TCPUserTimeout: time.Second}, func(_ context.Context, c *app.RequestContext) {
		var in struct{ Size int }
		if ReadJSON(c, &in) {
			WriteJSON(c, 200, make([]byte, in.Size))
		}
	})
	defer func() { _ = ln.Close() }()
	c := NewClient(2, time.Second, time.Second, 1<<20)
	for i := 0; i < 40; i++ {
		var out []byte
		size := i * 100
		if err := c.CallJSON(ln.Addr().String(), "/x", map[string]int{"Size": size}, &out, time.Second); err != nil || len(out) != size {
			t.Fatalf("call %d: %d bytes, %v", i, len(out), err)
		}
	}
	// Also beyond the deadline of the call before.
	for i := 0; i < 2; i++ {
		if err := c.CallJSON(ln.Addr().String(), "/x", map[string]int{"Size": 1}, nil, 60*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		time.Sleep(90 * time.Millisecond)
	}
	if n := cl.n.Load(); n != 1 {
		t.Fatalf("%d connections for calls one after the other", n)
	}
	if rep, err := c.Do(ln.Addr().String(), "POST", "/x", nil, []byte("{"), time.Second); err != nil || rep.Status != 400 {
		t.Fatalf("a malformed message: %v %v", rep.Status, err)
	}
}

// dying is a listener whose connections end with it, as with its process.
type dying struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (d *dying) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err == nil {
		d.mu.Lock()
		d.conns = append(d.conns, c)
		d.mu.Unlock()
	}
	return c, err
}

func (d *dying) die() {
	_ = d.Listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

// An answer that comes after its call was given up, or from a node that took
// the address over, never reaches another call.
func TestLateAnswersAreNobodys(t *testing.T) {
	serve := func(addr, name string) (string, func()) {
		l, ok := Listen(addr, time.Second, 10*time.Millisecond, nil)
		if !ok {
			t.Fatal("no listener")
		}
		ln := &dying{Listener: l}
		Serve(ln, ServerOptions{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, ReadTimeout: time.Second, IdleTimeout: time.Second, TCPUserTimeout: time.Second}, func(_ context.Context, c *app.RequestContext) {
			var in struct{ Wait, N int }
			if ReadJSON(c, &in) {
				time.Sleep(time.Duration(in.Wait) * time.Millisecond)
				WriteJSON(c, 200, map[string]any{"N": in.N, "Name": name})
			}
		})
		return ln.Addr().String(), ln.die
	}
	addr, stop := serve("127.0.0.1:0", "first")
	c := NewClient(4, time.Second, time.Second, 1<<20)
	name := "first"
	call := func(wait, n int, within time.Duration) {
		var out struct {
			N    int
			Name string
		}
		if err := c.CallJSON(addr, "/x", map[string]int{"Wait": wait, "N": n}, &out, within); err == nil && (out.N != n || out.Name != name) {
			t.Errorf("call %d was answered with %+v", n, out)
		} else if err == nil && time.Duration(wait)*time.Millisecond > within {
			t.Errorf("call %d was answered too late", n)
		} else if err != nil && wait == 0 {
			t.Errorf("call %d: %v", n, err)
		}
	}
	for n := 0; n < 30; n++ {
		if n%3 == 1 {
			call(60, n, 20*time.Millisecond)
		} else {
			call(0, n, time.Second)
		}
		time.Sleep(time.Duration(n%4) * 20 * time.Millisecond)
	}
	stop()
	name = "second"
	_, stop = serve(addr, "second")
	defer stop()
	for n := 30; n < 40; n++ {
		call(0, n, time.Second)
	}
}

// A client that was told to go on with its body is in the middle of a request:
// a node that leaves reads it and answers, and ends the connection after it.
func TestLeavingReadsWhatItAskedFor(t *testing.T) {
	ln, ok := Listen("127.0.0.1:0", time.Second, time.Second, nil)
	if !ok {
		t.Fatal("no listener")
	}
	defer func() { _ = ln.Close() }()
	gate := &ConnTracker{}
	limits := func() (time.Duration, time.Duration) { return time.Second, time.Second }
	Serve(ln, ServerOptions{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 20, TCPUserTimeout: time.Second, Timeouts: limits, Tracker: gate}, func(_ context.Context, c *app.RequestContext) {
		WriteJSON(c, 200, string(c.Request.Body()))
	})
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	in := bufio.NewReader(c)
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 100 {
		t.Fatalf("told to go on: %+v %v", r, err)
	}
	time.Sleep(20 * time.Millisecond)
	if n := gate.Active(); n != 1 {
		t.Errorf("%d connections count as busy", n)
	}
	gate.Drain()
	_, _ = io.WriteString(c, "body")
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.StatusCode != 200 {
		t.Fatalf("the answer: %+v %v", r, err)
	}
	if b, err := io.ReadAll(r.Body); string(b) != `"body"` || err != nil {
		t.Fatalf("its body: %q %v", b, err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("after it: %v", err)
	}
}
