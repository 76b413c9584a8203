package rollout

import "testing"

// A new lease holder hears all that the fronts have counted since the order
// began, also what they reported to its predecessor. Fronts without requests
// don't count.
func TestEvidenceOfFrontsAddsUp(t *testing.T) {
	var e Evidence
	for _, front := range []FrontEvidence{{New: 4, Old: 100, Alarm: true}, {New: 5, Good: 1, Old: 120, Alarm: true}, {Old: 80}, {}} {
		e = e.Add(front)
	}
	want := Evidence{Fronts: 3, Alarms: 2, New: 9, Good: 1, Old: 300}
	if e != want || !e.MajorityAlarm() {
		t.Errorf("%+v, want %+v and an alarm", e, want)
	}
	if twice := e.Merge(e); twice != (Evidence{Fronts: 6, Alarms: 4, New: 18, Good: 2, Old: 600}) {
		t.Errorf("merged with itself: %+v", twice)
	}
	if (Evidence{}).MajorityAlarm() || (Evidence{}).Insufficient(0.5) {
		t.Error("no front speaks against it")
	}
}
