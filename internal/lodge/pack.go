package lodge

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"swiftswitch/internal/hutbook"
)

// pack makes the packed form of what goes to many nodes alike.
func pack(raw []byte) []byte {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	_, _ = z.Write(raw)
	_ = z.Close()
	return buf.Bytes()
}

// unpack reads it, up to most bytes.
func unpack(packed []byte, most int) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(z, int64(most)+1))
	if err == nil && len(raw) > most {
		err = errTooLarge
	}
	return raw, err
}

type packError string

func (e packError) Error() string { return string(e) }

const errTooLarge = packError("the message is too large when unpacked")

// unpackDelta reads a change of the table.
func unpackDelta(packed []byte, most int) (*hutbook.Delta, error) {
	raw, err := unpack(packed, most)
	if err != nil {
		return nil, err
	}
	d := &hutbook.Delta{}
	return d, json.Unmarshal(raw, d)
}
