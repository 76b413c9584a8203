package frontend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/routing"
)

// Once a client has closed its connection nobody waits for the response: the
// attempts under way are canceled and no further ones are sent, although the
// route's timeout of 4 s is far off.
func TestClientDisconnectCancelsAttempts(t *testing.T) {
	t.Run("attempt under way is canceled", func(t *testing.T) {
		received, connectionEnded := make(chan struct{}, 3), make(chan struct{}, 3)
		silent := newTestEndpoint(t, func(c net.Conn, _ *http.Request) error {
			received <- struct{}{}
			_, err := c.Read(make([]byte, 1))
			connectionEnded <- struct{}{}
			return err
		})
		disconnectAfter(t, 50*time.Millisecond, received, silent.addr)
		select {
		case <-connectionEnded:
		case <-time.After(500 * time.Millisecond):
			t.Error("0.5 s after the client left, the connection to its endpoint is still open")
		}
	})
	t.Run("no retry is sent", func(t *testing.T) {
		received, brokenOff := make(chan struct{}, 3), make(chan struct{}, 3)
		first := newTestEndpoint(t, func(net.Conn, *http.Request) error {
			received <- struct{}{}
			time.Sleep(900 * time.Millisecond)
			brokenOff <- struct{}{}
			return io.EOF
		})
		second := newTestEndpoint(t, replyWhole)
		disconnectAfter(t, 100*time.Millisecond, received, first.addr, second.addr)
		second.takeProcessed() // a hedged request from before the client left
		<-brokenOff
		time.Sleep(500 * time.Millisecond)
		if retries := second.takeProcessed(); len(retries) > 0 {
			t.Errorf("after the client left, another endpoint received %q", retries)
		}
	})
}

// disconnectAfter sends a GET request for a safe route with a timeout of 4 s
// and closes the client's connection some time after an endpoint received it.
func disconnectAfter(t *testing.T, delay time.Duration, received <-chan struct{}, endpointAddrs ...string) {
	t.Helper()
	addr, h := newTestFront(t, endpointAddrs...)
	route := &config.Route{Name: "slow", HostName: "a.example", PathPrefix: "/slow/", RouteKind: "safe", TimeoutMs: 4000, Service: "s", Attempts: 3}
	configuration := &config.Configuration{Version: 2, Services: []*config.Service{{Name: "s"}}, Routes: []*config.Route{route}}
	h.SetSnapshot(&Snapshot{RouteTable: routing.Compile(configuration, routing.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 22}, nil)})
	client, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if _, err := io.WriteString(client, rawRequest("GET", "/slow/a", "1", "", "")); err != nil {
		t.Fatal(err)
	}
	select {
	case <-received:
	case <-time.After(2 * time.Second):
		t.Fatal("no endpoint received the request")
	}
	time.Sleep(delay)
}

// A client that left while its request waited for the first snapshot, as after a
// restart of everything, is not served any more; one that stayed is.
func TestClientDisconnectsBeforeFirstSnapshot(t *testing.T) {
	endpoint := newTestEndpoint(t, replyWhole)
	addr, h := newTestFrontWithoutSnapshot(t, endpoint.addr)
	for _, request := range []string{"GET /safe/gone", "POST /unsafe/gone", "GET /safe/stays"} {
		client, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		method, target, _ := strings.Cut(request, " ")
		if _, err := io.WriteString(client, rawRequest(method, target, "1", "", "")); err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(target, "gone") {
			_ = client.Close()
		} else {
			defer func() { _ = client.Close() }()
		}
	}
	time.Sleep(300 * time.Millisecond)
	h.SetSnapshot(newTestSnapshot())
	time.Sleep(300 * time.Millisecond)
	if got := endpoint.takeProcessed(); len(got) != 1 || got[0] != "GET /safe/stays 1" {
		t.Errorf("the endpoint received %q", got)
	}
}

// A fetch whose first client is gone before it begins is not left for others to
// wait for: the next client carries it out.
func TestClientDisconnectsBeforeFetch(t *testing.T) {
	addr, h := newTestFrontWithoutSnapshot(t)
	c := NewCacheHandler(110_000, func() time.Duration { return 0 }, testFetcher{map[string]int{"a": 5}})
	c.ApplyPurges(0, 0, nil)
	h.SetCacheHandler(c)
	client, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, rawRequest("GET", "/cached/a", "1", "", "")); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	time.Sleep(20 * time.Millisecond)
	h.SetSnapshot(newTestSnapshot())
	time.Sleep(20 * time.Millisecond)
	responses, _ := send(t, addr, rawRequest("GET", "/cached/a", "2", "", ""), "GET")
	if len(responses) != 1 || responses[0].status != 200 {
		t.Errorf("the next client got %+v", responses)
	}
}
