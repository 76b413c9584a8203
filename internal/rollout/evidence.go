package rollout

// FrontEvidence is what one front has counted of an order since it began. A
// front reports it whole each time, so whoever takes the lease over learns it
// from the fronts and does not depend on what an earlier lease holder received.
type FrontEvidence struct {
	OrderSlot int64 `json:"O"`
	// New and Old count the attempts at each version; Good counts those at
	// the new one that were no failures.
	New  int64 `json:"N,omitempty"`
	Good int64 `json:"G,omitempty"`
	Old  int64 `json:"L,omitempty"`
	// Alarm: the front's own charts signal against the new version, and the
	// front has stopped sending it requests.
	Alarm bool `json:"A,omitempty"`
}

// Evidence sums up what many fronts have counted of one order.
type Evidence struct {
	// Fronts counts the fronts to which requests came, Alarms those whose
	// charts signal against the new version.
	Fronts int   `json:"F,omitempty"`
	Alarms int   `json:"A,omitempty"`
	New    int64 `json:"New,omitempty"`
	Good   int64 `json:"Good,omitempty"`
	Old    int64 `json:"Old,omitempty"`
}

// Add returns the evidence with that of one more front.
func (e Evidence) Add(front FrontEvidence) Evidence {
	e.New += front.New
	e.Good += front.Good
	e.Old += front.Old
	if front.New+front.Old > 0 {
		e.Fronts++
	}
	if front.Alarm {
		e.Alarms++
	}
	return e
}

// Merge returns the sum of what two disjoint groups of fronts have counted.
func (e Evidence) Merge(o Evidence) Evidence {
	return Evidence{
		Fronts: e.Fronts + o.Fronts, Alarms: e.Alarms + o.Alarms,
		New: e.New + o.New, Good: e.Good + o.Good, Old: e.Old + o.Old,
	}
}

// MajorityAlarm reports whether the charts of more than half of the fronts
// signal against the new version. These fronts have stopped asking it, so
// there may be no further samples to judge it by. While fewer do, the others
// go on asking it, and one front's link may be at fault.
func (e Evidence) MajorityAlarm() bool { return 2*e.Alarms > e.Fronts }

const (
	// minExpectedAnswers is how many good answers the new version's share of
	// the requests should have brought before their lack counts against it.
	minExpectedAnswers = 16
	// minAnswerRatio is the part of these that must have come.
	minAnswerRatio = 1.0 / 8
)

// Insufficient reports whether requests came and the new version, to which a
// share of them should have gone, gave next to no good answers: it can't be
// reached, its endpoints are ejected, or the fronts ask it no more.
func (e Evidence) Insufficient(share float64) bool {
	expected := share * float64(e.New+e.Old)
	return expected >= minExpectedAnswers && float64(e.Good) < minAnswerRatio*expected
}
