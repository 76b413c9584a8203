package shardmap

import (
	"sort"
	"time"

	"swiftswitch/internal/endpoints"
)

// Options are the defaults that may be changed.
type Options struct {
	// R is how many searchers hold a slot of one shard at most.
	R int
	// Least is how many loaded holders a shard wants where fewer than R searchers are there.
	Least int
	// Lease is how long a slot is held without a sign of life from its holder.
	Lease time.Duration
	// Wait is how long, after a cut was chosen, the old one may serve on.
	Wait time.Duration
}

// Cut is the shards that a version's gathered routes name.
type Cut struct {
	Version int64
	Shards  []string
}

func (c Cut) same(o Cut) bool {
	if len(c.Shards) != len(o.Shards) {
		return false
	}
	for i := range c.Shards {
		if c.Shards[i] != o.Shards[i] {
			return false
		}
	}
	return true
}

// Slot is one searcher's hold on a shard.
type Slot struct {
	Searcher string
	Entry    int64
	// Until is when the lease of a holder that fell silent ends.
	Until time.Duration
	// Full: the searcher's shard is loaded, as far as is known.
	Full bool
}

// Freed names a slot that was given up and why.
type Freed struct {
	Shard, Searcher, Why string
}

// Board holds the pointers and the slots.
type Board struct {
	LastBuilt int64
	Current   Cut
	Next      *Cut

	opt      Options
	deadline time.Duration
	slots    map[hold][]Slot
	// versions lists, for a service, the versions of its searchers that may
	// hold slots, the one in force first; services it lacks make no difference.
	versions map[string][]string
	listed   map[string][]endpoints.Endpoint
	full     map[string]bool
	// silent searchers lost their slots; they stand last in line until they answer.
	silent map[string]time.Duration
	freed  []Freed
	// settled: since the slots were given last, nothing that they rest on has
	// changed but the time.
	settled bool
}

// hold names the slots of one shard for one version of its searchers.
type hold struct{ shard, version string }

// New makes a board without a current cut.
func New(o Options) *Board {
	return &Board{opt: o, slots: map[hold][]Slot{}, listed: map[string][]endpoints.Endpoint{}, full: map[string]bool{}, silent: map[string]time.Duration{}}
}

// Built takes a chosen version with its cut; age is how long ago it was
// chosen. It returns true when that version comes into force at once: it is
// the first, or its cut is the current one.
func (b *Board) Built(c Cut, age, now time.Duration) bool {
	if c.Version <= b.LastBuilt {
		return false
	}
	b.settled = false
	sort.Strings(c.Shards)
	first := b.LastBuilt == 0
	b.LastBuilt = c.Version
	if first || c.same(b.Current) {
		b.Current, b.Next = c, nil
		b.assign(now)
		return true
	}
	due := now + b.opt.Wait - age
	if b.Next == nil || due < b.deadline {
		// A cut that replaces a waiting one does not put the switch off.
		b.deadline = due
	}
	b.Next = &c
	b.assign(now)
	return false
}

// Listed takes the platform's table.
func (b *Board) Listed(t *endpoints.Table, now time.Duration) {
	b.settled = false
	b.listed = map[string][]endpoints.Endpoint{}
	alive := map[string]bool{}
	for _, s := range t.Endpoints {
		b.listed[s.Service] = append(b.listed[s.Service], s)
		alive[s.ID] = true
	}
	for id := range b.full {
		if !alive[id] {
			delete(b.full, id)
		}
	}
	for id := range b.silent {
		if !alive[id] {
			delete(b.silent, id)
		}
	}
	b.assign(now)
}

// SetVersions says which versions of services' searchers may hold slots. Each
// has R of its own: searchers of a new version push none of the old one out.
func (b *Board) SetVersions(v map[string][]string, now time.Duration) {
	b.versions = v
	b.settled = false
	b.assign(now)
}

// held lists the versions that hold slots of a shard, the one in force first;
// an empty one stands for any.
func (b *Board) held(shard string) []string {
	if v := b.versions[shard]; len(v) > 0 {
		return v
	}
	return []string{""}
}

// Answered notes a full answer of a searcher: it is loaded, and its lease is renewed.
func (b *Board) Answered(id string, now time.Duration) {
	b.full[id] = true
	delete(b.silent, id)
	for _, l := range b.slots {
		for i := range l {
			if l[i].Searcher == id {
				l[i].Full, l[i].Until = true, now+b.opt.Lease
			}
		}
	}
}

// Silent notes that a searcher stopped answering; its slot is free once the lease has ended.
func (b *Board) Silent(id string, now time.Duration) {
	if _, known := b.silent[id]; known {
		return
	}
	b.silent[id] = now
	for _, l := range b.slots {
		for i := range l {
			if l[i].Searcher == id {
				l[i].Until = now + b.opt.Lease
			}
		}
	}
}

