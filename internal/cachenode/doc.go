// Package cachenode implements the fetching of objects from endpoints, within
// the node's share of each service's rate limit. On a cache node a Fetcher
// also holds the objects that the fronts share; on a front it serves only
// while there is no cache node. Requests for one object are collapsed into one
// fetch, and objects in use are revalidated before they expire.
package cachenode
