// Package nodeapi defines the calls between nodes: their paths, headers and
// JSON messages, one file per group of calls. It holds no behaviour beyond
// packing and unpacking the bodies of messages; the handlers live in packages
// control, front, cachenode and node.
//
// # Compatibility
//
// Nodes of two versions of the program work together while an upgrade is
// rolled out. Paths, header names and JSON keys therefore never change, and
// their wording is historical: a "hut" is a control node, a "trail" a front, a
// "larder" a cache node, a "searcher" an endpoint. The Go names use today's
// terms; the old form stands in one place each, a constant or a struct tag.
// Package compat pins them with golden files. A field that a newer version
// adds must be optional, since an older node neither sends nor reads it.
//
// Fields that end in Ms are durations in milliseconds. Slots, versions, epochs
// and sequence numbers count up and have no unit.
package nodeapi
