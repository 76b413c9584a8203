package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// newHolder returns a connection of a tracker that no listener accepted, in a
// state since some time ago.
func newHolder(t *testing.T, tracker *ConnTracker, state connState, age time.Duration) *serverConn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	c := newServerConn(near, tracker, &ServerOptions{}, &hangupWatcher{})
	if !tracker.budget.admit(c) {
		t.Fatal("the connection was not admitted")
	}
	c.beginReading(ordinaryReadPart * time.Second)
	c.enter(state)
	setAge(c, age)
	return c
}

// setAge makes a connection be in its state since some time ago.
func setAge(c *serverConn, age time.Duration) {
	c.tracker.budget.mu.Lock()
	defer c.tracker.budget.mu.Unlock()
	c.stateSince = time.Now().Add(-age)
}

// soon is a deadline that a test waits for, later one that it doesn't.
func soon() time.Time  { return time.Now().Add(100 * time.Millisecond) }
func later() time.Time { return time.Now().Add(5 * time.Second) }

// What is taken of the budget is bounded, by listener and in all.
func TestBudgetIsBounded(t *testing.T) {
	budget := NewBudget(ResourceLimits{BufferBytes: 1600, Connections: 100}, nil)
	first, second := budget.NewTracker(), budget.NewTracker()
	a := newHolder(t, first, stateReading, 0)
	if err := budget.take(a, 900, soon()); err != nil {
		t.Fatal(err)
	}
	if err := budget.take(newHolder(t, first, stateReading, 0), 1, soon()); !errors.Is(err, ErrNoRoom) {
		t.Errorf("beyond the requests' share of a listener: %v", err)
	}
	responding := newHolder(t, first, stateHandling, 0)
	if err := budget.takeResponse(responding, 300, soon()); err != nil {
		t.Errorf("a response, which requests leave room for: %v", err)
	}
	b := newHolder(t, second, stateReading, 0)
	if err := budget.take(b, 1, soon()); !errors.Is(err, ErrNoRoom) {
		t.Errorf("beyond what all requests may take: %v", err)
	}
	budget.remove(responding)
	if err := budget.take(b, 300, soon()); err != nil {
		t.Errorf("at another listener: %v", err)
	}
	budget.remove(a)
	if err := budget.take(b, 600, soon()); err != nil {
		t.Errorf("after a connection ended: %v", err)
	}
	budget.remove(b)
	if usage := budget.Usage(); usage.BufferBytes != 0 || usage.Waiting != 0 {
		t.Errorf("in the end %+v is taken", usage)
	}
}

// The request that came last gets the room that there is first.
func TestNewestRequestIsGrantedFirst(t *testing.T) {
	budget := NewBudget(ResourceLimits{BufferBytes: 640, Connections: 100}, nil)
	tracker := budget.NewTracker()
	holder := newHolder(t, tracker, stateHandling, 0)
	if err := budget.take(holder, 300, soon()); err != nil {
		t.Fatal(err)
	}
	results := make(chan string, 2)
	for i, name := range []string{"older", "newer"} {
		c := newHolder(t, tracker, stateReading, 0)
		go func() { results <- fmt.Sprint(name, " ", budget.take(c, 300, time.Now().Add(400*time.Millisecond))) }()
		for budget.Usage().Waiting <= i {
			time.Sleep(time.Millisecond)
		}
	}
	budget.remove(holder)
	if got := <-results; got != "newer <nil>" {
		t.Errorf("granted first: %s", got)
	}
	if got := <-results; got != "older "+ErrNoRoom.Error() {
		t.Errorf("then: %s", got)
	}
}

// Connections make room in the order of their use: those that are handled never.
func TestEvictionOrder(t *testing.T) {
	budget := NewBudget(ResourceLimits{BufferBytes: 1070, Connections: 100}, nil)
	tracker := budget.NewTracker()
	hold := func(state connState, age time.Duration) *serverConn {
		c := newHolder(t, tracker, state, age)
		budget.mu.Lock()
		budget.charge(c, 100)
		budget.mu.Unlock()
		return c
	}
	hold(stateHandling, time.Hour)
	stalled := hold(stateWriting, time.Hour)
	slow := hold(stateReading, time.Hour)
	young := hold(stateReading, -time.Hour)
	idle := hold(stateIdleHolding, 0)
	lingering := hold(stateLingering, 0)
	newcomer := newHolder(t, tracker, stateReading, 0)
	for i, want := range []*serverConn{lingering, idle, slow, stalled} {
		go func() {
			<-want.evictedSignal
			budget.remove(want)
		}()
		if err := budget.take(newcomer, 100, later()); err != nil || !want.isEvicted() {
			t.Fatalf("%d: error %v; evicted: %v", i, err, want.isEvicted())
		}
	}
	if err := budget.take(newcomer, 100, soon()); !errors.Is(err, ErrNoRoom) || young.isEvicted() {
		t.Errorf("the others are not to make room: %v", err)
	}
	setAge(young, time.Hour)
	if err := budget.take(newcomer, 100, soon()); !young.isEvicted() {
		t.Errorf("the request that is read slowly does not make room: %v", err)
	}
}

