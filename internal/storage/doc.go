// Package cellar keeps a node's few records on disk in pebble. One goroutine
// owns the disk: whoever waits for it waits here and nowhere else. A write
// that fails closes the store, and it is opened anew until the disk is well.
// Names of files last in the order in which they were changed, so that no loss
// of power leaves less than what was answered. A store that can't be read is
// set aside, which is known from then on.
// In the field's terms: stable storage with group commit.
package storage
