package shardmap

import "slices"

// Layout is the set of shards into which one version of the configuration
// divides the index. The source calls it a target.
type Layout struct {
	Version int64
	// Shards is sorted. Each is the name of the service of its endpoints.
	Shards []string
}

// sameShards reports whether two layouts divide the index in the same way.
func (l Layout) sameShards(other Layout) bool { return slices.Equal(l.Shards, other.Shards) }
