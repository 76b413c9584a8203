package cusum

import (
	"math/rand/v2"
	"testing"
)

// arl is the average run length, the first subgroup counted, of charts whose mean is off by shift.
func arl(o Options, shift float64, runs int) float64 {
	rnd := rand.New(rand.NewPCG(7, 11))
	total := 0
	for range runs {
		var c Chart
		for n := 1; ; n++ {
			if c.Step(o, rnd.NormFloat64()+shift) != None {
				total += n
				break
			}
		}
	}
	return float64(total) / float64(runs)
}

// The source's tables 4.19 and 4.21, within 4 %.
func TestAverageRunLengths(t *testing.T) {
	cusum := Options{ReferenceValue: 0.5, InitialLimit: 4}
	fir := DefaultOptions()
	fir.HeadStart = true
	for _, x := range []struct {
		name        string
		o           Options
		shift, want float64
	}{
		{"in control", DefaultOptions(), 0, 167.63}, {"half a sigma", DefaultOptions(), 0.5, 25.89}, {"one sigma", DefaultOptions(), 1, 8.49},
		{"one sigma down", DefaultOptions(), -1, 8.49}, {"three sigma", DefaultOptions(), 3, 1.95}, {"cusum in control", cusum, 0, 168}, {"cusum, one sigma", cusum, 1, 8.38},
		{"head start, one sigma", fir, 1, 6.02},
	} {
		if got := arl(x.o, x.shift, 20000); got < x.want*0.96 || got > x.want*1.04 {
			t.Errorf("%s: %.2f subgroups, the source has %.2f", x.name, got, x.want)
		} else {
			t.Logf("%s: %.2f (the source: %.2f)", x.name, got, x.want)
		}
	}
}

func TestRestartsAndLimits(t *testing.T) {
	o := DefaultOptions()
	if o.Limit(0) != 2.96 || o.Limit(5) != 2.96+1.5 || o.Limit(6) >= o.Limit(5) || o.Limit(1000) != 0 {
		t.Fatalf("limits %v %v %v %v", o.Limit(0), o.Limit(5), o.Limit(6), o.Limit(1000))
	}
	var c Chart
	if c.Step(o, 9) != Above || c.Upper != 0 || c.UpperRun != 0 {
		t.Fatalf("no restart after a signal: %+v", c)
	}
	c.Step(o, 2)
	if c.Step(o, -9) != Below || c.Upper != 0 || c.UpperRun != 0 {
		t.Fatalf("the upper sum is not clamped: %+v", c)
	}
	s := Options{ReferenceValue: 0.5, InitialLimit: 50, ShewhartLimit: 3}
	if new(Chart).Step(s, 3.1) != Above || new(Chart).Step(s, 2.9) != None || new(Chart).Step(s, -3.1) != Below {
		t.Fatal("the single subgroup far out")
	}
	for _, bad := range []Options{{ReferenceValue: -1, InitialLimit: 1}, {ReferenceValue: 0.5}, {ReferenceValue: 0.5, InitialLimit: 1, LimitRise: -1, KneeRunLength: 3}} {
		if bad.Validate() == nil {
			t.Errorf("%+v passes", bad)
		}
	}
}
