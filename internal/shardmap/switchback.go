package shardmap

import (
	"sort"
	"time"

	"swiftswitch/internal/endpoints"
)

// Options are the defaults that may be changed.
type Options struct {
	// SlotsPerShard is how many searchers hold a slot of one shard at most.
	SlotsPerShard int
	// MinReady is how many loaded holders a shard wants where fewer than R searchers are there.
	MinReady int
	// LeaseDuration is how long a slot is held without a sign of life from its holder.
	LeaseDuration time.Duration
	// SwitchWait is how long, after a cut was chosen, the old one may serve on.
	SwitchWait time.Duration
}

// Layout is the shards that a version's gathered routes name.
type Layout struct {
	Version int64
	Shards  []string
}

func (c Layout) same(o Layout) bool {
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
	Endpoint string
	Entry    int64
	// LeaseEnd is when the lease of a holder that fell silent ends.
	LeaseEnd time.Duration
	// Ready: the searcher's shard is loaded, as far as is known.
	Ready bool
}

// FreedSlot names a slot that was given up and why.
type FreedSlot struct {
	Shard, Endpoint, Reason string
}

// State holds the pointers and the slots.
type State struct {
	LastBuilt int64
	Current   Layout
	Next      *Layout

	options        Options
	switchDeadline time.Duration
	slots          map[slotKey][]Slot
	// versions lists, for a service, the versions of its searchers that may
	// hold slots, the one in force first; services it lacks make no difference.
	versions map[string][]string
	listed   map[string][]endpoints.Endpoint
	ready    map[string]bool
	// silent searchers lost their slots; they stand last in line until they answer.
	silent map[string]time.Duration
	freed  []FreedSlot
	// settled: since the slots were given last, nothing that they rest on has
	// changed but the time.
	settled bool
}

// slotKey names the slots of one shard for one version of its searchers.
type slotKey struct{ shard, version string }

// New makes a board without a current cut.
func New(o Options) *State {
	return &State{options: o, slots: map[slotKey][]Slot{}, listed: map[string][]endpoints.Endpoint{}, ready: map[string]bool{}, silent: map[string]time.Duration{}}
}

// OnBuilt takes a chosen version with its cut; age is how long ago it was
// chosen. It returns true when that version comes into force at once: it is
// the first, or its cut is the current one.
func (b *State) OnBuilt(c Layout, age, now time.Duration) bool {
	if c.Version <= b.LastBuilt {
		return false
	}
	b.settled = false
	sort.Strings(c.Shards)
	first := b.LastBuilt == 0
	b.LastBuilt = c.Version
	if first || c.same(b.Current) {
		b.Current, b.Next = c, nil
		b.assignSlots(now)
		return true
	}
	due := now + b.options.SwitchWait - age
	if b.Next == nil || due < b.switchDeadline {
		// A cut that replaces a waiting one does not put the switch off.
		b.switchDeadline = due
	}
	b.Next = &c
	b.assignSlots(now)
	return false
}

// OnEndpoints takes the platform's table.
func (b *State) OnEndpoints(t *endpoints.Table, now time.Duration) {
	b.settled = false
	b.listed = map[string][]endpoints.Endpoint{}
	alive := map[string]bool{}
	for _, s := range t.Endpoints {
		b.listed[s.Service] = append(b.listed[s.Service], s)
		alive[s.ID] = true
	}
	for id := range b.ready {
		if !alive[id] {
			delete(b.ready, id)
		}
	}
	for id := range b.silent {
		if !alive[id] {
			delete(b.silent, id)
		}
	}
	b.assignSlots(now)
}

// SetVersions says which versions of services' searchers may hold slots. Each
// has R of its own: searchers of a new version push none of the old one out.
func (b *State) SetVersions(v map[string][]string, now time.Duration) {
	b.versions = v
	b.settled = false
	b.assignSlots(now)
}

// slotVersions lists the versions that hold slots of a shard, the one in force first;
// an empty one stands for any.
func (b *State) slotVersions(shard string) []string {
	if v := b.versions[shard]; len(v) > 0 {
		return v
	}
	return []string{""}
}

// OnAnswer notes a full answer of a searcher: it is loaded, and its lease is renewed.
func (b *State) OnAnswer(id string, now time.Duration) {
	b.ready[id] = true
	delete(b.silent, id)
	for _, l := range b.slots {
		for i := range l {
			if l[i].Endpoint == id {
				l[i].Ready, l[i].LeaseEnd = true, now+b.options.LeaseDuration
			}
		}
	}
}

