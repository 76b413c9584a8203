package transport

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"
)

const (
	// ordinaryReadPart of the time for the reading of a request is enough for an
	// ordinary one. Connections that take longer make room for others.
	ordinaryReadPart = 4
	// freeBytes are those that each connection may hold without taking them of
	// the budget: small requests and responses never wait.
	freeBytes = 4 << 10
	// startLineBytes is what the method and the version of a start line may take
	// beside the limit for headers.
	startLineBytes = 128
	// parsedHeadFactor is how many copies of a head its parsing makes, and
	// parsedFieldBytes what each of its fields takes besides.
	parsedHeadFactor = 4
	parsedFieldBytes = 192
)

// RequestLimits bound the requests of a listener.
type RequestLimits struct {
	// HeaderBytes bounds the head of a request, and its trailers.
	HeaderBytes int
	BodyBytes   int
	// BufferedBodyBytes bounds the bodies that are read before their requests are
	// handled; handlers read larger ones: Caller.RequestBody. 0 means that all are.
	BufferedBodyBytes int
	// ReadTimeout bounds the reading of a request, from the accepted connection
	// on or from the request's first byte.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may rest between requests.
	IdleTimeout time.Duration
}

// streams reports whether the handler reads a body of this length.
func (l *RequestLimits) streams(length int64) bool {
	return l.BufferedBodyBytes > 0 && length > int64(l.BufferedBodyBytes)
}

// bufferedBytes bounds a body that is read before its request is handled.
func (l *RequestLimits) bufferedBytes() int {
	if l.BufferedBodyBytes > 0 {
		return min(l.BodyBytes, l.BufferedBodyBytes)
	}
	return l.BodyBytes
}

// requestReader reads one request at a time from a connection, head and body,
// within limits and with bytes taken of the budget before a buffer grows. It
// gives hertz each request as a head that announces its length and a body
// without chunks.
type requestReader struct {
	conn *serverConn
	// buf[start:end] was read from the connection and not consumed.
	buf        []byte
	start, end int
	// charges is what the request and the last ones took of the budget.
	charges readerCharges
	// limits and deadline are those of the present request.
	limits   RequestLimits
	deadline time.Time

	// head and body are what is left for hertz of the present request. stream is its
	// body if its handler is to read it, nil if it is not.
	head, body []byte
	stream     *RequestBody
	// loaded: a request was read and not released yet.
	loaded bool
}

// readerCharges are the bytes that a reader takes of the budget, by what holds
// them. The first freeBytes of them are free.
type readerCharges struct {
	buffer, body int
	// parsedHead stays taken while the connection rests: hertz keeps what it
	// parsed the greatest head into.
	parsedHead int
}

func (c *readerCharges) charged() int {
	return max(0, c.buffer+c.body+c.parsedHead-freeBytes)
}

// load reads the next request.
func (r *requestReader) load() error {
	r.conn.answered = false
	r.limits = r.conn.options.limits()
	if err := r.awaitRequest(); err != nil {
		return err
	}
	if err := r.skipEmptyLine(); err != nil {
		return err
	}
	size, err := r.readHead()
	if err != nil {
		return err
	}
	head := r.buf[r.start : r.start+size]
	framing, err := parseFraming(head)
	if err != nil {
		return err
	}
	parsedBytes := parsedHeadFactor*size + parsedFieldBytes*framing.fields
	if err := r.charge(&r.charges.parsedHead, max(parsedBytes, r.charges.parsedHead)); err != nil {
		return err
	}
	if framing.length > int64(r.limits.BodyBytes) {
		return refusedBodyTooLarge
	}
	if framing.needsRewriting() || r.limits.streams(framing.length) {
		// The body is read over the head.
		head = append([]byte(nil), head...)
	}
	r.start += size
	if err := r.readBody(framing); err != nil {
		return err
	}
	switch {
	case r.stream != nil:
		head = framing.rewrite(head, noLength)
	case framing.needsRewriting():
		head = framing.rewrite(head, len(r.body))
	}
	if !r.conn.enter(stateHandling) {
		return errEvicted
	}
	r.head, r.loaded = head, true
	r.conn.requests++
	return nil
}

