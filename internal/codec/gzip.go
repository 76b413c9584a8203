package codec

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// ErrTooLarge is returned for data that is larger than allowed once it is
// decompressed.
var ErrTooLarge = errors.New("the message is too large when unpacked")

// Gzip compresses data that is sent to many nodes alike.
func Gzip(data []byte) []byte {
	var compressed bytes.Buffer
	// Writes to a buffer do not fail.
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return compressed.Bytes()
}

// Gunzip decompresses what Gzip made, to at most maxBytes.
func Gunzip(compressed []byte, maxBytes int) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err == nil && len(data) > maxBytes {
		err = ErrTooLarge
	}
	return data, err
}
