package rollout

import "testing"

// A front that was restarted is heard whatever its clock says, and what its
// earlier lives sent late is not.
func TestReportFilterIncarnations(t *testing.T) {
	var l ReportFilter
	for i, x := range []struct {
		life, seq int64
		want      bool
	}{{900, 1, true}, {900, 2, true}, {900, 2, false}, {900, 1, false}, {300, 1, true}, {900, 3, false}, {300, 1, false}, {300, 2, true}, {-5, 1, true}, {300, 3, false}, {900, 4, false}} {
		if got := l.Accept(x.life, x.seq); got != x.want {
			t.Fatalf("word %d (life %d, %d): %v", i, x.life, x.seq, got)
		}
	}
}
