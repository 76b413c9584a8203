package frontend

import (
	"testing"
	"time"

	"swiftswitch/internal/cache"
)

// A route that was dropped or given to another service ends its copies, and a
// purge that is heard of while a copy is on its way ends that one.
func TestPantry(t *testing.T) {
	now := time.Duration(0)
	p := NewCacheHandler(100_000, func() time.Duration { return now }, nil)
	sends := func(s string) bool { return s == "media" }
	c := &cache.Object{Host: "h", Target: "/a", Service: "media", ETag: "v1", KnownPurge: 3}
	if p.Usable(c, time.Minute, sends) {
		t.Fatal("a node that knows no purges serves a copy")
	}
	p.ApplyPurges(3, 0, nil)
	_, fl, first := p.lookupOrJoin(c.Key(), time.Minute, sends)
	if !first {
		t.Fatal("nobody fetches")
	}
	if _, other, again := p.lookupOrJoin(c.Key(), time.Minute, sends); again || other != fl {
		t.Fatal("two fetch one object")
	}
	p.finish(c.Key(), fl, FetchResult{Object: c}, time.Minute)
	if got, _, _ := p.lookupOrJoin(c.Key(), time.Minute, sends); got != c {
		t.Fatal("the copy is not served")
	}
	if p.Usable(c, time.Minute, func(s string) bool { return s == "other" }) {
		t.Fatal("a copy outlives its route")
	}
	if known, ok := p.CheckFresh(c, time.Minute, sends); !ok || known != 3 {
		t.Fatal("it is not vouched for")
	}
	p.ApplyPurges(4, 0, []cache.Purge{{Seq: 4, Host: "h", Path: "/b"}})
	if known, ok := p.CheckFresh(c, time.Minute, sends); !ok || known != 4 {
		t.Fatal("a purge of something else counts")
	}
	p.ApplyPurges(5, 0, []cache.Purge{{Seq: 5, Host: "h", Path: "/a"}})
	if p.Usable(c, time.Minute, sends) || !p.Invalidated(c) {
		t.Fatal("a purged copy is served")
	}
	now = 2 * time.Minute
	if p.Usable(&cache.Object{Host: "h", Target: "/c", Service: "media", KnownPurge: 5}, time.Minute, sends) {
		t.Fatal("a copy older than its lifetime is served")
	}
}
