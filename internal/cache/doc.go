// Package larder holds what the content tier knows: copies of objects and
// their lifetimes, which purges ended which copies, and what is to be fetched
// next. Everything here is a state machine that knows no clock, no disk and no
// network. In the field's terms: a shared HTTP cache (RFC 9111) with
// invalidation by path and by surrogate key, and request collapsing.
package cache
