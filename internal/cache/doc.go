// Package cache implements a shared HTTP cache (RFC 9111) without its I/O:
// cached objects and how they answer conditional and range requests, a store
// of bounded size, a log of purges by path and by tag (surrogate key), and a
// queue of fetches that collapses requests for one object. All of it is plain
// state: callers pass the time, a monotonic clock's, and provide the locking.
package cache
