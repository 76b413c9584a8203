package cache

import (
	"strings"

	"swiftswitch/internal/consensus"
)

// Purge is one notice, as it was agreed on: an object by host and path, or a tag.
type Purge = consensus.Purge

// PurgeLog is what a node knows of the purges: the number of the last one, and
// for each name the last that named it. Purges up to Floor are known to nobody
// any more; what was fetched before them is not to be trusted.
type PurgeLog struct {
	Seq, Floor int64
	paths      map[string]int64
	tags       map[string]int64
}

// NewPurgeLog starts a node that holds no copies yet after purge seq.
func NewPurgeLog(seq int64) *PurgeLog {
	return &PurgeLog{Seq: seq, Floor: seq, paths: map[string]int64{}, tags: map[string]int64{}}
}

// Apply adds the purges up to seq; floor is the last that the teller no longer
// holds. Where purges were missed, only the floor tells of them.
func (n *PurgeLog) Apply(seq, floor int64, list []Purge) {
	if seq <= n.Seq {
		return
	}
	for _, p := range list {
		if p.Seq <= n.Seq || p.Seq > seq {
			continue
		}
		if p.Tag != "" {
			n.tags[p.Tag] = p.Seq
		} else {
			n.paths[Key(p.Host, p.Path)] = p.Seq
		}
	}
	if floor > n.Seq {
		n.Floor = floor
	}
	n.Seq = seq
}

// Compact drops the notices up to N, with everything fetched before: where the
// index grows beyond bounds, copies pay for it.
func (n *PurgeLog) Compact(most int) {
	if len(n.paths)+len(n.tags) <= most {
		return
	}
	n.Floor = n.Seq
	clear(n.paths)
	clear(n.tags)
}

// Invalidates tells whether a later purge, or one that is no longer known, ended the copy.
func (n *PurgeLog) Invalidates(c *Object) bool {
	if c.KnownPurge < n.Floor {
		return true
	}
	if c.KnownPurge >= n.Seq {
		return false
	}
	for _, t := range c.Tags {
		if n.tags[t] > c.KnownPurge {
			return true
		}
	}
	return n.LastPurgeOf(c.Host, c.Target) > c.KnownPurge
}

// LastPurgeOf is the last purge that named the object by its path.
func (n *PurgeLog) LastPurgeOf(host, target string) int64 {
	last := n.paths[Key(host, target)]
	if path, _, query := strings.Cut(target, "?"); query {
		last = max(last, n.paths[Key(host, path)])
	}
	return last
}
