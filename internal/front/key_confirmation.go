package front

import (
	"sync/atomic"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/host"
)

// keyConfirmationRatio is the part of RevocationMs after which keys that nothing
// has confirmed are not accepted any more. The rest is for what is under way.
const keyConfirmationRatio = 0.6

// keyConfirmation remembers until when the configuration in force is known to
// have been the newest. Where the settings say RevocationClosed, no key is
// accepted for much longer without a further confirmation: it may have been
// removed meanwhile. It is safe for concurrent use.
type keyConfirmation struct {
	host *host.Host
	// confirmedAt is a time of the node's monotonic clock.
	confirmedAt atomic.Int64
}

// confirm notes that the configuration in force was the newest at a time.
func (k *keyConfirmation) confirm(at time.Duration) {
	k.confirmedAt.Store(max(int64(at), k.confirmedAt.Load()))
}

// isRecent reports whether keys may be accepted now.
func (k *keyConfirmation) isRecent() bool {
	bounds := k.host.Settings().Bounds
	return areKeysConfirmed(bounds, k.host.Now(), time.Duration(k.confirmedAt.Load()))
}

// areKeysConfirmed reports whether keys may be accepted at now that were last
// confirmed at confirmedAt.
func areKeysConfirmed(bounds *config.Bounds, now, confirmedAt time.Duration) bool {
	if !bounds.RevocationClosed {
		return true
	}
	return now-confirmedAt <= config.Milliseconds(bounds.RevocationMs, keyConfirmationRatio)
}
