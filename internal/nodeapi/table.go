package nodeapi

import (
	"encoding/json"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/endpoints"
)

// UnpackTableDelta reads a change of the table.
func UnpackTableDelta(packed []byte, most int) (*endpoints.Delta, error) {
	raw, err := codec.Gunzip(packed, most)
	if err != nil {
		return nil, err
	}
	d := &endpoints.Delta{}
	return d, json.Unmarshal(raw, d)
}
