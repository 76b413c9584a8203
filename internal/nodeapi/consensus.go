package nodeapi

import (
	"errors"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
)

// ConsensusRequest is an Ask; Packed holds the body of its value.
type ConsensusRequest struct {
	consensus.Request
	Packed []byte `json:"Packed,omitempty"`
}

// ConsensusResponse is a Say; Packed holds the body of its value, News stand for Ahead.
type ConsensusResponse struct {
	consensus.Response
	Packed []byte      `json:"Packed,omitempty"`
	News   *StateDelta `json:"News,omitempty"`
}

// StateDelta are cairn.News whose body is packed on top of that of version Base.
type StateDelta struct {
	consensus.StateDelta
	Base   int64  `json:"Base,omitempty"`
	Packed []byte `json:"Packed,omitempty"`
}

// Unpack gives the news whole; body finds that of a version.
func (n *StateDelta) Unpack(body func(int64) (string, bool), most int) (consensus.StateDelta, error) {
	whole := n.StateDelta
	if n.Packed == nil {
		return whole, nil
	}
	base, ok := "", true
	if n.Base > 0 {
		if base, ok = body(n.Base); !ok {
			return whole, errors.New("the news rest on a version that is not held")
		}
	}
	var err error
	whole.Body, err = codec.DecompressDelta(base, n.Packed, most)
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
