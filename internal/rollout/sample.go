package rollout

import "math"

// Cell names what is counted together: attempts at one version of a service on
// one route, at endpoints of one distance. The new version's endpoints are
// counted one by one while they are few, and in buckets otherwise.
type Cell struct {
	// OrderSlot is the log slot of the rollout's order, which identifies it.
	OrderSlot int64 `json:"O"`
	// Target: the attempts were at the new version.
	Target   bool   `json:"N,omitempty"`
	Route    string `json:"R"`
	Distance int    `json:"F,omitempty"`
	// Endpoint is the endpoint's ordinal, or a bucket of ordinals.
	Endpoint int64 `json:"W,omitempty"`
}

// Sample is what was seen in a cell. Its fields only grow, and add up.
type Sample struct {
	// Attempts counts answers and timeouts, Failures those that count against
	// the version.
	Attempts int64 `json:"N"`
	Failures int64 `json:"B,omitempty"`
	// Timed counts the answers of endpoints that are not warming up.
	// LogLatency and LogLatencySquared are the sums of the logarithm of their
	// latency in milliseconds, and of its square.
	Timed             int64   `json:"T,omitempty"`
	LogLatency        float64 `json:"L,omitempty"`
	LogLatencySquared float64 `json:"S,omitempty"`
}

// Plus returns the sum of two samples.
func (s Sample) Plus(o Sample) Sample {
	return Sample{
		Attempts:          s.Attempts + o.Attempts,
		Failures:          s.Failures + o.Failures,
		Timed:             s.Timed + o.Timed,
		LogLatency:        s.LogLatency + o.LogLatency,
		LogLatencySquared: s.LogLatencySquared + o.LogLatencySquared,
	}
}

// Minus returns what was seen beyond an earlier sample of the same cell.
func (s Sample) Minus(o Sample) Sample {
	return Sample{
		Attempts:          s.Attempts - o.Attempts,
		Failures:          s.Failures - o.Failures,
		Timed:             s.Timed - o.Timed,
		LogLatency:        s.LogLatency - o.LogLatency,
		LogLatencySquared: s.LogLatencySquared - o.LogLatencySquared,
	}
}

// decayed returns the sample with its full weight.
func (s Sample) decayed() decayed {
	return decayed{float64(s.Attempts), float64(s.Failures), float64(s.Timed), s.LogLatency, s.LogLatencySquared}
}

// decayed is a sample that loses weight with age.
type decayed struct{ attempts, failures, timed, logLatency, logLatencySquared float64 }

func (d decayed) plus(o decayed) decayed {
	return decayed{
		d.attempts + o.attempts, d.failures + o.failures, d.timed + o.timed,
		d.logLatency + o.logLatency, d.logLatencySquared + o.logLatencySquared,
	}
}

func (d decayed) times(weight float64) decayed {
	return decayed{
		d.attempts * weight, d.failures * weight, d.timed * weight,
		d.logLatency * weight, d.logLatencySquared * weight,
	}
}

func (d decayed) meanLogLatency() float64 { return d.logLatency / d.timed }

// logLatencyVariance is the variance of one answer, with a floor under it.
func (d decayed) logLatencyVariance() float64 {
	mean := d.meanLogLatency()
	return math.Max(minLatencySpread*minLatencySpread, d.logLatencySquared/d.timed-mean*mean)
}

// Entry is a cell with its sample, as nodes send it.
type Entry struct {
	Cell
	Sample Sample `json:"S"`
}

// GroupByOrder sorts entries into one list per rollout order; each list keeps
// the sequence of the entries.
func GroupByOrder(entries []Entry) map[int64][]Entry {
	byOrder := map[int64][]Entry{}
	for _, e := range entries {
		byOrder[e.OrderSlot] = append(byOrder[e.OrderSlot], e)
	}
	return byOrder
}

// maxCells bounds how many cells are held for all orders together.
const maxCells = 4096

// addBounded adds a sample to a cell. New cells beyond maxCells are dropped.
func addBounded(cells map[Cell]Sample, c Cell, s Sample) {
	if old, known := cells[c]; known || len(cells) < maxCells {
		cells[c] = old.Plus(s)
	}
}
