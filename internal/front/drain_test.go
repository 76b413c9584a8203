package front

import (
	"testing"
	"time"
)

// A draining front accepts requests while the platform still sends them, and
// not so late that it might have to cut one that it may not cut.
func TestAcceptTime(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		time.Second:      500 * time.Millisecond,
		6 * time.Second:  3 * time.Second,
		10 * time.Second: 3 * time.Second,
		60 * time.Second: 3 * time.Second,
	} {
		if got := acceptTime(grace); got != want {
			t.Errorf("grace %v: requests are accepted for %v, want %v", grace, got, want)
		}
	}
}
