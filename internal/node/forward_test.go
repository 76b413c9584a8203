package node

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestPatienceIsARatioOfTheBound(t *testing.T) {
	for _, c := range []struct {
		ack  float64
		size int
		want time.Duration
	}{{6000, 0, 1200 * time.Millisecond}, {6000, 64 << 10, 1800 * time.Millisecond}, {6000, 8 << 20, 4800 * time.Millisecond}, {500, 0, 100 * time.Millisecond}} {
		if got := callerTimeout(c.ack, c.size); got != c.want {
			t.Errorf("of %v with %d bytes: %v, want %v", c.ack, c.size, got, c.want)
		}
	}
	for told, want := range map[string]time.Duration{"": time.Second, "400": 400 * time.Millisecond, "0": 0, "5000": time.Second, "x": 0, "-3": 0, "99999999999999": time.Second} {
		if got := timeLeft(time.Second, told); got != want {
			t.Errorf("told %q: %v, want %v", told, got, want)
		}
	}
}

func TestVigilSeesThatTheNodeStoodStill(t *testing.T) {
	ms := time.Millisecond
	v := pauseDetector{Threshold: 300 * ms}
	// How long it took to begin is no standing still.
	for _, at := range []time.Duration{5000, 5075, 5150, 5450, 5600} {
		if still := v.Check(at * ms); still > 0 || v.RecentlyPaused(at*ms) {
			t.Fatalf("at %d it stood still for %v", at, still)
		}
	}
	if still := v.Check(6600 * ms); still != 1000*ms {
		t.Fatalf("it stood still for %v", still)
	}
	v.Check(6700 * ms)
	for at, want := range map[time.Duration]bool{6600: true, 6700: true, 6899: true, 6900: false, 8000: false} {
		if v.RecentlyPaused(at*ms) != want {
			t.Errorf("at %d calls are in doubt: %v", at, !want)
		}
	}
}

func TestUnheardAreAskedLast(t *testing.T) {
	u := unresponsivePeers{}
	ips := []string{"a", "b", "c", "d"}
	u.Record("a", false, 10)
	u.Record("c", false, 15)
	for _, c := range []struct {
		now  time.Duration
		want string
	}{{20, "bdac"}, {105, "bdac"}, {111, "abdc"}, {200, "abcd"}} {
		if got := strings.Join(u.SortLast(ips, c.now, 100), ""); got != c.want {
			t.Errorf("at %d: %s, want %s", c.now, got, c.want)
		}
	}
	if len(u) > 0 {
		t.Errorf("still kept: %v", u)
	}
	u.Record("b", false, 210)
	u.Record("b", true, 220)
	if got := u.SortLast(ips, 230, 100); !slices.Equal(got, ips) {
		t.Errorf("one that answered again is asked last: %v", got)
	}
}
