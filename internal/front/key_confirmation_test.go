package front

import (
	"testing"
	"time"

	"swiftswitch/internal/config"
)

// Keys that nothing confirmed for most of RevocationMs are not accepted where
// the settings say so.
func TestKeysConfirmed(t *testing.T) {
	open := &config.Bounds{RevocationMs: 5000}
	closed := &config.Bounds{RevocationMs: 5000, RevocationClosed: true}
	for _, test := range []struct {
		name             string
		bounds           *config.Bounds
		now, confirmedAt time.Duration
		want             bool
	}{
		{"open, never confirmed", open, time.Hour, 0, true},
		{"closed, just confirmed", closed, time.Hour, time.Hour, true},
		{"closed, up to the limit", closed, time.Hour + 3*time.Second, time.Hour, true},
		{"closed, past the limit", closed, time.Hour + 3*time.Second + time.Millisecond, time.Hour, false},
		{"closed, never confirmed", closed, time.Hour, 0, false},
		{"closed, no time given", &config.Bounds{RevocationClosed: true}, time.Hour, time.Hour - 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := areKeysConfirmed(test.bounds, test.now, test.confirmedAt); got != test.want {
				t.Fatalf("confirmed: %v, want %v", got, test.want)
			}
		})
	}
}

// A confirmation that arrives late does not undo a later one.
func TestConfirmationsOutOfOrder(t *testing.T) {
	k := &keyConfirmation{host: newTestHost(t, 0)}
	k.confirm(7 * time.Second)
	k.confirm(5 * time.Second)
	if got := time.Duration(k.confirmedAt.Load()); got != 7*time.Second {
		t.Fatalf("confirmed at %v", got)
	}
}
