package codec

import (
	"encoding/json"
	"swiftswitch/internal/events"
)

// MustEncode gives the JSON form of a value that always has one; name tells in
// the log what it is. A failure is a broken invariant and ends the process.
func MustEncode(name string, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		events.Log(events.InvariantViolated, "record", name, "err", err)
		panic(err)
	}
	return b
}
