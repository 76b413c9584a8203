package transport

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// maxChunkLineBytes bounds the line with the size of a chunk, and
	// maxChunkDigits the digits on it.
	maxChunkLineBytes = 256
	maxChunkDigits    = 15
)

var (
	errMalformedChunks  = errors.New("malformed chunks")
	errBodyTooLarge     = errors.New("too large a body")
	errTrailersTooLarge = errors.New("too large trailers")
	errLineTooLong      = errors.New("too long a line")
)

// chunkSource is what chunks are read from.
type chunkSource interface {
	// readLine consumes a line with its end, or fails with errLineTooLong. What it
	// returns is valid until the next read.
	readLine(maxBytes int) ([]byte, error)
	// readInto reads some bytes.
	readInto(p []byte) (int, error)
}

// chunkReader reads a body in chunks. Extensions of chunks are errors, trailers
// are dropped.
type chunkReader struct {
	source chunkSource
	// reserve takes memory for a body of a size, before it grows to that.
	reserve func(size int) error
	// trustsSizes: memory is reserved for a chunk once its size is announced,
	// not as its data comes.
	trustsSizes               bool
	maxBytes, maxTrailerBytes int
	body                      []byte
}

// read reads all chunks and the trailers behind them.
func (r *chunkReader) read() error {
	for {
		line, err := r.source.readLine(maxChunkLineBytes)
		if err != nil {
			return tooLongMeans(errMalformedChunks, err)
		}
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return r.readTrailers()
		}
		if size > r.maxBytes-len(r.body) {
			return errBodyTooLarge
		}
		if err := r.readData(size); err != nil {
			return err
		}
		end, err := r.source.readLine(len("\r\n"))
		if err != nil || string(end) != "\r\n" {
			return firstError(tooLongMeans(errMalformedChunks, err), errMalformedChunks)
		}
	}
}

// chunkSize parses the line with the size of a chunk.
func chunkSize(line []byte) (int, error) {
	digits, found := bytes.CutSuffix(line, []byte("\r\n"))
	digits = bytes.TrimRight(digits, " ")
	if !found || len(digits) == 0 || len(digits) > maxChunkDigits {
		return 0, errMalformedChunks
	}
	size, err := strconv.ParseUint(string(digits), 16, 62)
	if err != nil {
		return 0, errMalformedChunks
	}
	return int(size), nil
}

// readTrailers reads the trailers up to the empty line that ends them.
func (r *chunkReader) readTrailers() error {
	for left := r.maxTrailerBytes; ; {
		line, err := r.source.readLine(left)
		if err != nil {
			return tooLongMeans(errTrailersTooLarge, err)
		}
		left -= len(line)
		line = trimReturn(bytes.TrimSuffix(line, newline))
		if len(line) == 0 {
			return nil
		}
		if _, _, found := cutField(line); !found {
			return errMalformedChunks
		}
	}
}

// readData appends the data of a chunk to the body.
func (r *chunkReader) readData(size int) error {
	if r.trustsSizes && cap(r.body)-len(r.body) < size {
		if err := r.grow(len(r.body) + size); err != nil {
			return err
		}
	}
	for size > 0 {
		if len(r.body) == cap(r.body) {
			if err := r.grow(minBufferBytes); err != nil {
				return err
			}
		}
		room := min(size, cap(r.body)-len(r.body))
		n, err := r.source.readInto(r.body[len(r.body) : len(r.body)+room])
		if n == 0 && err != nil {
			return err
		}
		r.body = r.body[:len(r.body)+n]
		size -= n
	}
	return nil
}

// grow doubles the room for the body, at least to a size.
func (r *chunkReader) grow(least int) error {
	size := min(max(2*cap(r.body), least), r.maxBytes)
	if err := r.reserve(size); err != nil {
		return err
	}
	grown := make([]byte, len(r.body), size)
	copy(grown, r.body)
	r.body = grown
	return nil
}

// nextLine returns the first line of what is unread, with its end. Where that is
// not there yet, readMore reads more behind so many bytes.
func nextLine(maxBytes int, unread func() []byte, readMore func(unread int) error) ([]byte, error) {
	for scanned := 0; ; {
		b := unread()
		if i := bytes.IndexByte(b[scanned:], '\n'); i >= 0 {
			if size := scanned + i + 1; size <= maxBytes {
				return b[:size], nil
			}
			return nil, errLineTooLong
		}
		if scanned = len(b); scanned >= maxBytes {
			return nil, errLineTooLong
		}
		if err := readMore(scanned); err != nil {
			return nil, err
		}
	}
}

// tooLongMeans returns what it means that a line was too long, or another error
// as it is.
func tooLongMeans(meaning, err error) error {
	if errors.Is(err, errLineTooLong) {
		return meaning
	}
	return err
}

// firstError returns err, or another one where it is nil.
func firstError(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}
