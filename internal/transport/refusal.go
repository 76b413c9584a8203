package transport

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"
)

const (
	// lingerTime and lingerBytes bound what is discarded of a refused request
	// before its connection is closed: closing one with unread bytes resets it,
	// and the caller might not see why it was refused.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
	// refusalWriteTimeout bounds the writing of a refusal.
	refusalWriteTimeout = time.Second
)

// refusal is a reason why a request is refused before it is handled. It is the
// error of the reading of that request.
type refusal int

const (
	refusedMalformed refusal = iota
	refusedHeadTooLarge
	refusedBodyTooLarge
	refusedTimedOut
	refusedNoRoom
)

// refusals tell how each reason is answered. 408 and 503 promise that the
// request was not processed, which holds for all of them: none was read whole.
var refusals = [...]struct {
	// label names the reason in the metrics.
	label   string
	status  int
	message string
}{
	refusedMalformed:    {"malformed", http.StatusBadRequest, "malformed request"},
	refusedHeadTooLarge: {"head_too_large", http.StatusRequestHeaderFieldsTooLarge, "headers too large"},
	refusedBodyTooLarge: {"body_too_large", http.StatusRequestEntityTooLarge, "body too large"},
	refusedTimedOut:     {"timed_out", http.StatusRequestTimeout, "the request did not come in time"},
	refusedNoRoom:       {"no_room", http.StatusServiceUnavailable, "no room for the request"},
}

// Error implements error.
func (r refusal) Error() string { return refusals[r].message }

// response returns the whole response to a refused request.
func (r refusal) response(retryAfter time.Duration) []byte {
	status := refusals[r].status
	body := refusals[r].message + "\n"
	b := make([]byte, 0, minBufferBytes)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\nContent-Type: text/plain\r\nConnection: close\r\n"...)
	if status == http.StatusServiceUnavailable {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// errConnectionEnded makes hertz end a connection without a response.
var errConnectionEnded = errs.New(errs.ErrNothingRead, errs.ErrorTypePrivate, "the connection ended")

// endAfter ends a connection on which no further request can be read, with a
// refusal where the caller is to know why. It returns errConnectionEnded.
func (c *serverConn) endAfter(err error) error {
	reason, refused := c.refusalFor(err)
	if refused {
		c.tracker.budget.metrics.refusals[reason].Inc()
		c.refuse(reason)
	}
	return errConnectionEnded
}

// refusalFor returns how a request is refused whose reading failed. refused is
// false where the caller has left or rests between two requests.
func (c *serverConn) refusalFor(err error) (reason refusal, refused bool) {
	if errors.As(err, &reason) {
		return reason, true
	}
	begun, ending, evicted := c.tracker.budget.standing(c)
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	isFirst := c.requests == 0
	switch {
	case errors.Is(err, ErrNoRoom), begun && evicted:
		return refusedNoRoom, true
	case isTimeout && begun, isTimeout && isFirst && !ending:
		return refusedTimedOut, true
	}
	return 0, false
}

// standing returns whether a part of a request was read, whether the connection
// is to end before another one, and whether that is since it was evicted.
func (b *Budget) standing(c *serverConn) (begun, ending, evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.state == stateReading, c.evicted || c.tracker.draining, c.evicted
}

// refuse answers a request that was not read whole, and discards for a moment
// what the caller still sends.
func (c *serverConn) refuse(reason refusal) {
	c.releaseRequest()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.Conn.Write(reason.response(c.options.RetryAfter)); err != nil {
		return
	}
	if reason != refusedTimedOut {
		c.linger()
	}
}

// lingerAfterAnswer lets the last answer arrive of a connection that this side ends:
// its caller may have sent more, or be about to (RFC 9112, section 9.6).
func (c *serverConn) lingerAfterAnswer() {
	if c.answered {
		c.answered = false
		c.linger()
	}
}

// linger closes the sending side and discards for a moment what the caller still
// sends.
func (c *serverConn) linger() {
	if !c.tracker.budget.linger(c) {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.setReadDeadline(time.Now().Add(lingerTime))
	c.discard(lingerBytes)
}

// discard reads and forgets up to a number of bytes.
func (c *serverConn) discard(bytes int) {
	scratch := make([]byte, minBufferBytes)
	for bytes > 0 {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			return
		}
		bytes -= n
	}
}

// linger puts a refused connection in stateLingering, unless it was evicted.
func (b *Budget) linger(c *serverConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted || c.removed {
		return false
	}
	b.enter(c, stateLingering)
	return true
}
