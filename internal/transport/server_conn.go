package transport

import (
	"container/list"
	"net"
	"time"
)

// aLongTimeAgo is a deadline that ends a blocked read or write at once.
var aLongTimeAgo = time.Unix(1, 0)

const (
	// copiedWriteBytes is up to which size a part of a response is copied, so
	// that it goes out in one write with what is before it.
	copiedWriteBytes = 4 << 10
	// writePieceBytes is how much of a response is written before it counts as
	// progress of its caller, if it was not looked at for writeProgressInterval.
	writePieceBytes       = 64 << 10
	writeProgressInterval = 250 * time.Millisecond
)

// serverConn is an accepted connection. It implements network.Conn: hertz parses
// requests from what Peek returns, which is always a whole request that was read
// within the limits of its listener. One goroutine at a time owns it.
type serverConn struct {
	net.Conn
	caller  *Caller
	tracker *ConnTracker
	options *ServerOptions

	in requestReader
	// requests counts those that were read whole.
	requests int
	// answered: a request was answered, and no other was awaited since.
	answered bool

	// out is what was written of a response and not sent yet; pending are the
	// parts before it.
	out     []byte
	pending [][]byte
	// writeTimeout bounds the writing of a response.
	writeTimeout time.Duration

	// The lock of the budget guards the fields below.
	state      connState
	stateSince time.Time
	// element is the connection's place in its state, nil if it has none.
	element *list.Element
	// heldBytes are those that it took of the budget, responseBytes those among
	// them for the response.
	heldBytes, responseBytes int
	// evictableAfter is how long the reading of a request lasts before the
	// connection may be evicted.
	evictableAfter time.Duration
	// evicted: the connection ends to make room for others. evictedSignal is
	// closed then.
	evicted       bool
	evictedSignal chan struct{}
	removed       bool
}

func newServerConn(conn net.Conn, tracker *ConnTracker, options *ServerOptions, hangups *hangupWatcher) *serverConn {
	c := &serverConn{
		Conn:          conn,
		caller:        newCaller(conn, hangups),
		tracker:       tracker,
		options:       options,
		writeTimeout:  options.IdleTimeout,
		evictedSignal: make(chan struct{}),
	}
	c.in.conn, c.caller.conn = c, c
	return c
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.lingerAfterAnswer()
	c.caller.close()
	err := c.Conn.Close()
	c.tracker.budget.remove(c)
	return err
}

// enter puts the connection in a state. It reports false, and does nothing, if
// the connection was evicted.
func (c *serverConn) enter(state connState) bool {
	c.tracker.budget.mu.Lock()
	defer c.tracker.budget.mu.Unlock()
	if c.evicted {
		return false
	}
	c.tracker.budget.enter(c, state)
	return true
}

// beginReading notes the first byte of a request, which gets this long.
func (c *serverConn) beginReading(timeout time.Duration) {
	c.tracker.budget.mu.Lock()
	defer c.tracker.budget.mu.Unlock()
	if !c.evicted {
		c.evictableAfter = timeout / ordinaryReadPart
		c.tracker.budget.enter(c, stateReading)
	}
}

// beginIdle notes that the response is written, or can't be.
func (c *serverConn) beginIdle() {
	c.tracker.budget.mu.Lock()
	defer c.tracker.budget.mu.Unlock()
	if c.removed {
		return
	}
	c.tracker.budget.setResponseBytes(c, 0)
	switch {
	case c.evicted:
	case c.heldBytes > 0:
		c.tracker.budget.enter(c, stateIdleHolding)
	default:
		c.tracker.budget.enter(c, stateIdle)
	}
}

// setReadDeadline bounds the reads of the connection, unless it is to end: then
// they fail at once.
func (c *serverConn) setReadDeadline(deadline time.Time) error {
	// Under the lock, so that nothing ends it between the look and the step.
	c.tracker.budget.mu.Lock()
	defer c.tracker.budget.mu.Unlock()
	if c.evicted || c.tracker.draining && !c.isActive() {
		deadline = aLongTimeAgo
	}
	return c.Conn.SetReadDeadline(deadline)
}

// setWriteDeadline bounds the writes of the connection, unless it was evicted.
func (c *serverConn) setWriteDeadline(deadline time.Time) error {
	c.tracker.budget.mu.Lock()
	defer c.tracker.budget.mu.Unlock()
	if c.evicted {
		deadline = aLongTimeAgo
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// SetReadTimeout implements network.Conn. The limits of the listener decide, not
// what hertz was given when the server started.
func (c *serverConn) SetReadTimeout(time.Duration) error { return nil }

// SetWriteTimeout implements network.Conn. It bounds the next response.
func (c *serverConn) SetWriteTimeout(timeout time.Duration) error {
	c.writeTimeout = timeout
	return nil
}

// Malloc implements network.Writer. What it returns is valid until the next call
// that writes.
func (c *serverConn) Malloc(n int) ([]byte, error) {
	start := len(c.out)
	if cap(c.out)-start < n {
		grown := make([]byte, start, max(start+n, minBufferBytes))
		copy(grown, c.out)
		c.out = grown
	}
	c.out = c.out[:start+n]
	return c.out[start:], nil
}

// WriteBinary implements network.Writer. A large b is not copied.
func (c *serverConn) WriteBinary(b []byte) (int, error) {
	if len(b) < copiedWriteBytes {
		room, err := c.Malloc(len(b))
		return copy(room, b), err
	}
	if len(c.out) > 0 {
		c.pending = append(c.pending, c.out)
		c.out = nil
	}
	c.pending = append(c.pending, b)
	return len(b), nil
}

// Flush implements network.Writer. It writes the response, whose bytes count as
// taken until its caller has read them.
func (c *serverConn) Flush() error {
	parts := c.pending
	if len(c.out) > 0 {
		parts = append(parts, c.out)
	}
	if len(parts) == 0 {
		return nil
	}
	c.pending = nil
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	c.tracker.budget.beginResponse(c, size)
	defer c.beginIdle()
	deadline := time.Now().Add(c.writeTimeout)
	for _, part := range parts {
		if err := c.writePart(part, deadline); err != nil {
			return err
		}
	}
	if c.out = c.out[:0]; cap(c.out) > copiedWriteBytes {
		c.out = nil
	}
	return nil
}

// writePart writes a part of a response until the deadline, and notes each time
// that its caller has taken some of it.
func (c *serverConn) writePart(part []byte, deadline time.Time) error {
	for len(part) > 0 {
		step := deadline
		if len(part) > copiedWriteBytes {
			step = earlier(time.Now().Add(writeProgressInterval), deadline)
		}
		if err := c.setWriteDeadline(step); err != nil {
			return err
		}
		n, err := c.Conn.Write(part[:min(len(part), writePieceBytes)])
		if part = part[n:]; n > 0 && len(part) > 0 {
			c.tracker.budget.progress(c)
		}
		if err != nil && (!isTimeout(err) || !time.Now().Before(deadline) || c.isEvicted()) {
			return err
		}
	}
	return nil
}

func (c *serverConn) isEvicted() bool {
	select {
	case <-c.evictedSignal:
		return true
	default:
		return false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
