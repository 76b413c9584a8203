package membership

import (
	"testing"
	"time"
)

const tickGap = time.Second

func wantSilence(t *testing.T, d *FailureDetector, id string, now, want time.Duration) {
	t.Helper()
	if got := d.SilentFor(id, now); got != want {
		t.Fatalf("at %v %s is silent for %v, want %v", now, id, got, want)
	}
}

// A voter that was paused suspects nobody, neither before nor right after it
// noticed; a new voter is not silent from before its vote.
func TestOwnPauseIsNobodysSilence(t *testing.T) {
	const second = time.Second
	d := NewFailureDetector(tickGap, 0)
	d.SetVoters([]string{"a", "b"}, 0)
	for at := second / 2; at <= 4*second; at += second / 2 {
		d.OnHeartbeat("a", at)
		if d.Tick(at) {
			t.Fatal("a pause is noticed where there was none")
		}
	}
	wantSilence(t, d, "a", 4*second, 0)
	wantSilence(t, d, "b", 4*second, 4*second)
	// It is paused until 20 s, and asked before its loop ran.
	wantSilence(t, d, "a", 20*second, 0)
	wantSilence(t, d, "b", 20*second, 0)
	if !d.Tick(20 * second) {
		t.Fatal("the pause is not noticed")
	}
	// Silence counts from the resumption.
	d.Tick(20*second + second/2)
	wantSilence(t, d, "b", 20*second+second/2, second/2)
	// That of a new voter counts from its vote; one that is no voter is not suspected.
	d.SetVoters([]string{"a", "c"}, 20*second+second/2)
	wantSilence(t, d, "c", 21*second, second/2)
	wantSilence(t, d, "b", 21*second, 0)
}

// Guards against a node that counts the silence of others while it was paused
// itself.
func TestListeningSince(t *testing.T) {
	const second = time.Second
	d := NewFailureDetector(second, 2*second)
	if got := d.ListeningSince(3 * second); got != 2*second {
		t.Errorf("since the start: %v", got)
	}
	if got := d.ListeningSince(9 * second); got != 9*second {
		t.Errorf("after a pause, before the next tick: %v", got)
	}
	d.Tick(9 * second)
	if got := d.ListeningSince(10 * second); got != 9*second {
		t.Errorf("since the pause: %v", got)
	}
}
