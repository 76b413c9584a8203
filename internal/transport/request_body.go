package transport

import (
	"errors"
	"time"
)

var interimContinue = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readBody reads the body of the present request, whose head was consumed, unless
// it is one that the handler reads.
func (r *requestReader) readBody(framing requestFraming) error {
	if r.limits.streams(framing.length) {
		return r.beginStream(&RequestBody{bodyStream: lengthStream(r, framing.length), expectsContinue: framing.expectsContinue})
	}
	if framing.length > 0 {
		if err := r.chargeBody(int(framing.length)); err != nil {
			return err
		}
	}
	if framing.expectsContinue {
		if err := r.writeContinue(); err != nil {
			return err
		}
	}
	if framing.chunked {
		return r.readChunks()
	}
	if framing.length <= 0 {
		return nil
	}
	r.body = make([]byte, framing.length)
	for unread := r.body; len(unread) > 0; {
		n, err := r.readInto(unread)
		if n == 0 && err != nil {
			return err
		}
		unread = unread[n:]
	}
	return nil
}

// writeContinue has the caller send the body.
func (r *requestReader) writeContinue() error {
	_ = r.conn.setWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, err := r.conn.Conn.Write(interimContinue)
	return err
}

// chargeBody takes bytes for a body of a size, and for the copies of it.
func (r *requestReader) chargeBody(size int) error {
	return r.charge(&r.charges.body, size*(1+r.conn.options.BodyCopies))
}

// readChunks reads a body in chunks, or leaves it to the handler where it turns
// out to be large. The trailers may take as much as a head.
func (r *requestReader) readChunks() error {
	chunks := chunkReader{
		chunkDecoder: chunkDecoder{source: r, maxBytes: int64(r.limits.bufferedBytes()), maxTrailerBytes: r.limits.HeaderBytes},
		reserve:      r.chargeBody,
	}
	err := chunks.read()
	if errors.Is(err, errBodyTooLarge) && r.limits.bufferedBytes() < r.limits.BodyBytes {
		return r.beginStream(&RequestBody{bodyStream: chunkStream(&chunks, int64(r.limits.BodyBytes))})
	}
	r.body = chunks.body
	switch {
	case errors.Is(err, errMalformedChunks):
		return refusedMalformed
	case errors.Is(err, errBodyTooLarge):
		return refusedBodyTooLarge
	case errors.Is(err, errTrailersTooLarge):
		return refusedHeadTooLarge
	}
	return err
}

// readLine implements chunkSource.
func (r *requestReader) readLine(maxBytes int) ([]byte, error) {
	line, err := nextLine(maxBytes, r.unread, func(int) error { return r.readMore(maxBytes) })
	r.start += len(line)
	return line, err
}

func (r *requestReader) unread() []byte { return r.buf[r.start:r.end] }

// readInto implements chunkSource.
func (r *requestReader) readInto(p []byte) (int, error) {
	if r.start < r.end {
		n := copy(p, r.buf[r.start:r.end])
		r.start += n
		return n, nil
	}
	return r.conn.Conn.Read(p)
}
