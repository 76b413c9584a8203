// Package saddle lets a front ask a front in another zone to gather several
// shards there: one call crosses instead of one for each shard, and one
// merged list comes back. Here are the messages and the choice of the front
// to ask. In the field's terms: hierarchical aggregation in a scatter-gather
// tree.
package relay
