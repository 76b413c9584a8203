// Package switchback is the rollout: which cut of the index is current and
// which searchers may take a query for each of its shards. It follows the
// three pointers (last built, current, next), the at most R leased slots of
// each shard, readiness, and the one-step switch of the source named in
// docs/design.md. It is a pure state machine that each front node runs over
// the same inputs. In the field's terms: blue-green cut-over of a sharded
// index with leased replica slots.
package shardmap
