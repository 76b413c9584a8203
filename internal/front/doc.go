// Package front implements the server of a node that keeps no state: a front,
// which accepts clients' requests and sends them to endpoints, or a cache
// node, which fetches objects for the fronts.
//
// A Server is made of controllers. Each follows one kind of state that the
// control nodes announce: the endpoint table, the configuration and its shard
// layout, rollouts, purges and the list of cache nodes. They publish what they
// hold as an immutable frontend.Snapshot, so that a request takes no lock. All
// controllers of a server share one command loop, which owns their tables; each
// type's comment says which of its fields the loop owns.
package front