// awaitRequest waits for the first byte of a request, and then begins its time.
func (r *requestReader) awaitRequest() error {
	if r.start == r.end {
		timeout := r.limits.IdleTimeout
		if r.conn.requests == 0 {
			timeout = r.limits.ReadTimeout
		}
		if err := r.conn.setReadDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		if err := r.read(); err != nil {
			return err
		}
	}
	r.conn.beginReading(r.limits.ReadTimeout)
	r.deadline = time.Now().Add(r.limits.ReadTimeout)
	return r.conn.setReadDeadline(r.deadline)
}

// skipEmptyLine consumes one empty line before a request (RFC 9112, section 2.2).
// Where nothing follows it, the connection rests again.
func (r *requestReader) skipEmptyLine() error {
	if r.end-r.start == 1 && r.buf[r.start] == '\r' {
		if err := r.readMore(len(r.buf)); err != nil {
			return err
		}
	}
	line := emptyLineSize(r.buf[r.start:r.end])
	if line == 0 {
		return nil
	}
	r.start += line
	if r.start < r.end {
		return nil
	}
	r.conn.beginIdle()
	return r.awaitRequest()
}

// emptyLineSize returns the size of the empty line that b begins with, 0 if it
// begins with none.
func emptyLineSize(b []byte) int {
	switch {
	case bytes.HasPrefix(b, []byte("\r\n")):
		return len("\r\n")
	case bytes.HasPrefix(b, newline):
		return len(newline)
	}
	return 0
}

// read reads what there is into the buffer, which has room for it.
func (r *requestReader) read() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.buf == nil {
		r.buf = make([]byte, minBufferBytes)
	}
	n, err := r.conn.Conn.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// readMore reads more behind what was not consumed, in a buffer of at most
// maxBytes that grows where it is full.
func (r *requestReader) readMore(maxBytes int) error {
	if r.end == len(r.buf) && r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) && r.end > 0 {
		if len(r.buf) >= maxBytes {
			return errLineTooLong
		}
		size := min(2*len(r.buf), maxBytes)
		if err := r.charge(&r.charges.buffer, size); err != nil {
			return err
		}
		grown := make([]byte, size)
		copy(grown, r.buf[:r.end])
		r.buf = grown
	}
	return r.read()
}

// charge sets what the reader takes of the budget for one purpose. Where that is
// more than before, it waits for room until the deadline of the request.
func (r *requestReader) charge(purpose *int, bytes int) error {
	before, old := r.charges.charged(), *purpose
	*purpose = bytes
	more := r.charges.charged() - before
	if more <= 0 {
		r.conn.tracker.budget.give(r.conn, -more)
		return nil
	}
	if err := r.conn.tracker.budget.take(r.conn, more, r.deadline); err != nil {
		*purpose = old
		return err
	}
	return nil
}

// readHead reads until the empty line that ends a head, and returns the size of
// the head with that line.
func (r *requestReader) readHead() (size int, err error) {
	maxBytes := r.limits.HeaderBytes + startLineBytes
	scanner := headScanner{}
	for {
		size, err := scanner.scan(r.buf[r.start:r.end])
		if err != nil || size > maxBytes {
			return 0, firstError(err, refusedHeadTooLarge)
		}
		if size > 0 {
			return size, nil
		}
		if r.end-r.start > maxBytes {
			return 0, refusedHeadTooLarge
		}
		if err := r.readMore(maxBytes + 1); err != nil {
			return 0, tooLongMeans(refusedHeadTooLarge, err)
		}
	}
}

// release gives back the memory of the present request, but for what hertz keeps
// and for what was read of the next one.
func (r *requestReader) release() {
	r.endStream()
	r.conn.answered = r.conn.answered || r.loaded
	r.head, r.body, r.loaded = nil, nil, false
	_ = r.charge(&r.charges.body, 0) // giving back does not fail
	if r.start == r.end {
		r.start, r.end = 0, 0
		if len(r.buf) > minBufferBytes {
			r.buf = nil
		}
		_ = r.charge(&r.charges.buffer, 0)
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
