package transport

import (
	"io"
	"net"
)

const (
	// minBufferBytes is the size of a connection's first buffer.
	minBufferBytes = 2048
	// maxKeptBufferBytes is the size of the largest buffer that is kept between
	// two responses.
	maxKeptBufferBytes = 8 << 10
)

// reader is a growing read buffer over a connection. It implements
// network.Reader, from which hertz parses.
type reader struct {
	conn net.Conn
	// buf[start:end] is what was read from the connection and not consumed.
	buf        []byte
	start, end int
	// limit bounds what is read ahead of what was consumed, 0 for no bound.
	limit int
	// skipped is what the last Skip consumed, valid until the next read.
	skipped []byte
}

// fill reads until n bytes are there to be consumed.
func (r *reader) fill(n int) error {
	if r.limit > 0 && n > r.limit {
		return errHeaderTooLarge
	}
	if r.start > 0 && (r.start == r.end || len(r.buf)-r.start < n) {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if len(r.buf) < n {
		grown := make([]byte, max(n, 2*len(r.buf), minBufferBytes))
		copy(grown, r.buf[:r.end])
		r.buf = grown
	}
	for r.Len() < n {
		m, err := r.conn.Read(r.buf[r.end:])
		r.end += m
		if err != nil && r.Len() < n {
			return err
		}
	}
	return nil
}

// readFull consumes as many bytes as p holds, without a copy in the buffer of
// those that were not read yet.
func (r *reader) readFull(p []byte) error {
	n := copy(p, r.buf[r.start:r.end])
	r.start += n
	_, err := io.ReadFull(r.conn, p[n:])
	return err
}

// readLine implements chunkSource.
func (r *reader) readLine(maxBytes int) ([]byte, error) {
	line, err := nextLine(maxBytes, r.unread, func(unread int) error { return r.fill(unread + 1) })
	r.start += len(line)
	return line, err
}

func (r *reader) unread() []byte { return r.buf[r.start:r.end] }

// readInto implements chunkSource.
func (r *reader) readInto(p []byte) (int, error) {
	if r.start < r.end {
		n := copy(p, r.buf[r.start:r.end])
		r.start += n
		return n, nil
	}
	return r.conn.Read(p)
}

// shrink drops a buffer that a large response made grow.
func (r *reader) shrink() {
	if r.start == r.end && len(r.buf) > maxKeptBufferBytes {
		r.buf, r.start, r.end = nil, 0, 0
	}
}

// Peek implements network.Reader.
func (r *reader) Peek(n int) ([]byte, error) {
	if r.Len() < n {
		if err := r.fill(n); err != nil {
			return r.buf[r.start:r.end], err
		}
	}
	return r.buf[r.start : r.start+n], nil
}

// Skip implements network.Reader.
func (r *reader) Skip(n int) error {
	p, err := r.Peek(n)
	if err != nil {
		return err
	}
	r.skipped = p
	r.start += n
	return nil
}

// Release implements network.Reader; the buffer is kept for the next response.
func (r *reader) Release() error { return nil }

// Len implements network.Reader.
func (r *reader) Len() int { return r.end - r.start }

// ReadByte implements network.Reader.
func (r *reader) ReadByte() (byte, error) {
	p, err := r.Peek(1)
	if err != nil {
		return 0, err
	}
	r.start++
	return p[0], nil
}

// ReadBinary implements network.Reader.
func (r *reader) ReadBinary(n int) ([]byte, error) {
	p, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	r.start += n
	return append([]byte(nil), p...), nil
}