// Responses that all hold a part and want more don't wait for each other.
func TestResponsesDoNotWaitForEachOther(t *testing.T) {
	budget := NewBudget(ResourceLimits{BufferBytes: 400, Connections: 100}, nil)
	tracker := budget.NewTracker()
	done := make(chan error, 3)
	for range 3 {
		c := newHolder(t, tracker, stateHandling, 0)
		if err := budget.takeResponse(c, 100, soon()); err != nil {
			t.Fatal(err)
		}
		go func() {
			err := budget.takeResponse(c, 100, later())
			budget.remove(c)
			done <- err
		}()
	}
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Whatever ends a request, all that it took is given back.
func TestBudgetIsGivenBack(t *testing.T) {
	body := strings.Repeat("b", 900)
	whole := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nX: %s\r\n\r\n%s", len(body), strings.Repeat("a", 900), body)
	for name, misbehave := range map[string]func(conn net.Conn){
		"answered": func(conn net.Conn) {
			_, _ = io.WriteString(conn, whole)
			_, _ = conn.Read(make([]byte, 1))
		},
		"timed out":    func(conn net.Conn) { _, _ = io.WriteString(conn, whole[:len(whole)-1]); _, _ = io.ReadAll(conn) },
		"body refused": func(conn net.Conn) { _, _ = io.WriteString(conn, chunkedHead+"999\r\n"); _, _ = io.ReadAll(conn) },
		"head refused": func(conn net.Conn) { _, _ = io.WriteString(conn, headOfSize(2<<10)); _, _ = io.ReadAll(conn) },
		"chunks refused": func(conn net.Conn) {
			_, _ = io.WriteString(conn, chunkedHead+"200\r\n"+body+body)
			_, _ = io.ReadAll(conn)
		},
		"left in a head":  func(conn net.Conn) { _, _ = io.WriteString(conn, whole[:800]) },
		"left in a body":  func(conn net.Conn) { _, _ = io.WriteString(conn, whole[:len(whole)-100]) },
		"reset in a body": func(conn net.Conn) { _, _ = io.WriteString(conn, whole[:len(whole)-1]); reset(conn) },
		"reset after it":  func(conn net.Conn) { _, _ = io.WriteString(conn, whole); reset(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(ResourceLimits{BufferBytes: 1 << 20, Connections: 100}, nil)
			addr := startEcho(t, budget)
			for range 5 {
				conn := dial(t, addr)
				misbehave(conn)
				_ = conn.Close()
			}
			awaitUnused(t, budget)
		})
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// awaitUnused waits until nothing is taken of a budget.
func awaitUnused(t *testing.T, budget *Budget) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); budget.Usage() != (Usage{}); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v is still taken", budget.Usage())
		}
	}
}

// Responses that nobody reads make room for others, and those that are read are
// whole.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	const responseBytes = 8 << 20
	budget := NewBudget(ResourceLimits{BufferBytes: 3 * responseBytes, Connections: 100}, nil)
	options := testOptions()
	options.IdleTimeout = 20 * time.Second
	options.Budget = budget
	response := make([]byte, responseBytes)
	var handled atomic.Int64
	listener := startServer(t, anyPort, options, func(c *app.RequestContext) {
		c.SetStatusCode(http.StatusOK)
		c.Response.SetBodyRaw(response)
		handled.Add(1)
	})
	for range 10 {
		conn := dial(t, listener.Addr().String())
		_, _ = io.WriteString(conn, lastRequest)
	}
	for end := later(); handled.Load() < 10 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	time.Sleep(50 * time.Millisecond) // the last response is being written
	reading := dial(t, listener.Addr().String())
	_, _ = io.WriteString(reading, lastRequest)
	if got := readResponses(reading); len(got) != 1 || len(got[0]) != responseBytes+len("200 ") {
		t.Errorf("%d responses to the client that reads", len(got))
	}
	if usage := budget.Usage(); usage.BufferBytes > 3*responseBytes {
		t.Errorf("%+v is taken", usage)
	}
}

// A connection that rests makes room for a new one, however many there are.
func TestConnectionsAreBounded(t *testing.T) {
	budget := NewBudget(ResourceLimits{BufferBytes: 1 << 20, Connections: 8}, nil)
	addr := startEcho(t, budget)
	for range 100 {
		dial(t, addr)
	}
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, lastRequest)
	if got := strings.Join(readResponses(conn), ","); got != "200 " {
		t.Errorf("the last client got %q", got)
	}
	if usage := budget.Usage(); usage.Connections > 8+maxLeavingConnections {
		t.Errorf("%+v is taken", usage)
	}
}

// A connection that is not admitted takes nothing, and gives nothing back.
func TestRefusedConnectionIsNotCounted(t *testing.T) {
	budget := NewBudget(ResourceLimits{BufferBytes: 400, Connections: 4}, nil)
	tracker := budget.NewTracker()
	for range 3 {
		newHolder(t, tracker, stateHandling, 0)
	}
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	refused := newServerConn(near, tracker, &ServerOptions{}, &hangupWatcher{})
	if budget.admit(refused) {
		t.Fatal("admitted beyond the share of the listener")
	}
	_ = refused.Close()
	if n := budget.Usage().Connections; n != 3 {
		t.Errorf("%d connections are counted, want 3", n)
	}
}
