package transport

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Caller is the other end of an accepted connection, which waits for responses
// on it. It has left once the connection was closed, by either side; a caller
// that shut down only its sending side counts as one that left, since the
// socket shows the same end of stream for both.
//
// A handler calls Left before it begins work that only the caller needs, and
// Watch while it waits for such work. A nil Caller never leaves.
type Caller struct {
	watcher *hangupWatcher
	// ctx is canceled when the caller was seen to have left.
	ctx    context.Context
	cancel context.CancelFunc
	// fd is the connection's socket, negative once it is closed.
	// hangupWatcher.mu guards it: the socket is not closed under a look at it.
	fd int32
	// conn is the connection whose budget the responses to the caller take, nil
	// for none.
	conn *serverConn
	// body is that of the present request if its handler is to read it.
	body atomic.Pointer[RequestBody]
}

// callerKey is the key of the Caller among the values of a handler's context.
type callerKey struct{}

// newCaller returns the caller of an accepted connection.
func newCaller(conn net.Conn, watcher *hangupWatcher) *Caller {
	c := &Caller{watcher: watcher, fd: socketOf(conn)}
	c.ctx, c.cancel = context.WithCancel(context.WithValue(context.Background(), callerKey{}, c))
	return c
}

// CallerFrom returns the caller of the request that a handler of Serve was
// given this context for, or one made of it; nil where the context is another.
func CallerFrom(ctx context.Context) *Caller {
	caller, _ := ctx.Value(callerKey{}).(*Caller)
	return caller
}

// Context returns a context that is canceled once the caller was seen to have
// left. Nobody looks for that but Left, Watch, and the connection's reader
// between two requests.
func (c *Caller) Context() context.Context {
	if c == nil {
		return context.Background()
	}
	return c.ctx
}

// takeResponse takes bytes of the budget for a part of the response to the
// caller's present request, and waits for room until the deadline. They are given
// back once the response is written, or its connection has ended.
func (c *Caller) takeResponse(bytes int, deadline time.Time) error {
	if c == nil || c.conn == nil {
		return nil
	}
	return c.conn.tracker.budget.takeResponse(c.conn, bytes, deadline)
}

// Left looks whether the caller has left, without blocking. It takes a system
// call. What a caller sent before it left does not hide that it did.
func (c *Caller) Left() bool {
	if c == nil {
		return false
	}
	if c.ctx.Err() != nil {
		return true
	}
	c.watcher.look(c)
	return c.ctx.Err() != nil
}

// Watch calls wait, and has the connection looked at regularly from a little
// after now until wait returns.
func (c *Caller) Watch(wait func()) {
	if c != nil {
		c.watcher.add(c)
		defer c.watcher.remove(c)
	}
	wait()
}

// close must be called before the connection is closed.
func (c *Caller) close() {
	c.watcher.forget(c)
	c.cancel()
}

// socketOf returns the file descriptor of a connection, -1 if it has none.
func socketOf(conn net.Conn) (socket int32) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return -1
	}
	socket = -1
	_ = raw.Control(func(fd uintptr) { socket = int32(fd) })
	return socket
}
