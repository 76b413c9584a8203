package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/control"
	"swiftswitch/internal/front"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// cacheTest is a cluster with two cache nodes, 21 and 22, and one origin.
type cacheTest struct {
	*testcluster.Cluster
	origin *testcluster.Endpoint
}

func startCacheTest(t *testing.T) *cacheTest {
	t.Helper()
	return startCacheTestTolerating(t, 0)
}

// startCacheTestTolerating is startCacheTest where so many disks may be lost.
func startCacheTestTolerating(t *testing.T, losses int) *cacheTest {
	t.Helper()
	c := &cacheTest{Cluster: testcluster.New(t)}
	c.ToleratedLosses = losses
	c.origin = c.AddEndpoint("origin", "origin-a")
	c.origin.ServeObjects(1)
	c.AddEndpoint("s1", "s1-a")
	for _, n := range []int{1, 2, 3, 11, 12, 21, 22} {
		c.StartNode(n, true, 1, 2, 3)
	}
	c.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == 200
	})
	c.Eventually("both cache nodes may fetch", func() bool {
		for _, number := range []string{"21", "22"} {
			if share, ok := c.Nodes[number].Front().QuotaShare(); !ok || share != 0.5 {
				return false
			}
		}
		return len(c.Nodes["11"].Front().CacheNodes()) == 2 && c.IsFrontReady(11) && c.IsFrontReady(12)
	})
	return c
}

// serves reports whether front n answers with this body.
func (c *cacheTest) serves(n int, path, want string) bool {
	response, body, _ := c.Request(n, "GET", path, "")
	return response.StatusCode == 200 && string(body) == want
}

// post posts an operator's call to node n and returns the status.
func (c *cacheTest) post(n int, path, body string) int {
	status, _ := c.PostOperator(n, path, body, nil)
	return status
}

// Many clients at once, at both fronts, cause one fetch.
func TestCacheCoalescesRequests(t *testing.T) {
	c := startCacheTest(t)
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() {
			request, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:8080/c/x", c.IP(11+i%2)), nil)
			request.Host = "a.example"
			request.Header.Set("Swiftswitch-Request-Id", fmt.Sprint("m", i))
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				t.Error(err)
				return
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode != 200 || string(body) != "/c/x version 1" || response.Header.Get("Swiftswitch-Server-Stamp") == "" || response.Header.Get("Swiftswitch-Request-Id") != fmt.Sprint("m", i) {
				t.Errorf("%d %q %v", response.StatusCode, body, response.Header)
			}
		})
	}
	clients.Wait()
	if n := c.origin.RunCount(); n != 1 {
		t.Fatalf("%d fetches for one object", n)
	}
}

// An object that changes without a purge is served until its lifetime is over,
// then revalidated.
func TestCachedObjectsExpire(t *testing.T) {
	c := startCacheTest(t)
	for _, n := range []int{11, 12} {
		if !c.serves(n, "/c/x", "/c/x version 1") {
			t.Fatal("the object is not served")
		}
	}
	c.origin.ServeObjects(2)
	if !c.serves(11, "/c/x", "/c/x version 1") {
		t.Fatal("no cached object is served")
	}
	time.Sleep(3200 * time.Millisecond) // CacheLifetimeS is 3
	if !c.serves(12, "/c/x", "/c/x version 2") {
		t.Fatal("an object older than its lifetime is served")
	}
}

func TestPurges(t *testing.T) {
	c := startCacheTest(t)
	// By path and by tag, at any node.
	for i, body := range []string{`{"HostName":"A.example","Path":"/c/x"}`, `{"Tag":"tx"}`, `{"Tag":"all"}`} {
		for _, n := range []int{11, 12} {
			c.Request(n, "GET", "/c/x", "")
		}
		c.origin.ServeObjects(3 + i)
		if status := c.post([]int{1, 11, 21}[i], nodeapi.PathPurge, body); status != 200 {
			t.Fatalf("%s: %d", body, status)
		}
		time.Sleep(100 * time.Millisecond)
		for _, n := range []int{11, 12} {
			if !c.serves(n, "/c/x", fmt.Sprint("/c/x version ", 3+i)) {
				t.Fatalf("after %s front %d serves an older version", body, n)
			}
		}
	}
	// What names nothing cached is a success.
	if status := c.post(2, nodeapi.PathPurge, `{"Tag":"held-by-nothing"}`); status != 200 {
		t.Fatal(status)
	}
	for _, invalid := range []string{`{}`, `{"Tag":"a","HostName":"b","Path":"/"}`, `nonsense`, `{"HostName":"b"}`} {
		if status := c.post(2, nodeapi.PathPurge, invalid); status != 400 {
			t.Errorf("%s: %d", invalid, status)
		}
	}
	if status := c.post(2, nodeapi.PathPurge, `{"Tag":"`+strings.Repeat("x", control.MaxPurgeBytes)+`"}`); status != 413 {
		t.Errorf("an oversize purge: %d", status)
	}
}

func TestLostCacheNodes(t *testing.T) {
	c := startCacheTest(t)
	// One is lost: the next in order fetches, and takes over its share of the
	// origin's rate limit.
	c.Kill("21")
	for i := range 6 {
		path := fmt.Sprint("/c/lost", i)
		if !c.serves(11, path, path+" version 1") {
			t.Fatalf("with one cache node lost: %s", path)
		}
	}
	c.Eventually("the other has the whole rate limit", func() bool {
		share, ok := c.Nodes["22"].Front().QuotaShare()
		return ok && share == 1
	})
	// It comes back, and gets its share once the other has given it up.
	c.StartNode(21, false, 1, 2, 3)
	c.Eventually("both have their share", func() bool {
		a, okA := c.Nodes["21"].Front().QuotaShare()
		b, okB := c.Nodes["22"].Front().QuotaShare()
		if okA && a+b > 1 {
			t.Fatalf("shares of %v and %v", a, b)
		}
		return okA && okB && a == 0.5 && b == 0.5
	})
	// All are lost: the fronts fetch, sparingly.
	c.Kill("21")
	c.Kill("22")
	c.Eventually("fronts fetch themselves", func() bool { return c.serves(11, "/c/alone", "/c/alone version 1") })
	if share, ok := c.Nodes["11"].Front().QuotaShare(); !ok || share > front.FrontFetchShare/2 {
		t.Fatalf("a front has a share of %v", share)
	}
	c.checkAnswerWithoutStamp(t)
}

// checkAnswerWithoutStamp checks that an origin's answer without a stamp is
// neither passed on nor cached.
func (c *cacheTest) checkAnswerWithoutStamp(t *testing.T) {
	t.Helper()
	c.origin.SetMode(testcluster.ModeNoStamp)
	before := c.origin.RunCount()
	if r, _, _ := c.Request(12, "GET", "/c/broken", ""); r.StatusCode < 300 {
		t.Fatalf("an answer without a stamp was passed on: %d", r.StatusCode)
	}
	c.origin.SetMode(testcluster.ModeNormal)
	c.Eventually("it is fetched anew", func() bool { return c.serves(12, "/c/broken", "/c/broken version 1") })
	if c.origin.RunCount() <= before+1 {
		t.Fatal("an answer without a stamp was cached")
	}
}
