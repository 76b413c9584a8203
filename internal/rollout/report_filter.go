package rollout

import "slices"

// maxPastIncarnations is how many incarnations back a late report is known as late.
const maxPastIncarnations = 8

// ReportFilter tells a front's new reports from those that arrive late or
// twice. A front has no disk and its time of day may jump, so its incarnations
// are random numbers without an order but that in which they were first seen.
type ReportFilter struct {
	incarnation, sequence int64
	pastIncarnations      []int64
}

// Accept reports whether a report is new, and remembers it.
func (f *ReportFilter) Accept(incarnation, sequence int64) bool {
	switch {
	case incarnation == f.incarnation:
		if sequence <= f.sequence {
			return false
		}
	case slices.Contains(f.pastIncarnations, incarnation):
		return false
	default:
		f.pastIncarnations = append(f.pastIncarnations, f.incarnation)
		f.pastIncarnations = f.pastIncarnations[max(0, len(f.pastIncarnations)-maxPastIncarnations):]
		f.incarnation = incarnation
	}
	f.sequence = sequence
	return true
}
