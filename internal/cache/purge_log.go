package cache

import (
	"strings"

	"swiftswitch/internal/consensus"
)

// Purge invalidates an object, by host and path, or all objects with a tag.
type Purge = consensus.Purge

// PurgeLog is what a node knows of the agreed sequence of purges: the number
// of the last one, and for each path and tag the last that named it.
type PurgeLog struct {
	// Seq is the number of the last purge known.
	Seq int64
	// CompactedSeq is the number up to which single purges are no longer
	// known. Objects fetched before it count as invalid.
	CompactedSeq int64

	paths map[string]int64
	tags  map[string]int64
}

// NewPurgeLog returns the log of a node that starts after purge seq and holds
// no objects yet.
func NewPurgeLog(seq int64) *PurgeLog {
	return &PurgeLog{Seq: seq, CompactedSeq: seq, paths: map[string]int64{}, tags: map[string]int64{}}
}

// Apply adds the purges up to seq. compactedSeq is the last that the sender no
// longer lists: if this node missed some of those, it can't tell which
// objects they named.
func (l *PurgeLog) Apply(seq, compactedSeq int64, purges []Purge) {
	if seq <= l.Seq {
		return
	}
	for _, purge := range purges {
		if purge.Seq <= l.Seq || purge.Seq > seq {
			continue
		}
		if purge.Tag != "" {
			l.tags[purge.Tag] = purge.Seq
		} else {
			l.paths[Key(purge.Host, purge.Path)] = purge.Seq
		}
	}
	if compactedSeq > l.Seq {
		l.CompactedSeq = compactedSeq
	}
	l.Seq = seq
}

// Compact forgets all single purges if there are more than maxEntries. This
// bounds the log's memory at the price of the objects fetched so far.
func (l *PurgeLog) Compact(maxEntries int) {
	if len(l.paths)+len(l.tags) <= maxEntries {
		return
	}
	l.CompactedSeq = l.Seq
	clear(l.paths)
	clear(l.tags)
}

// Invalidates reports whether a purge that the object's fetch did not know yet
// named the object, or may have.
func (l *PurgeLog) Invalidates(o *Object) bool {
	if o.KnownPurge < l.CompactedSeq {
		return true
	}
	if o.KnownPurge >= l.Seq {
		return false
	}
	for _, tag := range o.Tags {
		if l.tags[tag] > o.KnownPurge {
			return true
		}
	}
	return l.lastPurgeOf(o.Host, o.Target) > o.KnownPurge
}

// lastPurgeOf returns the number of the last purge that named an object by its
// path. A path without a query names the objects of all its queries.
func (l *PurgeLog) lastPurgeOf(host, target string) int64 {
	last := l.paths[Key(host, target)]
	if path, _, hasQuery := strings.Cut(target, "?"); hasQuery {
		last = max(last, l.paths[Key(host, path)])
	}
	return last
}
