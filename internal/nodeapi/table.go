package nodeapi

import (
	"encoding/json"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/endpoints"
)

// TableRequest is sent by a control node to one with an older endpoint table,
// on PathTable. Delta is a gzipped endpoints.Delta; see UnpackTableDelta.
type TableRequest struct {
	Delta []byte `json:"Delta"`
}

// TableResponse answers a TableRequest with the stamp of the table that the
// receiver holds now. If that is older than the sender's, the delta did not
// fit, and the sender sends the whole table.
type TableResponse struct {
	Stamp endpoints.Stamp `json:"Stamp"`
}

// TableFetchRequest is sent on PathTableFetch by a new holder of the polling
// lease to the voter with the newest table. Stamp is that of the table held.
type TableFetchRequest struct {
	Stamp endpoints.Stamp `json:"Stamp"`
}

// TableFetchResponse answers a TableFetchRequest. Delta is a gzipped
// endpoints.Delta, empty if the receiver holds no table.
type TableFetchResponse struct {
	Delta []byte `json:"Delta,omitempty"`
}

// UnpackTableDelta decodes a delta of the endpoint table. It fails if the
// unpacked delta would be larger than maxBytes.
func UnpackTableDelta(packed []byte, maxBytes int) (*endpoints.Delta, error) {
	raw, err := codec.Gunzip(packed, maxBytes)
	if err != nil {
		return nil, err
	}
	delta := &endpoints.Delta{}
	return delta, json.Unmarshal(raw, delta)
}
