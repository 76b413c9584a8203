package consensus

import "slices"

// maxPurges bounds how many purges are remembered.
const maxPurges = 256

// Purge names cached objects that may not be served any more: one by host and
// path, or all that carry a tag.
type Purge struct {
	// Seq numbers the purges; it is given when the slot is decided.
	Seq int64 `json:"N,omitempty"`
	// Slot is the slot that decided it.
	Slot int64 `json:"Slot,omitempty"`
	// ID is drawn by the node that took the operator's request, to recognise
	// the purge once it is decided.
	ID   string `json:"ID"`
	Host string `json:"Host,omitempty"`
	Path string `json:"Path,omitempty"`
	Tag  string `json:"Tag,omitempty"`
}

// applyPurges numbers purges and appends them to a copy of the list.
func (s *State) applyPurges(batch []Purge) {
	purges := slices.Clone(s.Purges)
	for _, p := range batch {
		s.PurgeSeq++
		p.Seq, p.Slot = s.PurgeSeq, s.Slot
		purges = append(purges, p)
	}
	s.Purges = newestPurges(purges)
}

func newestPurges(purges []Purge) []Purge { return purges[max(0, len(purges)-maxPurges):] }

// CompactedPurgeSeq is the number of the last purge that is no longer remembered.
func (s State) CompactedPurgeSeq() int64 { return s.PurgeSeq - int64(len(s.Purges)) }

// PurgesAfter lists the remembered purges with a number above seq.
func (s State) PurgesAfter(seq int64) []Purge {
	return s.Purges[min(max(0, seq-s.CompactedPurgeSeq()), int64(len(s.Purges))):]
}

// HasPurge reports whether the purge with that ID is among those remembered.
func (s State) HasPurge(id string) bool {
	return slices.ContainsFunc(s.Purges, func(p Purge) bool { return p.ID == id })
}
