// Package storage keeps the few small records of a node durable, in a pebble
// store with group commit.
//
// One goroutine, the writer, owns the disk: whoever waits for a write waits in
// its callback and nowhere else, and no lock is held while the disk works. All
// records are held in memory too.
//
// After the first change that the disk refuses, the store is fenced off from
// it, closed, and opened anew until that succeeds; then every record is
// written again from memory. What a callback reported as durable survives a
// loss of power at any moment, since names of files are made durable in the
// order in which they changed (see fencedFS).
//
// A store whose files are damaged or missing is quarantined: renamed, with a
// mark that stays, so that the node knows from then on that it may have
// forgotten what it promised under its old identity.
package storage
