// Package control is the server of a node with a disk: one of the few control
// nodes that agree on the configuration, know the endpoints and deliver both to
// the fronts.
//
// There is no leader. Any control node takes an operator's call and proposes
// the change itself (propose.go) in the replicated log of package consensus; a
// call is acknowledged once a majority of the voters has the change on disk and
// enough nodes hold it to bear the losses that the settings name
// (replication.go). Reads ask a majority first (read.go).
//
// Singleton roles run under a lease with a fencing epoch (lease_controller.go):
// its holder polls the platform's discovery list (discovery_poller.go), decides
// the phases of rollouts (rollout_controller.go) and removes silent cache nodes
// (cache_node_registry.go).
//
// Fronts and cache nodes long-poll two or more control nodes for what they lack
// (watch.go). Control nodes exchange heartbeats (heartbeat.go), hand each other
// what one has missed (hinted_handoff.go, state_transfer.go), and replace voters
// that are lost for good (join.go, admission.go). A node that drains hands over
// what it holds first (drain.go).
//
// # Ownership
//
// The tables of a Server and of its controllers belong to Server.loop: methods
// that say so run on it, one at a time, and nothing else touches these fields.
// Loops that wait, and calls to other nodes, run on goroutines of their own and
// enter the loop by Call or Submit. proposalLock lets one proposal of this node
// run at a time.
package control
