package transport

import "io"

const (
	// streamBufferBytes is the size of the buffer through which a streamed body goes.
	streamBufferBytes = 32 << 10
	// unknownLength is the length of a streamed body that comes in chunks.
	unknownLength = -1
)

// bodyStream is a body that is read piece by piece.
type bodyStream struct {
	source chunkSource
	// length is the announced length, unknownLength where the body comes in chunks.
	length int64
	// prefix was read already; left is what then comes of the announced length, or of
	// the present chunk.
	prefix []byte
	left   int64
	// chunks is nil where the length was announced.
	chunks *chunkDecoder
}

// lengthStream returns the stream of a body with an announced length.
func lengthStream(source chunkSource, length int64) bodyStream {
	return bodyStream{source: source, length: length, left: length}
}

// chunkStream returns the stream of a body in chunks that turned out to be large,
// which may have maxBytes.
func chunkStream(chunks *chunkReader, maxBytes int64) bodyStream {
	chunks.maxBytes = maxBytes
	return bodyStream{source: chunks.source, length: unknownLength, prefix: chunks.body, chunks: &chunks.chunkDecoder}
}

// Length returns the length of the body, or a negative number if only its end
// will show.
func (s *bodyStream) Length() int64 { return s.length }

// next reads some bytes, or fails with io.EOF behind the last byte alone.
func (s *bodyStream) next(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	if s.left == 0 {
		if err := s.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := s.source.readInto(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if n > 0 {
		return n, nil
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return 0, err
}

// nextChunk reads up to the next chunk, or fails with io.EOF behind the last.
func (s *bodyStream) nextChunk() error {
	if s.chunks == nil || s.chunks.ended {
		return io.EOF
	}
	size, err := s.chunks.next()
	if err == nil && size == 0 {
		return io.EOF
	}
	s.left = size
	return err
}