// Tick ends leases and makes the switch when it is time for it. It returns
// true when Next became Current; ready tells whether every slot was.
func (b *Board) Tick(now time.Duration) (switched, ready bool) {
	b.assign(now)
	if b.Next == nil {
		return false, false
	}
	ready = b.Ready(*b.Next)
	if !ready && now < b.deadline {
		return false, false
	}
	b.Current, b.Next = *b.Next, nil
	b.settled = false
	b.assign(now)
	return true, ready
}

// Ready tells whether every shard of a cut has R holders that are loaded, or
// as many as there are searchers, Least at any rate.
func (b *Board) Ready(c Cut) bool {
	for _, shard := range c.Shards {
		there, version := 0, b.held(shard)[0]
		for _, s := range b.listed[shard] {
			if !s.Draining && (version == "" || s.Version == version) {
				there++
			}
		}
		want := min(b.opt.R, max(b.opt.Least, there))
		n := 0
		for _, s := range b.slots[hold{shard, version}] {
			if s.Full {
				n++
			}
		}
		if n < want {
			return false
		}
	}
	return true
}

// Waiting lists the searchers of the next cut that hold a slot and are not known as loaded.
func (b *Board) Waiting() []string {
	if b.Next == nil {
		return nil
	}
	var out []string
	for _, shard := range b.Next.Shards {
		for _, s := range b.slots[hold{shard, b.held(shard)[0]}] {
			if !s.Full {
				out = append(out, s.Searcher)
			}
		}
	}
	return out
}

// Holders lists the searchers that may take a query for a shard and belong to
// the version in force.
func (b *Board) Holders(shard string) []string { return b.HoldersOf(shard, b.held(shard)[0]) }

// HoldersOf lists those of a version.
func (b *Board) HoldersOf(shard, version string) []string {
	var out []string
	for _, s := range b.slots[hold{shard, version}] {
		out = append(out, s.Searcher)
	}
	return out
}

// Held gives the holders of all versions that may hold slots of a shard.
func (b *Board) Held(shard string) map[string][]string {
	out := map[string][]string{}
	for _, v := range b.held(shard) {
		out[v] = b.HoldersOf(shard, v)
	}
	return out
}

// TakeFreed gives the slots freed since the last call.
func (b *Board) TakeFreed() []Freed {
	f := b.freed
	b.freed = nil
	return f
}

// assign gives each shard's slots to the first R searchers in the order of
// their entries. A holder that drains or is gone loses its slot at once; one
// that fell silent when its lease has ended and a standby is there.
func (b *Board) assign(now time.Duration) {
	if b.settled && len(b.silent) == 0 {
		return
	}
	b.settled = true
	shards := map[string]bool{}
	for _, s := range b.Current.Shards {
		shards[s] = true
	}
	if b.Next != nil {
		for _, s := range b.Next.Shards {
			shards[s] = true
		}
	}
	holds := map[hold]bool{}
	for shard := range shards {
		for _, v := range b.held(shard) {
			holds[hold{shard, v}] = true
		}
	}
	for h := range b.slots {
		if !holds[h] {
			delete(b.slots, h)
		}
	}
	for at := range holds {
		shard := at.shard
		usable := map[string]endpoints.Endpoint{}
		for _, s := range b.listed[shard] {
			if !s.Draining && (at.version == "" || s.Version == at.version) {
				usable[s.ID] = s
			}
		}
		held := map[string]bool{}
		var keep []Slot
		for _, sl := range b.slots[at] {
			s, ok := usable[sl.Searcher]
			if !ok {
				b.freed = append(b.freed, Freed{shard, sl.Searcher, "drains or gone"})
				continue
			}
			if _, silent := b.silent[sl.Searcher]; silent && now >= sl.Until && len(usable) > b.opt.R {
				b.freed = append(b.freed, Freed{shard, sl.Searcher, "lease ended"})
				continue
			} else if !silent {
				sl.Until = now + b.opt.Lease
			}
			sl.Full = sl.Full || b.full[s.ID] || !s.WarmingUp
			keep = append(keep, sl)
			held[sl.Searcher] = true
		}
		var line []endpoints.Endpoint
		for id, s := range usable {
			if !held[id] {
				line = append(line, s)
			}
		}
		sort.Slice(line, func(i, j int) bool {
			_, si := b.silent[line[i].ID]
			_, sj := b.silent[line[j].ID]
			if si != sj {
				return sj
			}
			return line[i].Ordinal < line[j].Ordinal
		})
		for _, s := range line {
			if len(keep) >= b.opt.R {
				break
			}
			keep = append(keep, Slot{Searcher: s.ID, Entry: s.Ordinal, Until: now + b.opt.Lease, Full: b.full[s.ID] || !s.WarmingUp})
		}
		b.slots[at] = keep
	}
}
