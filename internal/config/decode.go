package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// decodeSingle reads the one JSON value that raw must hold. Keys that the
// target lacks are ignored. kind and subject name the value in errors, e.g. "a
// purge" and "the purge".
func decodeSingle(raw []byte, target any, kind, subject string) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("not %s: %w", kind, err)
	}
	if decoder.More() {
		return fmt.Errorf("more follows %s", subject)
	}
	return nil
}
