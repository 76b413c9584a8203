package codec

import (
	"bytes"
	"errors"
	"testing"
)

func TestGzipRoundTrip(t *testing.T) {
	for _, data := range [][]byte{{}, []byte("x"), bytes.Repeat([]byte("data"), 5000)} {
		if got, err := Gunzip(Gzip(data), len(data)); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%d bytes came back as %d: %v", len(data), len(got), err)
		}
	}
}

func TestGunzipIsBounded(t *testing.T) {
	if _, err := Gunzip(Gzip(make([]byte, 5000)), 4999); !errors.Is(err, ErrTooLarge) {
		t.Errorf("data above the bound: %v, want %v", err, ErrTooLarge)
	}
}
