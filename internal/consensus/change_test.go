package consensus

import (
	"fmt"
	"testing"
)

func TestResendIsRecognised(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	for v := int64(1); v < 2*MaxAppliedChanges; v++ {
		s = s.Apply(Value{Version: v, BaseVersion: v - 1, Body: fmt.Sprint(v)})
	}
	last := int64(2*MaxAppliedChanges - 1)
	for _, x := range []struct {
		name          string
		version, base int64
		body          string
		want          bool
	}{
		{"the last change", last, last - 1, fmt.Sprint(last), true},
		{"a recent change", last - 5, last - 6, fmt.Sprint(last - 5), true},
		{"another body", last, last - 1, "other", false},
		{"another base", last, last - 2, fmt.Sprint(last), false},
	} {
		if got := s.HasApplied(x.version, x.base, Fingerprint(x.body)); got != x.want {
			t.Errorf("%s: applied %v, want %v", x.name, got, x.want)
		}
	}
	if len(s.AppliedChanges) != MaxAppliedChanges {
		t.Errorf("%d changes are remembered, want %d", len(s.AppliedChanges), MaxAppliedChanges)
	}
}
