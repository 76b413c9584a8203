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

// chunkDecoder reads the lines around the data of chunks. Extensions of chunks are
// ignored (RFC 9112, section 7.1.1), trailers are dropped.
type chunkDecoder struct {
	source chunkSource
	// maxBytes bounds the data of all chunks, maxTrailerBytes the trailers.
	maxBytes        int64
	maxTrailerBytes int
	// total counts the data of the chunks so far, announced that of a chunk which
	// was one too many for maxBytes.
	total, announced int64
	// begun: the end of a chunk comes before the next one. ended: the last one and
	// the trailers were read.
	begun, ended bool
}

// next reads up to the data of the next chunk and returns its size, 0 at the end
// of the body. It fails with errBodyTooLarge where a chunk is too large; with a
// greater maxBytes it may be called again then.
func (d *chunkDecoder) next() (size int64, err error) {
	if d.announced == 0 {
		if d.announced, err = d.readSize(); err != nil {
			return 0, err
		}
	}
	if d.announced == 0 {
		d.ended = true
		return 0, d.readTrailers()
	}
	if d.announced > d.maxBytes-d.total {
		return 0, errBodyTooLarge
	}
	size, d.announced = d.announced, 0
	d.total += size
	return size, nil
}

// readSize reads the end of the chunk before, if there is one, and the line with
// the size of the next.
func (d *chunkDecoder) readSize() (int64, error) {
	if d.begun {
		end, err := d.source.readLine(len("\r\n"))
		if err != nil || string(end) != "\r\n" {
			return 0, firstError(tooLongMeans(errMalformedChunks, err), errMalformedChunks)
		}
	}
	d.begun = true
	line, err := d.source.readLine(maxChunkLineBytes)
	if err != nil {
		return 0, tooLongMeans(errMalformedChunks, err)
	}
	return chunkSize(line)
}

// chunkSize parses the line with the size of a chunk.
func chunkSize(line []byte) (int64, error) {
	line, found := bytes.CutSuffix(line, []byte("\r\n"))
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if !found || len(digits) == 0 || len(digits) > maxChunkDigits || bytes.ContainsAny(extension, "\r\x00") {
		return 0, errMalformedChunks
	}
	size, err := strconv.ParseUint(string(digits), 16, 62)
	if err != nil {
		return 0, errMalformedChunks
	}
	return int64(size), nil
}

// readTrailers reads the trailers up to the empty line that ends them.
func (d *chunkDecoder) readTrailers() error {
	for left := d.maxTrailerBytes; ; {
		line, err := d.source.readLine(left)
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

// chunkReader reads a whole body in chunks.
type chunkReader struct {
	chunkDecoder
	// reserve takes memory for a body of a size, before it grows to that.
	reserve func(size int) error
	// trustsSizes: memory is reserved for a chunk once its size is announced,
	// not as its data comes.
	trustsSizes bool
	body        []byte
}

// read reads all chunks and the trailers behind them.
func (r *chunkReader) read() error {
	for {
		size, err := r.next()
		if err != nil || size == 0 {
			return err
		}
		if err := r.readData(int(size)); err != nil {
			return err
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
	size := min(max(2*cap(r.body), least), int(r.maxBytes))
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
