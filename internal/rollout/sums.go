package rollout

import (
	"slices"
	"sync"
)

// Cell names what is counted together: tries of one version of a service on
// one route, to searchers at one distance. The new version's are told apart
// by searcher as well, as far as there are few.
type Cell struct {
	// OrderSlot is the number of the rollout's order.
	OrderSlot int64  `json:"O"`
	Target    bool   `json:"N,omitempty"`
	Route     string `json:"R"`
	Distance  int    `json:"F,omitempty"`
	Endpoint  int64  `json:"W,omitempty"`
}

// Sample is what was seen in a cell. Sums only grow, and add up.
type Sample struct {
	// Attempts counts answers and lasting silences, Bad those that are failures.
	Attempts int64 `json:"N"`
	Failures int64 `json:"B,omitempty"`
	// Timed counts those of warm searchers whose latency is in Log and Square,
	// the sums of its logarithm and of that squared.
	Timed             int64   `json:"T,omitempty"`
	LogLatency        float64 `json:"L,omitempty"`
	LogLatencySquared float64 `json:"S,omitempty"`
}

// Plus adds.
func (s Sample) Plus(o Sample) Sample {
	return Sample{s.Attempts + o.Attempts, s.Failures + o.Failures, s.Timed + o.Timed, s.LogLatency + o.LogLatency, s.LogLatencySquared + o.LogLatencySquared}
}

// Minus takes away what was known before.
func (s Sample) Minus(o Sample) Sample {
	return Sample{s.Attempts - o.Attempts, s.Failures - o.Failures, s.Timed - o.Timed, s.LogLatency - o.LogLatency, s.LogLatencySquared - o.LogLatencySquared}
}

func (s Sample) scaled(w float64) decayed {
	return decayed{float64(s.Attempts) * w, float64(s.Failures) * w, float64(s.Timed) * w, s.LogLatency * w, s.LogLatencySquared * w}
}

// decayed is a sum whose parts have lost weight with age.
type decayed struct{ attempts, failures, timed, logLatency, logLatencySquared float64 }

func (a decayed) plus(b decayed) decayed {
	return decayed{a.attempts + b.attempts, a.failures + b.failures, a.timed + b.timed, a.logLatency + b.logLatency, a.logLatencySquared + b.logLatencySquared}
}

func (a decayed) times(w float64) decayed {
	return decayed{a.attempts * w, a.failures * w, a.timed * w, a.logLatency * w, a.logLatencySquared * w}
}

// Entry is a cell with its sum, as it travels.
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

// addBounded adds a sum to a cell. New cells beyond maxCells are dropped.
func addBounded(cells map[Cell]Sample, c Cell, s Sample) {
	if old, known := cells[c]; known || len(cells) < maxCells {
		cells[c] = old.Plus(s)
	}
}

// Recorder collects what this node sees. It may be used from any goroutine.
type Recorder struct {
	mu    sync.Mutex
	cells map[Cell]Sample
}

// Record counts one try.
func (t *Recorder) Record(c Cell, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cells == nil {
		t.cells = map[Cell]Sample{}
	}
	addBounded(t.cells, c, s)
}

// Drain gives what was counted since the last call.
func (t *Recorder) Drain() (out []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, s := range t.cells {
		out = append(out, Entry{c, s})
	}
	clear(t.cells)
	return out
}

// Aggregator merges what many nodes tell: sums that only grow, by source, where a
// later one stands for the earlier. It has one owner.
type Aggregator struct {
	sources map[string]sourceTotals
	own     map[Cell]Sample
}

type sourceTotals struct {
	incarnation, sequence int64
	cells                 map[Cell]Sample
}

// NewAggregator makes an empty ledger.
func NewAggregator() *Aggregator {
	return &Aggregator{sources: map[string]sourceTotals{}, own: map[Cell]Sample{}}
}

// Add counts what this node was told by the fronts that report to it.
func (l *Aggregator) Add(entries []Entry) {
	for _, e := range entries {
		addBounded(l.own, e.Cell, e.Sample)
	}
}

// OwnTotals lists what this node was told so far.
func (l *Aggregator) OwnTotals() (out []Entry) {
	for c, s := range l.own {
		out = append(out, Entry{c, s})
	}
	return out
}

// Merge takes all that a source has counted in its life, and gives what was
// not known of it. What came late or twice brings nothing.
func (l *Aggregator) Merge(source string, life, seq int64, entries []Entry) (news []Entry) {
	old := l.sources[source]
	if old.incarnation == life && seq <= old.sequence || life < old.incarnation {
		return nil
	}
	if old.incarnation != life {
		old.cells = nil
	}
	now := sourceTotals{life, seq, map[Cell]Sample{}}
	for _, e := range entries {
		now.cells[e.Cell] = e.Sample
		if d := e.Sample.Minus(old.cells[e.Cell]); d.Attempts > 0 {
			news = append(news, Entry{e.Cell, d})
		}
	}
	l.sources[source] = now
	return news
}

// ReportFilter knows a source's new words from those that come late or twice. The
// source has no disk, and the time of day may jump: its lives have names, and
// no order but that in which they were heard.
type ReportFilter struct {
	incarnation, sequence int64
	pastIncarnations      []int64
}

// maxPastIncarnations is how many lives back a late word is known as one.
const maxPastIncarnations = 8

// Accept takes a word and tells whether it is one.
func (t *ReportFilter) Accept(life, seq int64) bool {
	switch {
	case life == t.incarnation:
		if seq <= t.sequence {
			return false
		}
	case slices.Contains(t.pastIncarnations, life):
		return false
	default:
		t.pastIncarnations = append(t.pastIncarnations, t.incarnation)
		t.pastIncarnations = t.pastIncarnations[max(0, len(t.pastIncarnations)-maxPastIncarnations):]
		t.incarnation = life
	}
	t.sequence = seq
	return true
}

// Retain drops what belongs to orders that no longer run.
func (l *Aggregator) Retain(runs func(order int64) bool) {
	for c := range l.own {
		if !runs(c.OrderSlot) {
			delete(l.own, c)
		}
	}
	for _, h := range l.sources {
		for c := range h.cells {
			if !runs(c.OrderSlot) {
				delete(h.cells, c)
			}
		}
	}
}
