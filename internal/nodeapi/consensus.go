package nodeapi

import (
	"errors"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
)

// ErrBaseNotHeld is returned for a delta whose base version the receiver does
// not hold. It needs the whole state instead.
var ErrBaseNotHeld = errors.New("the delta's base version is not held")

// ConsensusRequest is sent by a proposer to each voter on PathConsensus: a
// prepare, or an accept if it has a value.
type ConsensusRequest struct {
	consensus.Request
	// PackedBody is the value's configuration body, compressed against that
	// of the proposer's base state; the value itself then has none.
	PackedBody []byte `json:"Packed,omitempty"`
}

// ConsensusResponse is the voter's answer to a ConsensusRequest, sent after
// what it promised or accepted is on its disk.
type ConsensusResponse struct {
	consensus.Response
	// PackedBody is the accepted value's body, compressed as in the request.
	PackedBody []byte `json:"Packed,omitempty"`
	// Delta brings a proposer that is behind to the voter's decided state. It
	// stands in for Response.NewerState, which is not sent.
	Delta *StateDelta `json:"News,omitempty"`
}

// LearnRequest is sent by a proposer, or by a node that hands state over, to
// the other control nodes on PathLearn: Slot is decided. With Delta nil the
// receiver takes the value that it accepted under Ballot, if it did.
type LearnRequest struct {
	Slot   int64            `json:"Slot"`
	Ballot consensus.Ballot `json:"Ballot"`
	Delta  *StateDelta      `json:"News,omitempty"`
}

// LearnResponse answers a LearnRequest. DurableSlot is the last slot whose
// state is on the receiver's disk, below LearnRequest.Slot if it lacks a delta.
type LearnResponse struct {
	DurableSlot int64 `json:"Slot"`
}

// StateRequest is sent on PathState by a control node that catches up. Slot is
// the last slot that it knows to be decided, or consensus.NoSlot. The answer is
// a StateDelta.
type StateRequest struct {
	Slot int64 `json:"Slot"`
}

// PeekResponse is a voter's answer on PathPeek. A reader that finds no later
// slot and nothing accepted at a majority holds the newest state.
type PeekResponse struct {
	AcceptorID  string `json:"ID"`
	DecidedSlot int64  `json:"Slot"`
	// HasAccepted reports whether a value was accepted for the slot after
	// DecidedSlot. It may be decided already, so the reader has to finish it.
	HasAccepted bool `json:"Begun"`
}

// StateDelta is a consensus.StateDelta whose configuration body, if PackedBody
// is set, is compressed against that of version BaseVersion (0: against none).
type StateDelta struct {
	consensus.StateDelta
	BaseVersion int64  `json:"Base,omitempty"`
	PackedBody  []byte `json:"Packed,omitempty"`
}

// Unpack returns the delta with its body decompressed, to at most maxBytes.
// bodyOf returns the body of a version and whether the receiver holds it.
func (d *StateDelta) Unpack(bodyOf func(version int64) (string, bool), maxBytes int) (consensus.StateDelta, error) {
	unpacked := d.StateDelta
	if d.PackedBody == nil {
		return unpacked, nil
	}
	base := ""
	if d.BaseVersion > 0 {
		held := false
		if base, held = bodyOf(d.BaseVersion); !held {
			return unpacked, ErrBaseNotHeld
		}
	}
	var err error
	unpacked.Body, err = codec.DecompressDelta(base, d.PackedBody, maxBytes)
	return unpacked, err
}

// WithoutBody returns a value without its body, for messages and records that
// carry the body packed beside it. It returns v itself if there is nothing to
// strip, and never changes v.
func WithoutBody(v *consensus.Value, packed []byte) *consensus.Value {
	if v == nil || packed == nil {
		return v
	}
	stripped := *v
	stripped.Body = ""
	return &stripped
}
