package shardmap

import (
	"slices"
	"time"

	"swiftswitch/internal/endpoints"
)

// Options bound slots and the time of the switch.
type Options struct {
	// SlotsPerShard is the source's R: how many endpoints at most hold a slot of a shard.
	SlotsPerShard int
	// MinReady is how many ready endpoints a shard wants even where fewer than
	// that are listed.
	MinReady int
	// LeaseDuration is how long a silent endpoint keeps its slot.
	LeaseDuration time.Duration
	// SwitchWait is how long after its version was chosen the next layout waits
	// for its endpoints at most.
	SwitchWait time.Duration
}

// State holds the three pointers of the source and the slots. It is not safe
// for concurrent use. All times are of one monotonic clock.
type State struct {
	// LastBuilt is the newest version that was chosen; 0 means none.
	LastBuilt int64
	// Current is the layout that queries are routed by.
	Current Layout
	// Next is the layout that becomes current once its endpoints are ready; nil
	// means none.
	Next *Layout

	options Options
	// switchDeadline is when Next becomes current whether it is ready or not.
	switchDeadline time.Duration
	slots          map[slotKey][]Slot
	freed          []FreedSlot
	// assigned: the slots follow from all inputs so far. Then only the end of a
	// silent endpoint's lease can change them.
	assigned bool

	// listed is the endpoint table by shard.
	listed map[string][]endpoints.Endpoint
	// versions lists, for a shard, the software versions whose endpoints may
	// hold slots, the one in force first. Shards without a list make no difference.
	versions map[string][]string
	// ready holds the endpoints that answered fully: their shard is loaded.
	ready map[string]bool
	// silent holds the endpoints that stopped answering. Among the standbys
	// they come last, until they answer.
	silent map[string]bool
}

// New returns a state without a current layout.
func New(options Options) *State {
	return &State{
		options: options,
		slots:   map[slotKey][]Slot{},
		listed:  map[string][]endpoints.Endpoint{},
		ready:   map[string]bool{},
		silent:  map[string]bool{},
	}
}

// OnBuilt takes a version that was chosen age ago, with its layout. It reports
// whether the version comes into force at once: it is the first, or its layout
// has the shards of the current one. Versions that are not newer are ignored.
func (s *State) OnBuilt(layout Layout, age, now time.Duration) (inForce bool) {
	if layout.Version <= s.LastBuilt {
		return false
	}
	slices.Sort(layout.Shards)
	isFirst := s.LastBuilt == 0
	s.LastBuilt = layout.Version
	if isFirst || layout.sameShards(s.Current) {
		s.Current, s.Next = layout, nil
		s.reassignSlots(now)
		return true
	}
	deadline := now + s.options.SwitchWait - age
	if s.Next == nil || deadline < s.switchDeadline {
		// A layout that supersedes a waiting one does not postpone the switch.
		s.switchDeadline = deadline
	}
	s.Next = &layout
	s.reassignSlots(now)
	return false
}

// OnEndpoints takes a new endpoint table.
func (s *State) OnEndpoints(table *endpoints.Table, now time.Duration) {
	s.listed = map[string][]endpoints.Endpoint{}
	isListed := map[string]bool{}
	for _, e := range table.Endpoints {
		s.listed[e.Service] = append(s.listed[e.Service], e)
		isListed[e.ID] = true
	}
	deleteUnlisted(s.ready, isListed)
	deleteUnlisted(s.silent, isListed)
	s.reassignSlots(now)
}

func deleteUnlisted(set, isListed map[string]bool) {
	for id := range set {
		if !isListed[id] {
			delete(set, id)
		}
	}
}

// SetVersions sets which software versions of each shard's endpoints may hold
// slots, the one in force first. Each version has SlotsPerShard of its own, so
// endpoints of a new version displace none of the old one.
func (s *State) SetVersions(versions map[string][]string, now time.Duration) {
	s.versions = versions
	s.reassignSlots(now)
}

// OnHealthy notes that an endpoint answered fully: its shard is loaded, and its
// leases are renewed.
func (s *State) OnHealthy(id string, now time.Duration) {
	s.ready[id] = true
	delete(s.silent, id)
	for _, slots := range s.slots {
		for i := range slots {
			if slots[i].EndpointID == id {
				slots[i].Ready, slots[i].LeaseEnd = true, now+s.options.LeaseDuration
			}
		}
	}
}

// OnUnhealthy notes that an endpoint stopped answering. Its leases run from the
// first such call since it last answered.
func (s *State) OnUnhealthy(id string, now time.Duration) {
	if s.silent[id] {
		return
	}
	s.silent[id] = true
	for _, slots := range s.slots {
		for i := range slots {
			if slots[i].EndpointID == id {
				slots[i].LeaseEnd = now + s.options.LeaseDuration
			}
		}
	}
}

// Tick ends leases and, in one step, makes Next current: once every shard of it
// is ready, or at the deadline. It reports whether it did, and whether every
// shard was ready.
func (s *State) Tick(now time.Duration) (switched, ready bool) {
	s.assignSlots(now)
	if s.Next == nil {
		return false, false
	}
	ready = s.isReady(*s.Next)
	if !ready && now < s.switchDeadline {
		return false, false
	}
	s.Current, s.Next = *s.Next, nil
	s.reassignSlots(now)
	return true, ready
}

// TakeFreed returns the slots that were freed since the last call.
func (s *State) TakeFreed() []FreedSlot {
	freed := s.freed
	s.freed = nil
	return freed
}
