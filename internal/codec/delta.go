package codec

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// DeltaDictionaryID is the identifier of the dictionary in the frames that
// CompressDelta makes with a base. Frames on disk and on the wire name it, so it
// never changes.
const DeltaDictionaryID = 1

// CompressDelta compresses a text with an earlier one, that the receiver holds
// as well, as the dictionary: what both have in common takes next to no room. A
// base that has little in common with the text, or an empty one, does no harm.
func CompressDelta(base, text string) ([]byte, error) {
	window := max(zstd.MinWindowSize, 1<<bits.Len(uint(len(base)+len(text))))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(window),
	}
	if base != "" {
		options = append(options, zstd.WithEncoderDictRaw(DeltaDictionaryID, []byte(base)))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }() // EncodeAll leaves nothing to flush
	return encoder.EncodeAll([]byte(text), nil), nil
}

// DecompressDelta returns the text that CompressDelta compressed with the same
// base, if it has at most maxBytes. Another base is an error: the frame holds a
// checksum of the text.
func DecompressDelta(base string, compressed []byte, maxBytes int) (string, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxBytes)),
	}
	if base != "" {
		options = append(options, zstd.WithDecoderDictRaw(DeltaDictionaryID, []byte(base)))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return "", err
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(compressed, nil)
	return string(text), err
}
