package transport

import (
	"bytes"
	"io"
	"net"
	"slices"
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

// EndIdle ends the connections that have been idle for longest, up to a number.
func (t *ConnTracker) EndIdle(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*trackedConn
	for c := range t.conns {
		if c.idle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *trackedConn) int { return a.idleSince.Compare(b.idleSince) })
	for _, c := range idle[:min(count, len(idle))] {
		c.ending = true
		_ = c.Conn.SetReadDeadline(aLongTimeAgo)
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

// trackedConn is a connection that its tracker knows. The tracker's lock
// guards idle, idleSince, ending and responded.
type trackedConn struct {
	net.Conn
	caller  *Caller
	tracker *ConnTracker
	// timeouts is nil where deadlines are not replaced.
	timeouts func() (read, idle time.Duration)
	// idle says that nothing of a request was read since the last response, and
	// idleSince for how long that is so.
	idle      bool
	idleSince time.Time
	// ending: the connection takes no further request.
	ending bool
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
		c.idleSince = time.Now()
	}
	return !c.idle || !c.tracker.draining && !c.ending
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
	if (c.tracker.draining || c.ending) && (c.idle || c.responded) {
		deadline = aLongTimeAgo
	}
	return c.Conn.SetReadDeadline(deadline)
}
