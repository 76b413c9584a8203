package cache

import "container/heap"

// handling stands for what a copy costs besides its bytes: with it a small
// object is worth more a byte than a large one, but not without bounds.
const handling = 16 << 10

// Store holds copies up to a number of bytes and gives up the least useful
// first: the fewest uses a byte, where uses of long ago count less (greedy
// dual-size with frequency).
type Store struct {
	limit, used int
	clock       float64
	places      map[string]*place
	order       places
}

type place struct {
	copy *Object
	uses float64
	rank float64
	at   int
}

type places []*place

func (p places) Len() int           { return len(p) }
func (p places) Less(i, j int) bool { return p[i].rank < p[j].rank }
func (p places) Swap(i, j int)      { p[i], p[j] = p[j], p[i]; p[i].at, p[j].at = i, j }
func (p *places) Push(x any)        { x.(*place).at = len(*p); *p = append(*p, x.(*place)) }
func (p *places) Pop() any {
	old := *p
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*p = old[:len(old)-1]
	return last
}

// NewStore makes a shelf for limit bytes.
func NewStore(limit int) *Store { return &Store{limit: limit, places: map[string]*place{}} }

func (s *Store) rank(p *place) float64 {
	size := float64(p.copy.Size())
	return s.clock + p.uses*(handling+size)/size
}

// Get gives the copy of an object, whatever its age, and counts the use.
func (s *Store) Get(key string) *Object {
	p := s.places[key]
	if p == nil {
		return nil
	}
	p.uses++
	p.rank = s.rank(p)
	heap.Fix(&s.order, p.at)
	return p.copy
}

// Peek gives the copy without counting a use.
func (s *Store) Peek(key string) (c *Object, uses float64) {
	if p := s.places[key]; p != nil {
		return p.copy, p.uses
	}
	return nil, 0
}

// Put keeps a copy in the place of an older one of the same object; what was
// confirmed later stays.
func (s *Store) Put(c *Object) {
	key, size := c.Key(), c.Size()
	p := s.places[key]
	if p != nil {
		if p.copy.KnownPurge > c.KnownPurge || p.copy.KnownPurge == c.KnownPurge && p.copy.FetchedAt > c.FetchedAt {
			return
		}
		s.used += size - p.copy.Size()
		p.copy = c
		p.rank = s.rank(p)
		heap.Fix(&s.order, p.at)
	} else {
		if size > s.limit/4 {
			return
		}
		p = &place{copy: c, uses: 1}
		p.rank = s.rank(p)
		s.places[key] = p
		heap.Push(&s.order, p)
		s.used += size
	}
	for s.used > s.limit && len(s.order) > 0 {
		s.clock = s.order[0].rank
		s.remove(s.order[0])
	}
}

// Remove gives up the copy of an object.
func (s *Store) Remove(key string) {
	if p := s.places[key]; p != nil {
		s.remove(p)
	}
}

func (s *Store) remove(p *place) {
	heap.Remove(&s.order, p.at)
	delete(s.places, p.copy.Key())
	s.used -= p.copy.Size()
}

// Len and Used tell how full the shelf is.
func (s *Store) Len() int { return len(s.places) }

// Used is how many bytes it holds.
func (s *Store) Used() int { return s.used }
