package host

import "math/rand/v2"

// randomIDLetters leaves out l, o, 0 and 1, which are easily confused in a log.
// Twelve letters of 32 make 60 bits.
const (
	randomIDLetters = "abcdefghijkmnpqrstuvwxyz23456789"
	randomIDLength  = 12
)

// RandomID draws an identifier that no other node or request is likely to have.
// It is not fit for secrets.
func RandomID() string {
	id := make([]byte, randomIDLength)
	for i := range id {
		id[i] = randomIDLetters[rand.IntN(len(randomIDLetters))]
	}
	return string(id)
}
