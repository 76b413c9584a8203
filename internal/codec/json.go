package codec

import (
	"encoding/json"

	"swiftswitch/internal/events"
)

// MustEncode returns the JSON form of a value that always has one; name says in
// the log what the value is. A failure is a broken invariant and ends the process.
func MustEncode(name string, value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		events.Log(events.InvariantViolated, "record", name, "err", err)
		panic(err)
	}
	return encoded
}
