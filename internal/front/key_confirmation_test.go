package front

import (
	"testing"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"
)

// never is the confirmation time of keys that nothing has confirmed.
const never = time.Duration(-1)

// Keys that nothing confirmed for most of RevocationMs are not accepted where
// the settings say so. Guards against a front that takes its own start for a
// confirmation, and runs requests with keys that are long removed.
func TestKeysConfirmed(t *testing.T) {
	open := &config.Bounds{RevocationMs: 5000}
	closed := &config.Bounds{RevocationMs: 5000, RevocationClosed: true}
	for _, test := range []struct {
		name             string
		bounds           *config.Bounds
		now, confirmedAt time.Duration
		want             bool
	}{
		{"open, never confirmed", open, time.Hour, never, true},
		{"closed, just confirmed", closed, time.Hour, time.Hour, true},
		{"closed, up to the limit", closed, time.Hour + 3*time.Second, time.Hour, true},
		{"closed, past the limit", closed, time.Hour + 3*time.Second + time.Millisecond, time.Hour, false},
		{"closed, confirmed at the start", closed, 3 * time.Second, 0, true},
		{"closed, confirmed at the start, past the limit", closed, time.Hour, 0, false},
		{"closed, never confirmed", closed, time.Hour, never, false},
		{"closed, never confirmed, just started", closed, time.Millisecond, never, false},
		{"closed, no time given", &config.Bounds{RevocationClosed: true}, time.Hour, time.Hour - 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			confirmed := &latestTime{}
			if test.confirmedAt != never {
				confirmed.advance(test.confirmedAt)
			}
			if got := areKeysConfirmed(test.bounds, test.now, confirmed); got != test.want {
				t.Fatalf("confirmed: %v, want %v", got, test.want)
			}
		})
	}
}

// A confirmation that arrives late does not undo a later one.
func TestConfirmationsOutOfOrder(t *testing.T) {
	k := &keyConfirmation{host: newTestHost(t, 0)}
	k.onNewest(newestVersion{3, 7 * time.Second}, 3)
	k.onNewest(newestVersion{3, 5 * time.Second}, 3)
	if at := k.confirmedAt.at.Load(); *at != 7*time.Second {
		t.Fatalf("confirmed at %v", *at)
	}
}

// A version that was the newest at a time confirms the keys once it is in force,
// and not before: the version in force may still have a key that it removed.
func TestConfirmationWaitsForTheVersion(t *testing.T) {
	k := &keyConfirmation{host: newTestHost(t, 0)}
	k.onNewest(newestVersion{4, 7 * time.Second}, 3)
	k.onVersion(3)
	if at := k.confirmedAt.at.Load(); at != nil {
		t.Fatalf("version 3 is confirmed at %v", *at)
	}
	k.onVersion(5)
	if at := k.confirmedAt.at.Load(); at == nil || *at != 7*time.Second {
		t.Fatalf("version 5 is confirmed at %v", at)
	}
}

// Guards against keys that are confirmed by the time of a poll, when the control
// node that answered it had long heard nobody.
func TestConfirmationIsDatedByTheMajority(t *testing.T) {
	answered := watchAnswer{sentAt: 9 * time.Second, response: nodeapi.WatchResponse{Version: 3, ConfirmedAfterMs: -2500}}
	if got, want := answered.newestVersion(), (newestVersion{3, 6500 * time.Millisecond}); got != want {
		t.Errorf("the version and its time are %+v, want %+v", got, want)
	}
}

// Where keys need confirmations, polls are held for so short that they come in time.
func TestPollsConfirmKeysInTime(t *testing.T) {
	w := &controlWatcher{host: newTestHost(t, 1500)}
	bounds := w.host.Settings().Bounds
	bounds.RevocationMs = 5000
	if got := w.primaryHold(); got != 1500*time.Millisecond {
		t.Errorf("keys that stay valid: polls are held for %v", got)
	}
	bounds.RevocationClosed = true
	if got := w.primaryHold(); got != time.Second {
		t.Errorf("keys that need confirmations: polls are held for %v", got)
	}
}
