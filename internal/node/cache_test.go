package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"swiftswitch/internal/control"
	"swiftswitch/internal/front"
	"swiftswitch/internal/testcluster"
	"sync"
	"testing"
	"time"
)

// order sends an operator's order that is no configuration.
func operateStatus(w *testcluster.Cluster, n int, method, path, match, body string) int {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", w.IP(n), w.Port, path), strings.NewReader(body))
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// The content tier on loopback: one fetch for many, purges, lost larders, no larder at all.
func TestCopies(t *testing.T) {
	w := testcluster.New(t)
	origin := w.AddEndpoint("origin", "origin-a")
	origin.ServeObjects(1)
	w.AddEndpoint("s1", "s1-a")
	for _, n := range []int{1, 2, 3, 11, 12, 21, 22} {
		w.StartNode(n, true, 1, 2, 3)
	}
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == 200
	})
	w.Eventually("both larders may fetch", func() bool {
		for _, n := range []string{"21", "22"} {
			if part, ok := w.Nodes[n].Front().QuotaShare(); !ok || part != 0.5 {
				return false
			}
		}
		return len(w.Nodes["11"].Front().CacheNodes()) == 2 && w.IsFrontReady(11) && w.IsFrontReady(12)
	})
	// Many at once, at both fronts: one fetch.
	var wg sync.WaitGroup
	for i := 0; i < 20; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s:8080/c/x", w.IP(11+i%2)), nil)
			req.Host = "a.example"
			req.Header.Set("Swiftswitch-Request-Id", fmt.Sprint("m", i))
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Error(err)
				return
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != 200 || string(body) != "/c/x version 1" || resp.Header.Get("Swiftswitch-Server-Stamp") == "" || resp.Header.Get("Swiftswitch-Request-Id") != fmt.Sprint("m", i) {
				t.Errorf("%d %q %v", resp.StatusCode, body, resp.Header)
			}
		}()
	}
	wg.Wait()
	if n := origin.RunCount(); n != 1 {
		t.Fatalf("%d fetches for one object", n)
	}
	is := func(n int, path, want string) bool {
		r, body, _ := w.Request(n, "GET", path, "")
		return r.StatusCode == 200 && string(body) == want
	}
	// It changes without notice: the copy lives its time, then it is asked about.
	origin.ServeObjects(2)
	if !is(11, "/c/x", "/c/x version 1") {
		t.Fatal("no copy is served")
	}
	time.Sleep(3200 * time.Millisecond)
	if !is(12, "/c/x", "/c/x version 2") {
		t.Fatal("a copy older than its lifetime is served")
	}
	// Purges by path and by tag, at any node; what names nothing is a success.
	origin.ServeObjects(3)
	for i, body := range []string{`{"HostName":"A.example","Path":"/c/x"}`, `{"Tag":"tx"}`, `{"Tag":"all"}`} {
		origin.ServeObjects(3 + i)
		if st := operateStatus(w, []int{1, 11, 21}[i], "POST", "/-/purge", "", body); st != 200 {
			t.Fatalf("%s: %d", body, st)
		}
		time.Sleep(100 * time.Millisecond)
		for _, n := range []int{11, 12} {
			if !is(n, "/c/x", fmt.Sprint("/c/x version ", 3+i)) {
				t.Fatalf("after %s front %d serves an older version", body, n)
			}
		}
	}
	if st := operateStatus(w, 2, "POST", "/-/purge", "", `{"Tag":"held-by-nothing"}`); st != 200 {
		t.Fatal(st)
	}
	for _, bad := range []string{`{}`, `{"Tag":"a","HostName":"b","Path":"/"}`, `nonsense`, `{"HostName":"b"}`} {
		if st := operateStatus(w, 2, "POST", "/-/purge", "", bad); st != 400 {
			t.Errorf("%s: %d", bad, st)
		}
	}
	if st := operateStatus(w, 2, "POST", "/-/purge", "", `{"Tag":"`+strings.Repeat("x", control.MaxPurgeBytes)+`"}`); st != 413 {
		t.Errorf("an oversize purge: %d", st)
	}
	// A larder is lost: the next in line fetches; struck off, its part goes to the other.
	w.Kill("21")
	for i := 0; i < 6; i++ {
		path := fmt.Sprint("/c/lost", i)
		if !is(11, path, path+" version 5") {
			t.Fatalf("with one larder lost: %s", path)
		}
	}
	w.Eventually("the other has the whole ceiling", func() bool {
		part, ok := w.Nodes["22"].Front().QuotaShare()
		return ok && part == 1
	})
	// It comes back, and gets its part once the other has given it up.
	w.StartNode(21, false, 1, 2, 3)
	w.Eventually("both have their part", func() bool {
		a, ok1 := w.Nodes["21"].Front().QuotaShare()
		b, ok2 := w.Nodes["22"].Front().QuotaShare()
		if ok1 && a+b > 1 {
			t.Fatalf("parts of %v and %v", a, b)
		}
		return ok1 && ok2 && a == 0.5 && b == 0.5
	})
	// All are lost: the fronts fetch, sparingly.
	w.Kill("21")
	w.Kill("22")
	w.Eventually("fronts fetch themselves", func() bool { return is(11, "/c/alone", "/c/alone version 5") })
	if part, ok := w.Nodes["11"].Front().QuotaShare(); !ok || part > front.FrontFetchShare/2 {
		t.Fatalf("a front has a part of %v", part)
	}
	// An answer that is broken or carries no stamp is not kept.
	origin.SetMode("nostamp")
	before := origin.RunCount()
	if r, _, _ := w.Request(12, "GET", "/c/broken", ""); r.StatusCode < 300 {
		t.Fatalf("an answer without a stamp was handed on: %d", r.StatusCode)
	}
	origin.SetMode("")
	w.Eventually("it is fetched anew", func() bool { return is(12, "/c/broken", "/c/broken version 5") })
	if origin.RunCount() <= before+1 {
		t.Fatal("an answer without a stamp was kept")
	}
	// A change of named items: one whole version, known when it is sent again.
	patch := `{"Version":4,"SetItems":{"Routes":[{"Name":"c","HostName":"a.example","PathPrefix":"/c/","RouteKind":"cached","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"origin","CacheLifetimeS":9}]},"RemoveNames":{"Routes":["u"]}}`
	for i := 0; i < 2; i++ {
		if st := operateStatus(w, 1+i, "PATCH", "/-/configuration", "3", patch); st != 200 {
			t.Fatalf("patch, time %d: %d", i, st)
		}
	}
	if st := operateStatus(w, 3, "PATCH", "/-/configuration", "3", strings.Replace(patch, "9}", "8}", 1)); st != 412 {
		t.Fatalf("another patch on the same base: %d", st)
	}
	if st := operateStatus(w, 3, "PATCH", "/-/configuration", "4", `{"Version":5,"RemoveNames":{"Services":["origin"]}}`); st != 400 {
		t.Fatalf("a patch that leaves an invalid whole: %d", st)
	}
	if st, body := w.PutConfiguration(2, "GET", "", ""); st != 200 || strings.Contains(body, `"Name":"u"`) || !strings.Contains(body, `"CacheLifetimeS":9`) || !strings.Contains(body, `"Version":4`) {
		t.Fatalf("read back: %d %s", st, body)
	}
}
