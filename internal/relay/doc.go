// Package relay lets a front have several shards of a request queried by a
// front in another zone (hierarchical aggregation in a scatter-gather tree): one
// call crosses the zones' border instead of one for each shard, and one merged
// list of records comes back. The package holds the messages of such a call, and
// the Balancer that picks the front to call. Package frontend makes and serves
// the calls.
package relay
