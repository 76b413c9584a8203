// Package cellar keeps a node's few records on disk in pebble. One goroutine
// owns the disk: whoever waits for it waits here and nowhere else. A write
// that fails closes the store, and it is opened anew until the disk is well.
// In the field's terms: stable storage with group commit.
package cellar
