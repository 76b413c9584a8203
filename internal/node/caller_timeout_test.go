package node

import (
	"testing"
	"time"
)

func TestCallerTimeoutIsARatioOfTheBound(t *testing.T) {
	for _, c := range []struct {
		acknowledgeMs float64
		bodyBytes     int
		want          time.Duration
	}{
		{6000, 0, 1200 * time.Millisecond},
		{6000, 64 << 10, 1800 * time.Millisecond},
		{6000, 8 << 20, 4800 * time.Millisecond},
		{500, 0, 100 * time.Millisecond},
	} {
		if got := callerTimeout(c.acknowledgeMs, c.bodyBytes); got != c.want {
			t.Errorf("of %v with %d bytes: %v, want %v", c.acknowledgeMs, c.bodyBytes, got, c.want)
		}
	}
}

func TestTimeLeftOfAForwardedCall(t *testing.T) {
	for forwarded, want := range map[string]time.Duration{
		"":               time.Second,
		"400":            400 * time.Millisecond,
		"0":              0,
		"5000":           time.Second,
		"x":              0,
		"-3":             0,
		"99999999999999": time.Second,
	} {
		if got := timeLeft(time.Second, forwarded); got != want {
			t.Errorf("forwarded with %q: %v, want %v", forwarded, got, want)
		}
	}
}
