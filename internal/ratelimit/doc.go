// Package rations keeps further tries within the budget that all nodes
// share: per service, in every sliding window, a part of the requests plus
// this node's share of the slack. In the field's terms: a distributed retry
// budget.
package ratelimit
