// Package waymark is what a node knows of other nodes: a partial view whose
// entries are shuffled with neighbours, oldest first, in the way of Cyclon.
// It is a pure state machine. In the field's terms: gossip membership with a
// peer sampling service.
package peersampling
