package cache

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/tracetest"
)

// kept is a node that keeps copies: what a trace is played against. Times are
// in milliseconds.
type kept struct {
	shelf   *Store
	notices *PurgeLog
	stove   *FetchQueue
	flights map[string]*Fetch
}

func ms(s string) time.Duration {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic("not a time: " + s)
	}
	return time.Duration(n) * time.Millisecond
}

func num(s string) int64 { return int64(ms(s) / time.Millisecond) }

// good is what a node asks before it serves a copy.
func (k *kept) good(c *Object, lifetime, now time.Duration) bool {
	return c.IsFresh(lifetime, now) && !k.notices.Invalidates(c)
}

func (k *kept) play(f []string) error {
	now := ms(f[0])
	switch f[1] {
	case "starts": // starts SEQ: a node without copies
		k.shelf, k.notices, k.stove, k.flights = NewStore(100_000), NewPurgeLog(num(f[2])), NewFetchQueue(), map[string]*Fetch{}
	case "asked": // asked OBJECT SOON LEFT
		k.flights[f[2]] = k.stove.Enqueue("h", f[2], "o", 1, now, now+ms(f[4]), ms(f[3]))
	case "fetch": // fetch OBJECT|none: the next fetch begins
		got := "none"
		if fl := k.stove.Next("o", k.notices.Seq, now); fl != nil {
			got = fl.Target
			if c, _ := k.shelf.Peek(fl.Key()); c != nil {
				got += " if " + c.ETag
			}
		}
		if want := strings.Join(f[2:], " "); got != want {
			return fmt.Errorf("next is %s", got)
		}
	case "brought", "same": // brought OBJECT ETAG TAGS; same OBJECT: the fetch ends
		fl := k.flights[f[2]]
		var c *Object
		if f[1] == "same" {
			old, _ := k.shelf.Peek(fl.Key())
			c = old.Revalidated(fl.StartedAt, fl.KnownPurge)
		} else {
			c = &Object{Host: "h", Target: f[2], Service: "o", ETag: f[3], Tags: SplitTags(strings.Join(f[4:], " ")), FetchedAt: fl.StartedAt, KnownPurge: fl.KnownPurge, Body: make([]byte, 100)}
		}
		if k.notices.Invalidates(c) {
			k.stove.Requeue(fl)
			return nil
		}
		k.shelf.Put(c)
		fl.Object = c
		k.stove.Finish(fl, 200, "")
	case "handed": // handed OBJECT ETAG AGE KNOWN TAGS: a copy comes from another node
		k.shelf.Put(&Object{Host: "h", Target: f[2], Service: "o", ETag: f[3], FetchedAt: now - ms(f[4]), KnownPurge: num(f[5]), Tags: SplitTags(strings.Join(f[6:], " ")), Body: make([]byte, 100)})
	case "purge": // purge SEQ FLOOR [/PATH | TAG]...: the newest ones, the last being SEQ
		var l []Purge
		for i, name := range f[4:] {
			p := Purge{Seq: num(f[2]) - int64(len(f[4:])-1-i)}
			if strings.HasPrefix(name, "/") {
				p.Host, p.Path = "H", name
			} else {
				p.Tag = name
			}
			l = append(l, p)
		}
		k.notices.Apply(num(f[2]), num(f[3]), l)
	case "serves": // serves OBJECT LIFETIME ETAG|nothing
		got := "nothing"
		if c := k.shelf.Get(Key("h", f[2])); k.good(c, ms(f[3]), now) {
			got = c.ETag
		}
		if got != f[4] {
			return fmt.Errorf("it serves %s", got)
		}
	case "waiting": // waiting N: fetches that wait
		if n := k.stove.Queued("o"); n != int(num(f[2])) {
			return fmt.Errorf("%d wait", n)
		}
	default:
		return fmt.Errorf("unknown step %s", f[1])
	}
	return nil
}

func TestTraces(t *testing.T) {
	tracetest.Play(t, 7, func() func([]string) error { return (&kept{}).play })
}

