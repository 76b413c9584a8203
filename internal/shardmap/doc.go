// Package shardmap implements the cut-over of a sharded index from one layout
// of shards to another: which layout is current, and which endpoints may serve
// queries of each of its shards. It follows the published design named in
// docs/design.md, here "the source", and keeps its terms:
//
//	source                          here
//	last built / current / next     State.LastBuilt, State.Current, State.Next
//	target (TARGET_ID)              Layout, named by the configuration's version
//	partition                       shard
//	backend, node                   endpoint
//	sequential entry                endpoints.Endpoint.Ordinal, which never changes
//	slot, R per partition           Slot, Options.SlotsPerShard
//	ephemeral: ends with the lease  Slot.LeaseEnd
//	standby                         an endpoint of the shard without a slot
//	marked as ready                 Slot.Ready
//	applier                         State.Tick
//
// [State] is a pure state machine: it reads no clock, and every front that is
// given the same inputs in the same order comes to the same slots. Unlike the
// source's, endpoints neither claim slots nor report that they are ready. Both
// are derived, from the endpoint table and from the endpoints' answers.
package shardmap