// OnSilent notes that a searcher stopped answering; its slot is free once the lease has ended.
func (b *State) OnSilent(id string, now time.Duration) {
	if _, known := b.silent[id]; known {
		return
	}
	b.silent[id] = now
	for _, l := range b.slots {
		for i := range l {
			if l[i].Endpoint == id {
				l[i].LeaseEnd = now + b.options.LeaseDuration
			}
		}
	}
}

// Tick ends leases and makes the switch when it is time for it. It returns
// true when Next became Current; ready tells whether every slot was.
func (b *State) Tick(now time.Duration) (switched, ready bool) {
	b.assignSlots(now)
	if b.Next == nil {
		return false, false
	}
	ready = b.Ready(*b.Next)
	if !ready && now < b.switchDeadline {
		return false, false
	}
	b.Current, b.Next = *b.Next, nil
	b.settled = false
	b.assignSlots(now)
	return true, ready
}

// Ready tells whether every shard of a cut has R holders that are loaded, or
// as many as there are searchers, Least at any rate.
func (b *State) Ready(c Layout) bool {
	for _, shard := range c.Shards {
		there, version := 0, b.slotVersions(shard)[0]
		for _, s := range b.listed[shard] {
			if !s.Draining && (version == "" || s.Version == version) {
				there++
			}
		}
		want := min(b.options.SlotsPerShard, max(b.options.MinReady, there))
		n := 0
		for _, s := range b.slots[slotKey{shard, version}] {
			if s.Ready {
				n++
			}
		}
		if n < want {
			return false
		}
	}
	return true
}

// Unready lists the searchers of the next cut that hold a slot and are not known as loaded.
func (b *State) Unready() []string {
	if b.Next == nil {
		return nil
	}
	var out []string
	for _, shard := range b.Next.Shards {
		for _, s := range b.slots[slotKey{shard, b.slotVersions(shard)[0]}] {
			if !s.Ready {
				out = append(out, s.Endpoint)
			}
		}
	}
	return out
}

// Holders lists the searchers that may take a query for a shard and belong to
// the version in force.
func (b *State) Holders(shard string) []string {
	return b.HoldersOfVersion(shard, b.slotVersions(shard)[0])
}

// HoldersOfVersion lists those of a version.
func (b *State) HoldersOfVersion(shard, version string) []string {
	var out []string
	for _, s := range b.slots[slotKey{shard, version}] {
		out = append(out, s.Endpoint)
	}
	return out
}

// HoldersByVersion gives the holders of all versions that may hold slots of a shard.
func (b *State) HoldersByVersion(shard string) map[string][]string {
	out := map[string][]string{}
	for _, v := range b.slotVersions(shard) {
		out[v] = b.HoldersOfVersion(shard, v)
	}
	return out
}

// TakeFreed gives the slots freed since the last call.
func (b *State) TakeFreed() []FreedSlot {
	f := b.freed
	b.freed = nil
	return f
}

// assignSlots gives each shard's slots to the first R searchers in the order of
// their entries. A holder that drains or is gone loses its slot at once; one
// that fell silent when its lease has ended and a standby is there.
func (b *State) assignSlots(now time.Duration) {
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
	holds := map[slotKey]bool{}
	for shard := range shards {
		for _, v := range b.slotVersions(shard) {
			holds[slotKey{shard, v}] = true
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
			s, ok := usable[sl.Endpoint]
			if !ok {
				b.freed = append(b.freed, FreedSlot{shard, sl.Endpoint, "drains or gone"})
				continue
			}
			if _, silent := b.silent[sl.Endpoint]; silent && now >= sl.LeaseEnd && len(usable) > b.options.SlotsPerShard {
				b.freed = append(b.freed, FreedSlot{shard, sl.Endpoint, "lease ended"})
				continue
			} else if !silent {
				sl.LeaseEnd = now + b.options.LeaseDuration
			}
			sl.Ready = sl.Ready || b.ready[s.ID] || !s.WarmingUp
			keep = append(keep, sl)
			held[sl.Endpoint] = true
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
			if len(keep) >= b.options.SlotsPerShard {
				break
			}
			keep = append(keep, Slot{Endpoint: s.ID, Entry: s.Ordinal, LeaseEnd: now + b.options.LeaseDuration, Ready: b.ready[s.ID] || !s.WarmingUp})
		}
		b.slots[at] = keep
	}
}
