// Package scatter implements scatter-gather over the shards of an index: it
// sends a request to one endpoint of each shard, retries and hedges, decides
// when a partial answer is good enough, and merges the sorted records of the
// shards that answered. A request to a single service is the case of one shard.
//
// The package has two halves:
//
//   - [Query] is a pure state machine. It holds what is known of each shard
//     and decides what may be sent, when an attempt is hedged and when the
//     request is over. It has no clock, no connection and no goroutine; recorded
//     traces (testdata) play it.
//   - [Gatherer] drives a Query: it picks endpoints, withdraws retries from
//     the retry budget, runs each attempt on a worker and feeds the results
//     back. One goroutine, that of [Gatherer.Gather], owns the Query; workers
//     only send on its channel of results.
//
// Hedged requests follow Dean and Barroso, "The Tail at Scale" (CACM 56:2,
// 2013); the retry budget is that of package ratelimit.
package scatter
