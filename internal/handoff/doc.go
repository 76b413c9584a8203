// Package handoff remembers which decided log slot each other node that keeps
// state is known to have on disk, so that what a node missed while it was away
// is handed to it once it is back. It is the bookkeeping of hinted handoff
// (DeCandia et al., "Dynamo: Amazon's Highly Available Key-value Store", SOSP
// 2007); as the decided log is the same everywhere, one slot number per node
// takes the place of a list of hints.
package handoff
