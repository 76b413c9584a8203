// Package compat has only tests. They pin the stored and the sent forms: golden
// JSON of every record on disk and every message between nodes, a store
// directory as an early version left it, and the paths, headers and record
// names, so that a renamed identifier can't change data or break an upgrade in
// which nodes of two versions work together.
package compat
