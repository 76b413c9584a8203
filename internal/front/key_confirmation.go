package front

import (
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/host"
)

// keyConfirmationRatio is the part of RevocationMs after which keys that nothing
// has confirmed are not accepted any more. The rest is for what is under way.
const keyConfirmationRatio = 0.6

// keyConfirmation remembers when the configuration in force was last known to be
// the newest. Where the settings say RevocationClosed, no key is accepted for
// much longer without a further confirmation, nor before the first one: it may
// have been removed meanwhile.
type keyConfirmation struct {
	host        *host.Host
	confirmedAt latestTime
	// awaited is a version that is not in force yet. It is owned by the
	// server's loop.
	awaited newestVersion
}

// newestVersion is a version that was the newest at a time.
type newestVersion struct {
	version int64
	at      time.Duration
}

// onNewest takes the version that was the newest at a time, while another is in
// force, which may be the same. It runs on the server's loop.
func (k *keyConfirmation) onNewest(newest newestVersion, inForce int64) {
	if newest.version > inForce {
		k.awaited = newest
		return
	}
	k.confirmedAt.advance(newest.at)
}

// onVersion follows a version that came into force. It runs on the server's loop.
func (k *keyConfirmation) onVersion(inForce int64) {
	if k.awaited.version > 0 && k.awaited.version <= inForce {
		k.confirmedAt.advance(k.awaited.at)
		k.awaited = newestVersion{}
	}
}

// isRecent reports whether keys may be accepted now. It may be called from any goroutine.
func (k *keyConfirmation) isRecent() bool {
	return areKeysConfirmed(k.host.Settings().Bounds, k.host.Now(), &k.confirmedAt)
}

// areKeysConfirmed reports whether keys may be accepted at now that were last
// confirmed at confirmedAt.
func areKeysConfirmed(bounds *config.Bounds, now time.Duration, confirmedAt *latestTime) bool {
	if !bounds.RevocationClosed {
		return true
	}
	return confirmedAt.within(config.Milliseconds(bounds.RevocationMs, keyConfirmationRatio), now)
}
