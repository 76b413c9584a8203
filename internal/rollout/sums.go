package rollout

import (
	"slices"
	"sync"
)

// Cell names what is counted together: tries of one version of a service on
// one route, to searchers at one distance. The new version's are told apart
// by searcher as well, as far as there are few.
type Cell struct {
	// Order is the number of the rollout's order.
	Order int64  `json:"O"`
	New   bool   `json:"N,omitempty"`
	Route string `json:"R"`
	Far   int    `json:"F,omitempty"`
	Who   int64  `json:"W,omitempty"`
}

// Sum is what was seen in a cell. Sums only grow, and add up.
type Sum struct {
	// N counts answers and lasting silences, Bad those that are failures.
	N   int64 `json:"N"`
	Bad int64 `json:"B,omitempty"`
	// Timed counts those of warm searchers whose latency is in Log and Square,
	// the sums of its logarithm and of that squared.
	Timed  int64   `json:"T,omitempty"`
	Log    float64 `json:"L,omitempty"`
	Square float64 `json:"S,omitempty"`
}

// Plus adds.
func (s Sum) Plus(o Sum) Sum {
	return Sum{s.N + o.N, s.Bad + o.Bad, s.Timed + o.Timed, s.Log + o.Log, s.Square + o.Square}
}

// Minus takes away what was known before.
func (s Sum) Minus(o Sum) Sum {
	return Sum{s.N - o.N, s.Bad - o.Bad, s.Timed - o.Timed, s.Log - o.Log, s.Square - o.Square}
}

func (s Sum) scaled(w float64) weighed {
	return weighed{float64(s.N) * w, float64(s.Bad) * w, float64(s.Timed) * w, s.Log * w, s.Square * w}
}

// weighed is a sum whose parts have lost weight with age.
type weighed struct{ n, bad, timed, log, square float64 }

func (a weighed) plus(b weighed) weighed {
	return weighed{a.n + b.n, a.bad + b.bad, a.timed + b.timed, a.log + b.log, a.square + b.square}
}

func (a weighed) times(w float64) weighed {
	return weighed{a.n * w, a.bad * w, a.timed * w, a.log * w, a.square * w}
}

// Entry is a cell with its sum, as it travels.
type Entry struct {
	Cell
	Sum Sum `json:"S"`
}

// GroupByOrder sorts entries into one list per rollout order; each list keeps
// the sequence of the entries.
func GroupByOrder(entries []Entry) map[int64][]Entry {
	byOrder := map[int64][]Entry{}
	for _, e := range entries {
		byOrder[e.Order] = append(byOrder[e.Order], e)
	}
	return byOrder
}

// maxCells bounds how many cells are held for all orders together.
const maxCells = 4096

// addBounded adds a sum to a cell. New cells beyond maxCells are dropped.
func addBounded(cells map[Cell]Sum, c Cell, s Sum) {
	if old, known := cells[c]; known || len(cells) < maxCells {
		cells[c] = old.Plus(s)
	}
}

// Recorder collects what this node sees. It may be used from any goroutine.
type Recorder struct {
	mu    sync.Mutex
	cells map[Cell]Sum
}

// Record counts one try.
func (t *Recorder) Record(c Cell, s Sum) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cells == nil {
		t.cells = map[Cell]Sum{}
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
	from map[string]sourceTotals
	own  map[Cell]Sum
}

type sourceTotals struct {
	life, seq int64
	cells     map[Cell]Sum
}

// NewAggregator makes an empty ledger.
func NewAggregator() *Aggregator {
	return &Aggregator{from: map[string]sourceTotals{}, own: map[Cell]Sum{}}
}

// Add counts what this node was told by the fronts that report to it.
func (l *Aggregator) Add(entries []Entry) {
	for _, e := range entries {
		addBounded(l.own, e.Cell, e.Sum)
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
	old := l.from[source]
	if old.life == life && seq <= old.seq || life < old.life {
		return nil
	}
	if old.life != life {
		old.cells = nil
	}
	now := sourceTotals{life, seq, map[Cell]Sum{}}
	for _, e := range entries {
		now.cells[e.Cell] = e.Sum
		if d := e.Sum.Minus(old.cells[e.Cell]); d.N > 0 {
			news = append(news, Entry{e.Cell, d})
		}
	}
	l.from[source] = now
	return news
}

// ReportFilter knows a source's new words from those that come late or twice. The
// source has no disk, and the time of day may jump: its lives have names, and
// no order but that in which they were heard.
type ReportFilter struct {
	life, seq int64
	past      []int64
}

// maxPastIncarnations is how many lives back a late word is known as one.
const maxPastIncarnations = 8

// Accept takes a word and tells whether it is one.
func (t *ReportFilter) Accept(life, seq int64) bool {
	switch {
	case life == t.life:
		if seq <= t.seq {
			return false
		}
	case slices.Contains(t.past, life):
		return false
	default:
		t.past = append(t.past, t.life)
		t.past = t.past[max(0, len(t.past)-maxPastIncarnations):]
		t.life = life
	}
	t.seq = seq
	return true
}

// Retain drops what belongs to orders that no longer run.
func (l *Aggregator) Retain(runs func(order int64) bool) {
	for c := range l.own {
		if !runs(c.Order) {
			delete(l.own, c)
		}
	}
	for _, h := range l.from {
		for c := range h.cells {
			if !runs(c.Order) {
				delete(h.cells, c)
			}
		}
	}
}
