package transport

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// Hertz takes its timeouts once, when a server starts. A server whose timeouts
// may change is given these placeholders, and SetReadDeadline of its
// connections puts the present ones in their place.
const (
	readPlaceholder = 24 * time.Hour
	idlePlaceholder = 48 * time.Hour
)

// aLongTimeAgo is a deadline that ends a blocked read at once.
var aLongTimeAgo = time.Unix(1, 0)

// interimPrefix begins an interim response (100 Continue), after which the
// final one is still to come.
var interimPrefix = []byte("HTTP/1.1 1")

// ConnTracker knows the connections of a listener and which of them are
// active: from the first byte of a request read to its response written. The
// zero value is ready for use.
type ConnTracker struct {
	mu       sync.Mutex
	conns    map[*trackedConn]bool
	draining bool
}

// Drain ends the idle connections at once, and each active one once its
// response is written.
func (t *ConnTracker) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for c := range t.conns {
		if c.idle {
			_ = c.Conn.SetReadDeadline(aLongTimeAgo)
		}
	}
}

// Active returns the number of connections with a request in progress.
func (t *ConnTracker) Active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.conns {
		if !c.idle {
			n++
		}
	}
	return n
}

func (t *ConnTracker) add(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[*trackedConn]bool{}
	}
	t.conns[c] = true
}

func (t *ConnTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// trackedListener accepts connections that its tracker knows, and whose callers
// its hangupWatcher can watch.
type trackedListener struct {
	net.Listener
	tracker *ConnTracker
	hangups *hangupWatcher
	// timeouts may be nil.
	timeouts func() (read, idle time.Duration)
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, caller: newCaller(conn, l.hangups), tracker: l.tracker, timeouts: l.timeouts, idle: true}
	l.tracker.add(c)
	return c, nil
}

// trackedConn is a connection that its tracker knows. The tracker's lock
// guards idle and responded.
type trackedConn struct {
	net.Conn
	caller  *Caller
	tracker *ConnTracker
	// timeouts is nil where deadlines are not replaced.
	timeouts func() (read, idle time.Duration)
	// idle says that nothing of a request was read since the last response.
	idle bool
	// responded says that bytes of a final response were written since the
	// last read: the next read is for the next request.
	responded bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.tracker.mu.Lock()
		c.idle = false
		c.tracker.mu.Unlock()
	}
	return n, err
}

// beginRead reports whether the connection may be read from: not once it is
// idle while its listener drains.
func (c *trackedConn) beginRead() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.responded {
		c.idle, c.responded = true, false
	}
	return !c.tracker.draining || !c.idle
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.HasPrefix(p, interimPrefix) {
		return n, err
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.responded = true
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	c.caller.close()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. A deadline that was made from one of
// the placeholders is replaced by one from the present timeouts.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	if left := time.Until(deadline); c.timeouts != nil && left > readPlaceholder/2 {
		timeout, idleTimeout := c.timeouts()
		if left > (readPlaceholder+idlePlaceholder)/2 {
			timeout = idleTimeout
		}
		deadline = time.Now().Add(timeout)
	}
	// Under the lock, so that Drain doesn't come between the look and the step.
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.tracker.draining && (c.idle || c.responded) {
		deadline = aLongTimeAgo
	}
	return c.Conn.SetReadDeadline(deadline)
}
