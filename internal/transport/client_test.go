package transport

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const anyPort = "127.0.0.1:0"

func newTestClient(maxIdlePerNode int) *Client {
	return NewClient(ClientOptions{
		MaxIdlePerNode: maxIdlePerNode,
		IdleTimeout:    time.Second,
		TCPUserTimeout: time.Second,
		MaxBodyBytes:   1 << 20,
	})
}

// Connections between nodes are reused, whatever the size of a response.
func TestClientReusesConnections(t *testing.T) {
	listener := startServer(t, anyPort, testOptions(), func(c *app.RequestContext) {
		var in struct{ Size int }
		if ReadJSON(c, &in) {
			WriteJSON(c, 200, make([]byte, in.Size))
		}
	})
	addr := listener.Addr().String()
	client := newTestClient(2)
	for i := range 40 {
		var out []byte
		size := i * 100
		if err := client.CallJSON(addr, "/x", map[string]int{"Size": size}, &out, time.Second); err != nil || len(out) != size {
			t.Fatalf("call %d: %d bytes, %v", i, len(out), err)
		}
	}
	// Also beyond the deadline of the call before.
	for range 2 {
		if err := client.CallJSON(addr, "/x", map[string]int{"Size": 1}, nil, 60*time.Millisecond); err != nil {
			t.Fatal(err)
		}
		time.Sleep(90 * time.Millisecond)
	}
	if n := listener.accepted(); n != 1 {
		t.Fatalf("%d connections for calls one after the other", n)
	}
}

// A malformed message is answered 400 and the reason, which a call returns as
// a StatusError.
func TestStatusError(t *testing.T) {
	listener := startServer(t, anyPort, testOptions(), func(c *app.RequestContext) {
		var in struct{ Status int }
		if ReadJSON(c, &in) {
			WriteError(c, in.Status, "no quorum")
		}
	})
	addr := listener.Addr().String()
	client := newTestClient(2)
	response, err := client.Do(addr, "POST", "/x", nil, []byte("{"), time.Second)
	if err != nil || response.Status != 400 {
		t.Fatalf("a malformed message: %v %v", response.Status, err)
	}
	var statusError *StatusError
	if err := response.Err(); !errors.As(err, &statusError) || statusError.Status != 400 || statusError.Message == "" {
		t.Errorf("the error of a malformed message: %#v", err)
	}
	err = client.CallJSON(addr, "/x", map[string]int{"Status": http.StatusServiceUnavailable}, nil, time.Second)
	if !errors.As(err, &statusError) || *statusError != (StatusError{Status: 503, Message: "no quorum"}) {
		t.Errorf("the error of a refused call: %#v", err)
	}
	if got, want := err.Error(), "status 503: no quorum"; got != want {
		t.Errorf("its text is %q, want %q", got, want)
	}
	if err := client.CallJSON(addr, "/x", map[string]int{"Status": http.StatusOK}, nil, time.Second); err != nil {
		t.Errorf("a call answered 200: %v", err)
	}
}

// A response that comes after its call has timed out, or from a node that took
// over the address, never reaches another call.
func TestLateResponseReachesNoOtherCall(t *testing.T) {
	serve := func(addr, name string) *killableListener {
		return startServer(t, addr, testOptions(), func(c *app.RequestContext) {
			var in struct{ Wait, N int }
			if ReadJSON(c, &in) {
				time.Sleep(time.Duration(in.Wait) * time.Millisecond)
				WriteJSON(c, 200, map[string]any{"N": in.N, "Name": name})
			}
		})
	}
	server, name := serve(anyPort, "first"), "first"
	addr := server.Addr().String()
	client := newTestClient(4)
	call := func(wait, n int, timeout time.Duration) {
		t.Helper()
		var out struct {
			N    int
			Name string
		}
		err := client.CallJSON(addr, "/x", map[string]int{"Wait": wait, "N": n}, &out, timeout)
		switch {
		case err == nil && (out.N != n || out.Name != name):
			t.Errorf("call %d was answered with %+v", n, out)
		case err == nil && time.Duration(wait)*time.Millisecond > timeout:
			t.Errorf("call %d was answered too late", n)
		case err != nil && wait == 0:
			t.Errorf("call %d: %v", n, err)
		}
	}
	for n := range 30 {
		if n%3 == 1 {
			call(60, n, 20*time.Millisecond)
		} else {
			call(0, n, time.Second)
		}
		time.Sleep(time.Duration(n%4) * 20 * time.Millisecond)
	}
	server.kill()
	name = "second"
	serve(addr, name)
	for n := 30; n < 40; n++ {
		call(0, n, time.Second)
	}
}
