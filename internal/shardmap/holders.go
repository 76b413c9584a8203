package shardmap

// anyVersion is the list of versions of a shard that makes no difference.
var anyVersion = []string{""}

// slotVersions lists the versions whose endpoints may hold slots of a shard,
// the one in force first; an empty one stands for any.
func (s *State) slotVersions(shard string) []string {
	if versions := s.versions[shard]; len(versions) > 0 {
		return versions
	}
	return anyVersion
}

// versionInForce is the version whose endpoints serve a shard by default.
func (s *State) versionInForce(shard string) string { return s.slotVersions(shard)[0] }

// Holders lists the endpoints that may serve queries of a shard and belong to
// the version in force.
func (s *State) Holders(shard string) []string {
	return s.HoldersOfVersion(shard, s.versionInForce(shard))
}

// HoldersOfVersion lists those that belong to a version.
func (s *State) HoldersOfVersion(shard, version string) []string {
	var holders []string
	for _, slot := range s.slots[slotKey{shard, version}] {
		holders = append(holders, slot.EndpointID)
	}
	return holders
}

// HoldersByVersion lists the holders for every version that may hold slots of a shard.
func (s *State) HoldersByVersion(shard string) map[string][]string {
	holders := map[string][]string{}
	for _, version := range s.slotVersions(shard) {
		holders[version] = s.HoldersOfVersion(shard, version)
	}
	return holders
}

// Unready lists the holders of the next layout that are not known to be ready.
func (s *State) Unready() []string {
	if s.Next == nil {
		return nil
	}
	var unready []string
	for _, shard := range s.Next.Shards {
		for _, slot := range s.slots[slotKey{shard, s.versionInForce(shard)}] {
			if !slot.Ready {
				unready = append(unready, slot.EndpointID)
			}
		}
	}
	return unready
}

// isReady reports whether every shard of a layout is ready.
func (s *State) isReady(layout Layout) bool {
	for _, shard := range layout.Shards {
		if !s.isShardReady(slotKey{shard, s.versionInForce(shard)}) {
			return false
		}
	}
	return true
}

// isShardReady reports whether a shard has SlotsPerShard ready holders, or as
// many as there are endpoints, but MinReady at least.
func (s *State) isShardReady(key slotKey) bool {
	usable := 0
	for i := range s.listed[key.shard] {
		if key.mayHold(&s.listed[key.shard][i]) {
			usable++
		}
	}
	ready := 0
	for _, slot := range s.slots[key] {
		if slot.Ready {
			ready++
		}
	}
	return ready >= min(s.options.SlotsPerShard, max(s.options.MinReady, usable))
}
