package codec

import (
	"bytes"
	"compress/gzip"
	"io"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// Gzip makes the packed form of what goes to many nodes alike.
func Gzip(raw []byte) []byte {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	_, _ = z.Write(raw)
	_ = z.Close()
	return buf.Bytes()
}

// Gunzip reads it, up to most bytes.
func Gunzip(packed []byte, most int) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(z, int64(most)+1))
	if err == nil && len(raw) > most {
		err = ErrTooLarge
	}
	return raw, err
}

type packError string

func (e packError) Error() string { return string(e) }

const ErrTooLarge = packError("the message is too large when unpacked")

// DeltaDictionaryID names the base of what packOn makes.
const DeltaDictionaryID = 1

// CompressDelta gives raw byte for byte as what it adds to a base that the receiver
// holds as well: a delta. A base that has little to do with it costs nothing.
func CompressDelta(base, raw string) ([]byte, error) {
	o := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(max(zstd.MinWindowSize, 1<<bits.Len(uint(len(base)+len(raw))))),
	}
	if base != "" {
		o = append(o, zstd.WithEncoderDictRaw(DeltaDictionaryID, []byte(base)))
	}
	z, err := zstd.NewWriter(nil, o...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = z.Close() }() // EncodeAll leaves nothing to flush
	return z.EncodeAll([]byte(raw), nil), nil
}

// DecompressDelta reads it, up to most bytes; what was made on another base is an error.
func DecompressDelta(base string, packed []byte, most int) (string, error) {
	o := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(most))}
	if base != "" {
		o = append(o, zstd.WithDecoderDictRaw(DeltaDictionaryID, []byte(base)))
	}
	z, err := zstd.NewReader(nil, o...)
	if err != nil {
		return "", err
	}
	defer z.Close()
	raw, err := z.DecodeAll(packed, nil)
	return string(raw), err
}
