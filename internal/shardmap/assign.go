package shardmap

import (
	"cmp"
	"slices"
	"time"

	"swiftswitch/internal/endpoints"
)

// reassignSlots assigns the slots after an input that they follow from changed.
func (s *State) reassignSlots(now time.Duration) {
	s.assigned = false
	s.assignSlots(now)
}

// assignSlots gives the slots of each shard of the current and the next layout
// to its endpoints. Without a change since the last time and without silent
// endpoints nothing can differ, and it does nothing: it runs on every tick.
func (s *State) assignSlots(now time.Duration) {
	if s.assigned && len(s.silent) == 0 {
		return
	}
	s.assigned = true
	keys := s.slotKeys()
	for key := range s.slots {
		if !keys[key] {
			delete(s.slots, key)
		}
	}
	for key := range keys {
		usable := s.usableEndpoints(key)
		held := s.keepSlots(key, usable, now)
		s.slots[key] = s.fillSlots(held, usable, now)
	}
}

// slotKeys names the slots that there are.
func (s *State) slotKeys() map[slotKey]bool {
	keys := map[slotKey]bool{}
	add := func(shards []string) {
		for _, shard := range shards {
			for _, version := range s.slotVersions(shard) {
				keys[slotKey{shard, version}] = true
			}
		}
	}
	add(s.Current.Shards)
	if s.Next != nil {
		add(s.Next.Shards)
	}
	return keys
}

// usableEndpoints returns the endpoints that may hold a slot, by their ID.
func (s *State) usableEndpoints(key slotKey) map[string]endpoints.Endpoint {
	usable := map[string]endpoints.Endpoint{}
	for _, e := range s.listed[key.shard] {
		if key.mayHold(&e) {
			usable[e.ID] = e
		}
	}
	return usable
}

// mayHold reports whether an endpoint of the shard may hold one of the slots.
func (k slotKey) mayHold(e *endpoints.Endpoint) bool {
	return !e.Draining && (k.version == "" || e.Version == k.version)
}

// keepSlots returns the slots whose endpoints keep them, and removes these
// endpoints from usable, which leaves the standbys. An endpoint that drains or
// is gone loses its slot at once. A silent one loses it when its lease has
// ended, but only to a standby: while there is none, a slot that may still
// serve is better than no slot.
func (s *State) keepSlots(key slotKey, usable map[string]endpoints.Endpoint, now time.Duration) []Slot {
	hasStandby := len(usable) > s.options.SlotsPerShard
	var kept []Slot
	for _, slot := range s.slots[key] {
		e, isUsable := usable[slot.EndpointID]
		isSilent := s.silent[slot.EndpointID]
		switch {
		case !isUsable:
			s.freed = append(s.freed, FreedSlot{key.shard, slot.EndpointID, FreedGone})
			continue
		case isSilent && now >= slot.LeaseEnd && hasStandby:
			s.freed = append(s.freed, FreedSlot{key.shard, slot.EndpointID, FreedLeaseEnded})
			continue
		case !isSilent:
			slot.LeaseEnd = now + s.options.LeaseDuration
		}
		slot.Ready = slot.Ready || s.isLoaded(&e)
		kept = append(kept, slot)
		delete(usable, slot.EndpointID)
	}
	return kept
}

// fillSlots gives the free slots to the standbys in the order of their entries,
// silent ones last.
func (s *State) fillSlots(held []Slot, standbys map[string]endpoints.Endpoint, now time.Duration) []Slot {
	free := s.options.SlotsPerShard - len(held)
	if free <= 0 || len(standbys) == 0 {
		return held
	}
	queue := make([]endpoints.Endpoint, 0, len(standbys))
	for _, e := range standbys {
		queue = append(queue, e)
	}
	slices.SortFunc(queue, func(a, b endpoints.Endpoint) int {
		if s.silent[a.ID] != s.silent[b.ID] {
			if s.silent[b.ID] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Ordinal, b.Ordinal)
	})
	for _, e := range queue[:min(free, len(queue))] {
		held = append(held, Slot{EndpointID: e.ID, LeaseEnd: now + s.options.LeaseDuration, Ready: s.isLoaded(&e)})
	}
	return held
}

// isLoaded reports whether an endpoint's shard is loaded: it answered fully, or
// the table no longer lists it as warming up.
func (s *State) isLoaded(e *endpoints.Endpoint) bool { return s.ready[e.ID] || !e.WarmingUp }
