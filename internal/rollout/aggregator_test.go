package rollout

import (
	"fmt"
	"testing"
)

func TestAggregatorMerges(t *testing.T) {
	l := NewAggregator()
	e := func(n, bad int64) []Entry {
		return []Entry{{Cell{OrderSlot: 1, Route: "a"}, Sample{Attempts: n, Failures: bad}}}
	}
	sum := func(l []Entry) string {
		s := Sample{}
		for _, x := range l {
			s = s.Plus(x.Sample)
		}
		return fmt.Sprintf("%d / %d", s.Attempts, s.Failures)
	}
	for i, x := range []struct {
		life, seq int64
		entries   []Entry
		want      string
	}{
		{1, 1, e(10, 1), "10 / 1"}, {1, 1, e(10, 1), "0 / 0"}, {1, 3, e(15, 1), "5 / 0"}, {1, 2, e(12, 1), "0 / 0"},
		{2, 1, e(4, 4), "4 / 4"}, {1, 9, e(99, 9), "0 / 0"},
	} {
		if got := sum(l.Merge("hut", x.life, x.seq, x.entries)); got != x.want {
			t.Errorf("step %d brings %s, want %s", i, got, x.want)
		}
	}
	l.Add(e(3, 0))
	l.Add(e(4, 1))
	if sum(l.OwnTotals()) != "7 / 1" {
		t.Errorf("own: %s", sum(l.OwnTotals()))
	}
	l.Retain(func(int64) bool { return false })
	if len(l.OwnTotals()) != 0 {
		t.Error("what belongs to a settled order is kept")
	}
}
