// Package ratelimit implements two limits that all nodes of a deployment share
// without a call between them:
//
//   - [RetryBudget] bounds retries and hedges by a share of the requests in a
//     sliding window, after the retry budgets of Finagle. The floor that keeps
//     a service with few requests from having no retries at all is split
//     evenly among the nodes.
//   - [TokenBucket] is one node's share of a rate limit.
//
// Both are pure: the caller passes in the node's monotonic time, which must
// not go back. What an earlier incarnation of a node spent is unknown, so both
// are written to stay within their limit across a restart.
package ratelimit
