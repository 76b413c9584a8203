package nodeapi

import (
	"errors"
	"testing"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
)

func TestUnpackStateDelta(t *testing.T) {
	const maxBytes = 1 << 10
	const base, body = "the configuration before", "the configuration after"
	bodyOf := func(version int64) (string, bool) { return base, version == 7 }
	pack := func(base string) []byte {
		packed, err := codec.CompressDelta(base, body)
		if err != nil {
			t.Fatal(err)
		}
		return packed
	}
	for name, c := range map[string]struct {
		delta    StateDelta
		wantBody string
		wantErr  error
	}{
		"no body":           {StateDelta{}, "", nil},
		"plain body":        {StateDelta{StateDelta: consensus.StateDelta{Body: body}}, body, nil},
		"against nothing":   {StateDelta{PackedBody: pack("")}, body, nil},
		"against a version": {StateDelta{BaseVersion: 7, PackedBody: pack(base)}, body, nil},
		"base not held":     {StateDelta{BaseVersion: 6, PackedBody: pack(base)}, "", ErrBaseNotHeld},
	} {
		got, err := c.delta.Unpack(bodyOf, maxBytes)
		if !errors.Is(err, c.wantErr) || got.Body != c.wantBody {
			t.Errorf("%s: %q, %v", name, got.Body, err)
		}
	}
	if _, err := (&StateDelta{PackedBody: pack("")}).Unpack(bodyOf, 4); err == nil {
		t.Error("a body above the bound was unpacked")
	}
}

func TestWithoutBody(t *testing.T) {
	value := &consensus.Value{Version: 2, Body: "body"}
	if got := WithoutBody(value, nil); got != value {
		t.Errorf("%+v", got)
	}
	if got := WithoutBody(value, []byte("packed")); got.Body != "" || got.Version != 2 || value.Body != "body" {
		t.Errorf("%+v of %+v", got, value)
	}
	if got := WithoutBody(nil, []byte("packed")); got != nil {
		t.Errorf("%+v", got)
	}
}
