package nodeapi

import (
	"errors"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
)

// ConsensusRequest is an Ask; Packed holds the body of its value.
type ConsensusRequest struct {
	consensus.Request
	PackedBody []byte `json:"Packed,omitempty"`
}

// ConsensusResponse is a Say; Packed holds the body of its value, News stand for Ahead.
type ConsensusResponse struct {
	consensus.Response
	PackedBody []byte      `json:"Packed,omitempty"`
	Delta      *StateDelta `json:"News,omitempty"`
}

// StateDelta are cairn.News whose body is packed on top of that of version Base.
type StateDelta struct {
	consensus.StateDelta
	BaseVersion int64  `json:"Base,omitempty"`
	PackedBody  []byte `json:"Packed,omitempty"`
}

// Unpack gives the news whole; body finds that of a version.
func (n *StateDelta) Unpack(body func(int64) (string, bool), most int) (consensus.StateDelta, error) {
	whole := n.StateDelta
	if n.PackedBody == nil {
		return whole, nil
	}
	base, ok := "", true
	if n.BaseVersion > 0 {
		if base, ok = body(n.BaseVersion); !ok {
			return whole, errors.New("the news rest on a version that is not held")
		}
	}
	var err error
	whole.Body, err = codec.DecompressDelta(base, n.PackedBody, most)
	return whole, err
}

// WithoutBody gives a value without its body, for the wire and the disk, where that
// goes packed beside it.
func WithoutBody(v *consensus.Value, packed []byte) *consensus.Value {
	if v == nil || packed == nil {
		return v
	}
	b := *v
	b.Body = ""
	return &b
}
