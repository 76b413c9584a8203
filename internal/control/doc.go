// Package control is the server of a node with a disk. The control nodes of a
// cluster agree on its state by package consensus: the configuration, the
// voters, the cache nodes, purges and rollouts. They serve that state to fronts
// and cache nodes, and take the operators' calls that change it.
//
// A Server has one command loop, which owns its tables: code that touches them
// runs on the loop, and never waits there for the network or the disk. Each
// goroutine beside it (heartbeats, lease campaign, discovery poller, join,
// purges, rollouts, calls of other nodes) takes what it needs in one command,
// works without the loop, and hands its result in with another. "It runs on the
// loop" in a comment says that a method is to be called from such a command; all
// other methods must not be.
//
// These parts make up a Server:
//
//   - replica answers and runs ballots, learns what was decided and brings it to
//     disk and to other nodes.
//   - leaseController campaigns for the lease of the poller role and grants it,
//     discoveryPoller reads the platform's list of instances under that lease,
//     and tableController distributes the endpoint table that comes of it.
//   - The membership code (join, admission, replication, drain, hinted handoff)
//     keeps as many voters as the tolerated losses take.
//   - rolloutController moves rollouts from phase to phase.
//   - The watch code holds the long polls of fronts and cache nodes.
package control
