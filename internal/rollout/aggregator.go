package rollout

// Aggregator merges what many nodes have counted: what fronts report to this
// node, and the totals of other control nodes, which only grow, so that a
// later message of a source stands for all its earlier ones. It has one owner
// and no lock.
type Aggregator struct {
	sources map[string]sourceTotals
	own     map[Cell]Sample
}

// sourceTotals is the last message of another control node.
type sourceTotals struct {
	incarnation, sequence int64
	cells                 map[Cell]Sample
}

// NewAggregator returns an empty aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{sources: map[string]sourceTotals{}, own: map[Cell]Sample{}}
}

// Add counts what a front reported to this node.
func (a *Aggregator) Add(entries []Entry) {
	for _, e := range entries {
		addBounded(a.own, e.Cell, e.Sample)
	}
}

// OwnTotals lists all that fronts have reported to this node.
func (a *Aggregator) OwnTotals() (entries []Entry) {
	for c, s := range a.own {
		entries = append(entries, Entry{c, s})
	}
	return entries
}

// Merge takes the totals of a source and returns what was not known of them.
// A message that arrives late or twice brings nothing. Incarnations of a
// source rise; a new one counts from zero.
func (a *Aggregator) Merge(source string, incarnation, sequence int64, entries []Entry) (news []Entry) {
	old := a.sources[source]
	if incarnation < old.incarnation || incarnation == old.incarnation && sequence <= old.sequence {
		return nil
	}
	if incarnation != old.incarnation {
		old.cells = nil
	}
	now := sourceTotals{incarnation, sequence, map[Cell]Sample{}}
	for _, e := range entries {
		now.cells[e.Cell] = e.Sample
		if delta := e.Sample.Minus(old.cells[e.Cell]); delta.Attempts > 0 {
			news = append(news, Entry{e.Cell, delta})
		}
	}
	a.sources[source] = now
	return news
}

// Retain drops what belongs to orders that are not running any more.
func (a *Aggregator) Retain(running func(orderSlot int64) bool) {
	retainCells(a.own, running)
	for _, source := range a.sources {
		retainCells(source.cells, running)
	}
}

func retainCells(cells map[Cell]Sample, running func(orderSlot int64) bool) {
	for c := range cells {
		if !running(c.OrderSlot) {
			delete(cells, c)
		}
	}
}
