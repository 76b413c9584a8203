package endpoints

import "testing"

// Every stamp is older than those after it, and than no other.
func TestStampBefore(t *testing.T) {
	ascending := []Stamp{
		{},
		{Epoch: 1, Holder: "a", Sequence: 9},
		{Epoch: 1, Holder: "b", Sequence: 1},
		{Epoch: 1, Holder: "b", Sequence: 2},
		{Epoch: 2, Holder: "a", Sequence: 1},
	}
	for i, a := range ascending {
		for j, b := range ascending {
			if got := a.Before(b); got != (i < j) {
				t.Errorf("%+v before %+v: %v", a, b, got)
			}
		}
	}
}
