package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// RequestBody is the body of a request that is too large to be read before the
// request is handled. It is read once, by one goroutine at a time. A caller whose
// body is not read whole is told that its connection ends.
type RequestBody struct {
	bodyStream
	reader *requestReader
	// expectsContinue: the caller waits for an interim response.
	expectsContinue bool

	// mu is held during a read; closed: there are to be no further ones.
	mu     sync.Mutex
	closed bool

	begun, whole atomic.Bool
	// interrupted: the body is not wanted any more. failed: it did not come although
	// it was wanted.
	interrupted, failed atomic.Bool
}

// Begun reports whether any of the body was read: it can't be read again.
func (b *RequestBody) Begun() bool { return b != nil && b.begun.Load() }

// Whole reports whether all of the body was read.
func (b *RequestBody) Whole() bool { return b.whole.Load() }

// CallerFailed reports whether the caller did not send the body whole, in time and
// within the limits.
func (b *RequestBody) CallerFailed() bool { return b.failed.Load() }

// Close ends the reading of the body, by whoever still reads it: the connection is
// the caller's own again when it returns.
func (b *RequestBody) Close() {
	if !b.Whole() {
		b.interrupt()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// interrupt ends a read that is under way, and all further ones.
func (b *RequestBody) interrupt() {
	b.interrupted.Store(true)
	_ = b.SetDeadline(aLongTimeAgo)
}

// SetDeadline bounds the reads, also one that is under way.
func (b *RequestBody) SetDeadline(deadline time.Time) error {
	return b.reader.conn.setReadDeadline(deadline)
}

// Read implements io.Reader. Its error is ErrCallerBody, but for io.EOF behind the
// last byte.
func (b *RequestBody) Read(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, b.fail(net.ErrClosed)
	}
	if !b.begun.Swap(true) && b.expectsContinue {
		if err := b.reader.writeContinue(); err != nil {
			return 0, b.fail(err)
		}
	}
	n, err = b.next(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		b.whole.Store(true)
		return n, io.EOF
	}
	return n, b.fail(err)
}

// fail returns the error of a read that failed.
func (b *RequestBody) fail(err error) error {
	if !b.interrupted.Load() {
		b.failed.Store(true)
	}
	return errors.Join(ErrCallerBody, err)
}

// ErrCallerBody is the error of a request whose body its caller did not send whole,
// in time and within the limits.
var ErrCallerBody = errors.New("the body did not come whole")

// beginStream makes the body of the present request, whose head was consumed, one
// that its handler reads.
func (r *requestReader) beginStream(body *RequestBody) error {
	// What the prefix takes, if there is one, stays taken.
	if err := r.chargeBody(len(body.prefix) + streamBufferBytes); err != nil {
		return err
	}
	body.reader = r
	r.stream = body
	r.conn.caller.body.Store(body)
	return nil
}

// endStream ends the handler's access to the body.
func (r *requestReader) endStream() {
	if r.stream == nil {
		return
	}
	r.stream.Close()
	r.conn.caller.body.Store(nil)
	r.stream = nil
}

// RequestBody returns the body of the caller's present request if its handler is to
// read it, nil if the request has none or came with it.
func (c *Caller) RequestBody() *RequestBody {
	if c == nil {
		return nil
	}
	return c.body.Load()
}
