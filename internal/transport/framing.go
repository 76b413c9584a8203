package transport

import (
	"bytes"
	"errors"
)

// Errors of Conn.Exchange about a response that can't be trusted to end where
// it seems to.
var (
	// ErrUnsolicited says that bytes came which no request asked for.
	ErrUnsolicited = errors.New("unsolicited bytes on the connection")
	// ErrNoBodyLength says that the response's body ends with its connection,
	// so that a truncated one looks like a complete one.
	ErrNoBodyLength = errors.New("response without a body length")
	// ErrAmbiguousFraming says that the response's head can be read in more
	// than one way.
	ErrAmbiguousFraming = errors.New("response with ambiguous framing")

	errNotHTTP11      = errors.New("response is not HTTP/1.1")
	errHeaderTooLarge = errors.New("response with too large a header")
	errInvalidStatus  = errors.New("response with an invalid status")
)

// contentUntilClose is hertz's content length of a body that ends with its
// connection.
const contentUntilClose = -2

// framedOnce reports whether a head states the body's end at most once, and in
// lines that can be read in one way only. Anything else is how responses are
// smuggled (RFC 9112, sections 5 and 6.3).
func framedOnce(head []byte) bool {
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	statements := 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\x00\r") {
			return false
		}
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			statements++
		}
	}
	return statements <= 1
}