// One copy answers the whole, ranges and conditions as RFC 9110 has it.
func TestAnswers(t *testing.T) {
	c := &Object{Body: []byte("0123456789"), ETag: `"v1"`}
	for _, x := range []struct {
		ask    RequestConditions
		status int
		body   string
		span   string
	}{
		{RequestConditions{Method: "GET"}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", Range: "bytes=2-4"}, 206, "234", "bytes 2-4/10"},
		{RequestConditions{Method: "GET", Range: "bytes=7-"}, 206, "789", "bytes 7-9/10"},
		{RequestConditions{Method: "GET", Range: "Bytes=7-99"}, 206, "789", "bytes 7-9/10"},
		{RequestConditions{Method: "GET", Range: "bytes=-3"}, 206, "789", "bytes 7-9/10"},
		{RequestConditions{Method: "GET", Range: "bytes=-30"}, 206, "0123456789", "bytes 0-9/10"},
		{RequestConditions{Method: "GET", Range: "bytes=10-"}, 416, "", "bytes */10"},
		{RequestConditions{Method: "GET", Range: "bytes=99999999999999999999-"}, 416, "", "bytes */10"},
		{RequestConditions{Method: "GET", Range: "bytes=-0"}, 416, "", "bytes */10"},
		{RequestConditions{Method: "GET", Range: "bytes=4-2"}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", Range: "bytes=1-2,4-5"}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", Range: "lines=1-2"}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", Range: "bytes=a-b"}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", Range: "bytes"}, 200, "0123456789", ""},
		{RequestConditions{Method: "HEAD", Range: "bytes=2-4"}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", Range: "bytes=2-4", IfRange: `"v1"`}, 206, "234", "bytes 2-4/10"},
		{RequestConditions{Method: "GET", Range: "bytes=2-4", IfRange: `"v0"`}, 200, "0123456789", ""},
		{RequestConditions{Method: "GET", IfNoneMatch: `"v0", W/"v1"`}, 304, "", ""},
		{RequestConditions{Method: "GET", IfNoneMatch: "*", Range: "bytes=2-4"}, 304, "", ""},
		{RequestConditions{Method: "GET", IfNoneMatch: `"v0"`, Range: "bytes=2-4"}, 206, "234", "bytes 2-4/10"},
	} {
		a := c.Respond(x.ask)
		if a.Status != x.status || string(a.Body) != x.body || a.ContentRange != x.span {
			t.Errorf("%+v: %d %q %q", x.ask, a.Status, a.Body, a.ContentRange)
		}
	}
}

// The shelf keeps to its bytes, and gives up what is of little use a byte.
func TestShelfGivesUpTheLeastUseful(t *testing.T) {
	s := NewStore(300_000)
	put := func(name string, size int) {
		s.Put(&Object{Host: "h", Target: name, Body: make([]byte, size)})
	}
	put("/small", 2_000)
	put("/used", 60_000)
	put("/large", 60_000)
	for i := 0; i < 5; i++ {
		s.Get(Key("h", "/used"))
	}
	for i := 0; i < 9; i++ {
		put(fmt.Sprint("/more", i), 30_000)
	}
	if s.Used() > 300_000 {
		t.Fatalf("%d bytes", s.Used())
	}
	for name, there := range map[string]bool{"/small": true, "/used": true, "/large": false} {
		if c, _ := s.Peek(Key("h", name)); (c != nil) != there {
			t.Errorf("%s: %v", name, c != nil)
		}
	}
	put("/huge", 190_000)
	if c, _ := s.Peek(Key("h", "/huge")); c != nil {
		t.Fatal("one object took the shelf")
	}
	s.Remove(Key("h", "/used"))
	s.Remove(Key("h", "/used"))
	if c, _ := s.Peek(Key("h", "/used")); c != nil || s.Used() < 0 || s.Len() != len(s.order) {
		t.Fatal("a dropped copy is there")
	}
}
