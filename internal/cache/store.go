package cache

import "container/heap"

const (
	// objectCost, in bytes, is what an object costs besides its size. With it
	// small objects are worth more per byte than large ones, up to a bound.
	objectCost = 16 << 10
	// maxObjectDivisor bounds one object by a part of the store.
	maxObjectDivisor = 4
)

// Store holds objects up to a number of bytes. It evicts by greedy dual-size
// with frequency (Cherkasova, 1998): the objects with the fewest uses per byte
// go first, and uses of long ago count less, because the clock, to which the
// rank of a used object is relative, rises with each eviction.
type Store struct {
	maxBytes, usedBytes int
	clock               float64
	entries             map[string]*entry
	byRank              entryHeap
}

// entry is an object in a Store.
type entry struct {
	object *Object
	uses   float64
	rank   float64
	// index is the entry's position in the heap.
	index int
}

// entryHeap is a heap.Interface; its first entry has the lowest rank.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// NewStore returns an empty store for maxBytes.
func NewStore(maxBytes int) *Store {
	return &Store{maxBytes: maxBytes, entries: map[string]*entry{}}
}

func (s *Store) rank(e *entry) float64 {
	size := float64(e.object.Size())
	return s.clock + e.uses*(objectCost+size)/size
}

// Get returns an object, however old, and counts the use; nil if there is none.
func (s *Store) Get(key string) *Object {
	e := s.entries[key]
	if e == nil {
		return nil
	}
	e.uses++
	e.rank = s.rank(e)
	heap.Fix(&s.byRank, e.index)
	return e.object
}

// Peek returns an object and the number of its uses without counting another.
func (s *Store) Peek(key string) (object *Object, uses float64) {
	if e := s.entries[key]; e != nil {
		return e.object, e.uses
	}
	return nil, 0
}

// Put stores an object in place of the one with the same key, unless that one
// was fetched later. An object that is too large is not stored.
func (s *Store) Put(object *Object) {
	key, size := object.Key(), object.Size()
	if e := s.entries[key]; e != nil {
		s.replace(e, object, size)
	} else if size <= s.maxBytes/maxObjectDivisor {
		s.add(key, object, size)
	}
	for s.usedBytes > s.maxBytes && len(s.byRank) > 0 {
		s.clock = s.byRank[0].rank
		s.remove(s.byRank[0])
	}
}

func (s *Store) replace(e *entry, object *Object, size int) {
	held := e.object
	if held.KnownPurge > object.KnownPurge || held.KnownPurge == object.KnownPurge && held.FetchedAt > object.FetchedAt {
		return
	}
	s.usedBytes += size - held.Size()
	e.object = object
	e.rank = s.rank(e)
	heap.Fix(&s.byRank, e.index)
}

func (s *Store) add(key string, object *Object, size int) {
	e := &entry{object: object, uses: 1}
	e.rank = s.rank(e)
	s.entries[key] = e
	heap.Push(&s.byRank, e)
	s.usedBytes += size
}

// Remove drops an object, if there is one.
func (s *Store) Remove(key string) {
	if e := s.entries[key]; e != nil {
		s.remove(e)
	}
}

func (s *Store) remove(e *entry) {
	heap.Remove(&s.byRank, e.index)
	delete(s.entries, e.object.Key())
	s.usedBytes -= e.object.Size()
}

// Len returns the number of objects.
func (s *Store) Len() int { return len(s.entries) }

// Used returns the bytes that the objects take.
func (s *Store) Used() int { return s.usedBytes }
