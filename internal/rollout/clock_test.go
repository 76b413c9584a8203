package rollout

import (
	"testing"
	"time"
)

func TestTermClockNeverGivesTime(t *testing.T) {
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := NewClock(ClockRecord{}, wall, 0)
	c.AtLeast(7, 0, 0)
	c.AtLeast(7, 2*time.Second, 5*time.Second) // another node that knows less
	if got := c.Elapsed(7, 6*time.Second); got != 6*time.Second {
		t.Fatalf("spent %v", got)
	}
	c.AtLeast(7, 8*time.Second, 6*time.Second) // and one that knows more
	n := c.Record(func(int64) bool { return true }, wall, 6*time.Second)
	for at, want := range map[time.Duration]time.Duration{3 * time.Second: 11 * time.Second, -time.Hour: 8 * time.Second, time.Hour: time.Hour + 8*time.Second} {
		if got := NewClock(n, wall.Add(at), 0).Elapsed(7, 0); got != want {
			t.Errorf("back after %v by the time of day: %v of the term are over, want %v", at, got, want)
		}
	}
	if n := c.Record(func(int64) bool { return false }, wall, 0); len(n.ElapsedMs) != 0 {
		t.Error("a settled order is kept")
	}
}
