package node

import (
	"testing"
	"time"
)

func TestPauseDetectorFindsAPause(t *testing.T) {
	const ms = time.Millisecond
	detector := pauseDetector{threshold: 300 * ms}
	// The time before the first check is no pause, nor is a gap of the threshold.
	for _, at := range []time.Duration{5000, 5075, 5150, 5450, 5600} {
		if pause := detector.check(at * ms); pause > 0 || detector.recentlyPaused(at*ms) {
			t.Fatalf("at %d ms: a pause of %v", at, pause)
		}
	}
	if pause := detector.check(6600 * ms); pause != 1000*ms {
		t.Fatalf("a pause of %v, want 1s", pause)
	}
	detector.check(6700 * ms)
	for at, want := range map[time.Duration]bool{6600: true, 6700: true, 6899: true, 6900: false, 8000: false} {
		if got := detector.recentlyPaused(at * ms); got != want {
			t.Errorf("at %d ms: recently paused %v, want %v", at, got, want)
		}
	}
}
