package frontend

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/cache"
)

// testFetcher fetches objects whose bytes all are the last letter of their
// target. Those without a size are missing.
type testFetcher struct{ sizes map[string]int }

// missingBytes is the size of the answer that an object is missing.
const missingBytes = 9000

func (f testFetcher) Fetch(request FetchRequest) FetchResult {
	time.Sleep(5 * time.Millisecond)
	name := request.Target[len(request.Target)-1:]
	body := []byte(strings.Repeat(name, f.sizes[name]))
	if len(body) == 0 {
		return FetchResult{PassThrough: &cache.PassThrough{Status: 404, Body: []byte(strings.Repeat(name, missingBytes))}}
	}
	return FetchResult{Object: &cache.Object{Host: request.Host, Target: request.Target, Service: "s", Body: body, ETag: name, Stamp: name}}
}

// One cached object goes to many clients at once, whole and in part, from
// memory that they share; each reads just the object that it asked for.
func TestSharedObjects(t *testing.T) {
	addr, h := newTestFront(t)
	sizes := map[string]int{"a": 700, "b": 6000, "c": 90_000}
	c := NewCacheHandler(110_000, func() time.Duration { return 0 }, testFetcher{sizes})
	c.ApplyPurges(0, 0, nil)
	h.SetCacheHandler(c)
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			checkSharedObjects(t, addr, client, sizes)
		}()
	}
	clients.Wait()
}

// checkSharedObjects pipelines requests for all objects, every third of them
// for a range.
func checkSharedObjects(t *testing.T, addr string, client int, sizes map[string]int) {
	raw, methods, names := "", []string{}, []string{}
	for i := range 40 {
		name, lines := string("abcd"[(client+i*i)%4]), ""
		if i%3 == 0 {
			lines = "Range: bytes=5-99\r\n"
		}
		raw += rawRequest("GET", "/cached/"+name, fmt.Sprint(client, ".", i), lines, "")
		methods, names = append(methods, "GET"), append(names, name)
	}
	responses, rest := send(t, addr, raw, methods...)
	if len(responses) != len(names) || rest != "" {
		t.Errorf("client %d: %d responses and then %q", client, len(responses), rest)
	}
	for i, r := range responses {
		size, status := sizes[names[i]], 200
		switch {
		case size == 0:
			size, status = missingBytes, 404
		case i%3 == 0:
			size, status = 95, 206
		}
		if r.status != status || r.id != fmt.Sprint(client, ".", i) || r.body != strings.Repeat(names[i], size) {
			t.Errorf("client %d, response %d: %d %s, %d bytes, want %d of %q", client, i, r.status, r.id, len(r.body), size, names[i])
		}
	}
}

// Guards against a failure of the front's own that bears the stamp of the
// searcher's success.
func TestUnsatisfiableRangeBearsNoStamp(t *testing.T) {
	addr, h := newTestFront(t)
	c := NewCacheHandler(110_000, func() time.Duration { return 0 }, testFetcher{map[string]int{"a": 700}})
	c.ApplyPurges(0, 0, nil)
	h.SetCacheHandler(c)
	for _, test := range []struct {
		lines  string
		status int
		stamp  string
	}{
		{"", 200, "a"},
		{"Range: bytes=5-99\r\n", 206, "a"},
		{"If-None-Match: a\r\n", 304, "a"},
		{"Range: bytes=700-\r\n", 416, ""},
	} {
		responses, _ := send(t, addr, rawRequest("GET", "/cached/a", "r", test.lines, ""), "GET")
		if len(responses) != 1 || responses[0].status != test.status || responses[0].stamp != test.stamp {
			t.Errorf("%q: %+v, want %d with the stamp %q", test.lines, responses, test.status, test.stamp)
		}
	}
}

// purgedFetcher fetches objects that a purge has invalidated on their way.
type purgedFetcher struct{ fetches *atomic.Int64 }

func (f purgedFetcher) Fetch(request FetchRequest) FetchResult {
	f.fetches.Add(1)
	return FetchResult{Object: &cache.Object{Host: request.Host, Target: request.Target, Service: "s", Body: []byte("x"), ETag: "x", Stamp: "x"}}
}

// A request that gives up after several fetches leaves none behind that nobody
// carries out: the next request for the object fetches it again.
func TestNoFetchIsLeftBehind(t *testing.T) {
	addr, h := newTestFront(t)
	fetcher := purgedFetcher{&atomic.Int64{}}
	c := NewCacheHandler(110_000, func() time.Duration { return 0 }, fetcher)
	c.ApplyPurges(0, 0, nil)
	c.ApplyPurges(1, 0, []cache.Purge{{Seq: 1, Host: "a.example", Path: "/cached/a"}})
	h.SetCacheHandler(c)
	for i := range int64(2) {
		began := time.Now()
		responses, _ := send(t, addr, rawRequest("GET", "/cached/a", "1", "", ""), "GET")
		if len(responses) != 1 || responses[0].status != 503 || fetcher.fetches.Load() != maxFetches*(i+1) || time.Since(began) > 300*time.Millisecond {
			t.Errorf("request %d: %+v after %v, %d fetches in all", i, responses, time.Since(began), fetcher.fetches.Load())
		}
	}
}
