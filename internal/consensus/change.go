package consensus

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// MaxAppliedChanges bounds how many configuration changes are remembered: two
// days of 2,000 changes each, about a quarter of a megabyte.
const MaxAppliedChanges = 4096

// AppliedChange remembers a configuration change that took effect, to
// recognise it when it is sent again.
type AppliedChange struct {
	Version     int64 `json:"Version"`
	BaseVersion int64 `json:"Base"`
	// Fingerprint is that of the operator's request.
	Fingerprint string `json:"Sum"`
	// Slot is the slot that decided it.
	Slot int64 `json:"Slot,omitempty"`
}

// fingerprintBytes is how much of a SHA-256 sum a fingerprint holds.
const fingerprintBytes = 16

// Fingerprint identifies the body of a request among the applied changes.
func Fingerprint(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// applyChange puts a configuration in force. One that builds on another
// version than the one in force changes nothing: whatever its proposer
// overlooked, of two changes on one base only the first takes effect.
func (s *State) applyChange(v Value) {
	if v.BaseVersion != s.Version || v.Version <= s.Version {
		return
	}
	s.Version, s.Body = v.Version, v.Body
	fingerprint := v.RequestFingerprint
	if fingerprint == "" {
		fingerprint = Fingerprint(v.Body)
	}
	s.rememberChanges(AppliedChange{v.Version, v.BaseVersion, fingerprint, s.Slot})
}

// rememberChanges appends applied changes to a copy of the list; the oldest
// are forgotten first.
func (s *State) rememberChanges(more ...AppliedChange) {
	s.AppliedCount += int64(len(more))
	all := slices.Concat(s.AppliedChanges, more)
	s.AppliedChanges = all[max(0, len(all)-MaxAppliedChanges):]
}

// HasApplied reports whether the change by the request with that fingerprint
// took effect, as far as is remembered.
func (s State) HasApplied(version, base int64, fingerprint string) bool {
	for _, c := range slices.Backward(s.AppliedChanges) {
		if c.Version == version && c.BaseVersion == base && c.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// VersionAt is the version that was in force after a slot, 0 where that is not
// remembered.
func (s State) VersionAt(slot int64) int64 {
	if before := len(s.AppliedChanges) - len(itemsAfter(s.AppliedChanges, slot)); before > 0 {
		return s.AppliedChanges[before-1].Version
	}
	return 0
}
