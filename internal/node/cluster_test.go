package node_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/events"
)

func TestMain(m *testing.M) {
	events.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func TestWholePath(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	r, body, id := w.Request(11, "GET", "/g/find?q=1", "")
	stamps := strings.Split(r.Header.Get("Swiftswitch-Part-Stamps"), ", ")
	if r.StatusCode != 200 || len(stamps) != 2 || !bytes.Equal(body, testcluster.TopRecords(7, "s1", "s2")) {
		t.Fatalf("gathered: %d %v %x", r.StatusCode, r.Header, body)
	}
	for _, st := range stamps {
		if !strings.Contains(st, id) {
			t.Fatalf("a stamp of another request: %s", st)
		}
	}
	r, body, _ = w.Request(12, "POST", "/p/a%2F..//b?x=%20", "payload")
	if r.StatusCode != 200 || !bytes.Equal(body, testcluster.Records("plain")) || len(r.Header["X-Kept"]) != 2 || r.Header.Get("Swiftswitch-Server-Stamp") == "" {
		t.Fatalf("plain: %d %v", r.StatusCode, r.Header)
	}
	runs := append(s["plain-a"].Executed, s["plain-b"].Executed...)
	if !strings.Contains(strings.Join(runs, "\n"), "POST /p/a%2F..//b?x=%20 r") || !strings.Contains(strings.Join(runs, "\n"), " payload") {
		t.Fatalf("it arrived changed: %v", runs)
	}
	if r, _, _ := w.Request(11, "GET", "/none/", ""); r.StatusCode != 404 {
		t.Fatalf("no route: %d", r.StatusCode)
	}
	if r, _, _ := w.Request(11, "POST", "/p/x", strings.Repeat("x", 1001)); r.StatusCode != 413 {
		t.Fatalf("large body: %d", r.StatusCode)
	}
	if r, _, _ := w.Request(11, "GET", "/p/"+strings.Repeat("x", 5000), ""); r.StatusCode != 431 && r.StatusCode != 0 {
		t.Fatalf("large header: %d", r.StatusCode)
	}
	// Raw requests whose end is in doubt reach nobody.
	before := s["plain-a"].RunCount() + s["plain-b"].RunCount()
	for _, raw := range []string{
		"POST /p/x HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /p/smuggled HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q2\r\n\r\n",
		"POST /p/x HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q3\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"GET /p/x HTTP/1.1\r\nHost : a.example\r\n\r\n",
		"\x16\x03\x01 nonsense\r\n\r\n",
	} {
		c, err := net.Dial("tcp", w.IP(11)+":8080")
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = fmt.Fprint(c, raw)
		got, _ := io.ReadAll(c)
		_ = c.Close()
		if !strings.HasPrefix(string(got), "HTTP/1.1 400") || strings.Count(string(got), "HTTP/1.1") != 1 {
			t.Errorf("%q got %q", raw, got)
		}
	}
	if n := s["plain-a"].RunCount() + s["plain-b"].RunCount(); n != before {
		t.Fatalf("%d doubtful requests ran", n-before)
	}
	// The operator's limits in time: half a header is cut off, an idle connection later.
	for raw, within := range map[string][2]time.Duration{
		"GET /p/x HTTP/1.1\r\nHost: a.ex":                                              {800 * time.Millisecond, 2 * time.Second},
		"GET /none/ HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q9\r\n\r\n": {2500 * time.Millisecond, 5 * time.Second},
	} {
		c, err := net.Dial("tcp", w.IP(11)+":8080")
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		_, _ = fmt.Fprint(c, raw)
		at := time.Now()
		_, err = io.Copy(io.Discard, c)
		_ = c.Close()
		if took := time.Since(at); err != nil || took < within[0] || took > within[1] {
			t.Errorf("%q was cut off after %v: %v", raw, took, err)
		}
	}
}

func TestSearchersInTrouble(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	time.Sleep(2200 * time.Millisecond) // a node that just started has no slack
	for _, mode := range []string{"500", "cut", "notrun", "slow", "nostamp", "surplus"} {
		s["s1-a"].SetMode(mode)
		s["plain-a"].SetMode(mode)
		for i := 0; i < 12; i++ {
			r, body, _ := w.Request(11, "GET", "/g/x", "")
			if r.StatusCode != 200 || r.Header.Get("Swiftswitch-Missing-Parts") == "" && !bytes.Equal(body, testcluster.TopRecords(7, "s1", "s2")) ||
				r.Header.Get("Swiftswitch-Missing-Parts") == "1" && !bytes.Equal(body, testcluster.TopRecords(5, "s2")) {
				t.Fatalf("%s: gathered %d %v", mode, r.StatusCode, r.Header)
			}
			if r, body, _ := w.Request(12, "GET", "/p/x", ""); r.StatusCode != 200 || !bytes.Equal(body, testcluster.Records("plain")) {
				t.Fatalf("%s: plain %d %q", mode, r.StatusCode, body)
			}
		}
		s["s1-a"].SetMode("")
		s["plain-a"].SetMode("")
	}
	// Unsafe requests run at most once, whatever happens.
	s["plain-a"].SetMode("cut")
	s["plain-b"].SetMode("cut")
	for i := 0; i < 5; i++ {
		before := s["plain-a"].RunCount() + s["plain-b"].RunCount()
		r, _, _ := w.Request(11, "POST", "/u/x", "once")
		if n := s["plain-a"].RunCount() + s["plain-b"].RunCount() - before; n > 1 || n == 1 && (r.StatusCode == 503 || r.StatusCode == 200) {
			t.Fatalf("ran %d times, status %d", n, r.StatusCode)
		}
	}
	// A searcher that drains gets nothing more.
	s["plain-a"].SetMode("")
	s["plain-b"].SetMode("")
	w.SetEndpointState("plain-a", "draining")
	time.Sleep(700 * time.Millisecond)
	before := s["plain-a"].RunCount()
	for i := 0; i < 10; i++ {
		if r, _, _ := w.Request(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("with one searcher draining: %d", r.StatusCode)
		}
	}
	if s["plain-a"].RunCount() != before {
		t.Fatal("a draining searcher got requests")
	}
}

func TestOperator(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	if st, body := w.PutConfiguration(3, "GET", "", ""); st != 200 || body != testcluster.ConfigurationBody(3, "s1", "s2") {
		t.Fatalf("read back: %d %q", st, body)
	}
	for what, c := range map[string][3]string{
		"not json":          {"3", "nonsense", "400"},
		"truncated":         {"3", testcluster.ConfigurationBody(5, "s1")[:80], "400"},
		"not above":         {"3", testcluster.ConfigurationBody(3, "s1"), "400"},
		"no If-Match":       {"", testcluster.ConfigurationBody(5, "s1"), "400"},
		"an older base":     {"2", testcluster.ConfigurationBody(5, "s1"), "412"},
		"a base to come":    {"9", testcluster.ConfigurationBody(11, "s1"), "412"},
		"an unknown one":    {"3", strings.Replace(testcluster.ConfigurationBody(5, "s1"), `["s1"]`, `["w"]`, 1), "400"},
		"resent, other":     {"0", testcluster.ConfigurationBody(3, "s1"), "412"},
		"resent as it was":  {"0", testcluster.ConfigurationBody(3, "s1", "s2"), "200"},
		"put with no route": {"3", `{"Version":4,"Routes":[{"Name":"x"}]}`, "400"},
	} {
		if st, body := w.PutConfiguration(1, "PUT", c[0], c[1]); fmt.Sprint(st) != c[2] {
			t.Errorf("%s: %d %s", what, st, body)
		}
	}
	// Any node takes control calls and passes on what it can't settle.
	if st, body := w.PutConfiguration(11, "PUT", "3", testcluster.ConfigurationBody(6, "s1", "s2")); st != 200 {
		t.Fatalf("by way of a front: %d %s", st, body)
	}
	if st, body := w.PutConfiguration(12, "GET", "", ""); st != 200 || body != testcluster.ConfigurationBody(6, "s1", "s2") {
		t.Fatalf("read by way of a front: %d", st)
	}
	// Two operators on one base at different nodes: one wins.
	base := 6
	for i := 0; i < 4; i++ {
		var wg sync.WaitGroup
		var st [2]int
		for k := range st {
			wg.Add(1)
			go func() {
				defer wg.Done()
				st[k], _ = w.PutConfiguration(1+k, "PUT", fmt.Sprint(base), testcluster.ConfigurationBody(base+1+k, "s1", "s2"))
			}()
		}
		wg.Wait()
		if !(st[0] == 200 && st[1] == 412 || st[0] == 412 && st[1] == 200) {
			t.Fatalf("race %d: %v", i, st)
		}
		if st[0] == 200 {
			base++
		} else {
			base += 2
		}
		if got, body := w.PutConfiguration(3, "GET", "", ""); got != 200 || body != testcluster.ConfigurationBody(base, "s1", "s2") {
			t.Fatalf("race %d: the winner is not in force", i)
		}
	}
	// Malformed messages of nodes are refused.
	for _, path := range []string{nodeapi.PathConsensus, nodeapi.PathLearn, nodeapi.PathHeartbeat, nodeapi.PathTable, nodeapi.PathJoin, nodeapi.PathWatch, nodeapi.PathShuffle, nodeapi.PathLease, nodeapi.PathTableFetch} {
		resp, err := http.Post(fmt.Sprintf("http://%s:%d%s", w.IP(1), w.Port, path), "application/json", strings.NewReader(`{"Slot":"x"`))
		if err != nil || resp.StatusCode != 400 {
			t.Errorf("%s: %v %v", path, resp, err)
		}
	}
}

func TestCutSwitch(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	for _, id := range []string{"n1-a", "n1-b", "n2-a", "n2-b", "n3-a"} {
		s[id] = w.AddEndpoint(strings.Split(id, "-")[0], id)
	}
	time.Sleep(500 * time.Millisecond)
	if st, body := w.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(5, "n1", "n2")); st != 200 {
		t.Fatalf("%d %s", st, body)
	}
	old := 0
	w.Eventually("the new cut serves on both fronts", func() bool {
		n := 0
		for _, f := range []int{11, 12} {
			r, body, _ := w.Request(f, "GET", "/g/x", "")
			switch {
			case r.StatusCode == 200 && bytes.Equal(body, testcluster.TopRecords(7, "n1", "n2")):
				n++
			case r.StatusCode == 200 && bytes.Equal(body, testcluster.TopRecords(7, "s1", "s2")):
				old++
			default:
				t.Fatalf("neither cut: %d %v", r.StatusCode, r.Header)
			}
		}
		return n == 2
	})
	before := s["s1-a"].RunCount() + s["s1-b"].RunCount()
	for i := 0; i < 5; i++ {
		w.Request(11, "GET", "/g/x", "")
	}
	if s["s1-a"].RunCount()+s["s1-b"].RunCount() != before {
		t.Fatal("the old cut still gets queries")
	}
	// A shard that never has R searchers does not hold the switch up.
	at := time.Now()
	if st, body := w.PutConfiguration(1, "PUT", "5", testcluster.ConfigurationBody(8, "n1", "n3")); st != 200 {
		t.Fatalf("%d %s", st, body)
	}
	w.Eventually("the unready cut serves", func() bool {
		_, body, _ := w.Request(11, "GET", "/g/x", "")
		return bytes.Equal(body, testcluster.TopRecords(7, "n1", "n3"))
	})
	if took := time.Since(at); took > time.Second {
		t.Fatalf("the switch took %v", took)
	}
}

// Two disks of five lost right after an acknowledgement, the other machines
// without power at the same moment: nothing acknowledged is gone. What the
// holder of the duty does after it came back at once is not taken for old.
func TestFiveHutsLoseTwoDisks(t *testing.T) {
	w := testcluster.New(t)
	w.ToleratedLosses = 2
	s := w.AddEndpoint("plain", "plain-a")
	w.AddEndpoint("plain", "plain-b")
	w.AddEndpoint("s1", "s1-a")
	for _, n := range []int{1, 2, 3, 4, 5, 11} {
		w.StartNode(n, true, 1, 2, 3)
	}
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == 200
	})
	if v := w.Nodes["2"].Control().State().Voters; len(v) != 5 {
		t.Fatalf("acknowledged with %d voters", len(v))
	}
	if st, _ := w.PutConfiguration(4, "PUT", "3", testcluster.ConfigurationBody(4, "s1")); st != 200 {
		t.Fatal(st)
	}
	w.Eventually("the front serves", func() bool { r, _, _ := w.Request(11, "GET", "/p/x", ""); return r.StatusCode == 200 })
	for n := 1; n <= 5; n++ {
		w.Kill(fmt.Sprint(n))
	}
	w.DataDirs["hut-1"], w.DataDirs["hut-4"] = t.TempDir(), t.TempDir()
	for n := 1; n <= 5; n++ {
		w.StartNode(n, false, 1, 2, 3)
	}
	w.Eventually("what was acknowledged is read back", func() bool {
		st, body := w.PutConfiguration(1, "GET", "", "")
		return st == 200 && body == testcluster.ConfigurationBody(4, "s1")
	})
	w.Eventually("the empty disks vote under new identities", func() bool {
		st := w.Nodes["3"].Control().State()
		return st.IsVoter(w.Nodes["1"].Control().ID()) && st.IsVoter(w.Nodes["4"].Control().ID()) && len(st.Voters) == 5
	})
	// Each holder of the duty in turn is killed and back at once; what drains
	// in that moment is noticed all the same.
	for i := 0; i < 3; i++ {
		holder := 0
		w.Eventually("somebody polls", func() bool {
			for n := 1; n <= 5; n++ {
				if h := w.Nodes[fmt.Sprint(n)].Control(); h.Status().HoldsLease {
					holder = n
					return true
				}
			}
			return false
		})
		before := w.Nodes[fmt.Sprint(holder)].Control().Status().LeaseEpoch
		w.Kill(fmt.Sprint(holder))
		state := "draining"
		if i%2 == 1 {
			state = "ready"
			w.RemoveEndpoint("plain-a")
		}
		w.SetEndpointState("plain-a", state)
		w.StartNode(holder, false, 1, 2, 3)
		w.Eventually("a new epoch is taken", func() bool { return w.Nodes["3"].Control().Status().LeaseEpoch > before })
		time.Sleep(800 * time.Millisecond) // DrainMs
		ran := s.RunCount()
		for k := 0; k < 6; k++ {
			if r, _, _ := w.Request(11, "GET", "/p/x", ""); r.StatusCode != 200 {
				t.Fatalf("with one searcher draining: %d", r.StatusCode)
			}
		}
		if s.RunCount() != ran {
			t.Fatal("a leaving went unnoticed")
		}
	}
}

// Shards without a searcher near front 11 are gathered by front 12, where they are.
func TestAcross(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	for _, id := range []string{"f1-far", "f2-far", "f3-far"} {
		s[id] = w.AddEndpoint(strings.Split(id, "-")[0], id)
	}
	if st, body := w.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(5, "s1", "f1", "f2", "f3")); st != 200 {
		t.Fatalf("%d %s", st, body)
	}
	want := testcluster.TopRecords(7, "s1", "f1", "f2", "f3")
	lent := func() int64 { return w.Nodes["12"].Front().Status().Relayed }
	w.Eventually("the other front helps", func() bool {
		r, body, _ := w.Request(11, "GET", "/g/x?y=%2F", "")
		return r.StatusCode == 200 && bytes.Equal(body, want) && lent() > 0
	})
	before := lent()
	for i := 0; i < 20; i++ {
		r, body, id := w.Request(11, "GET", "/g/x", "")
		stamps := strings.Split(r.Header.Get("Swiftswitch-Part-Stamps"), ", ")
		if r.StatusCode != 200 || !bytes.Equal(body, want) || len(stamps) != 4 || strings.Count(strings.Join(stamps, " "), id) != 4 {
			t.Fatalf("%d %v", r.StatusCode, r.Header)
		}
	}
	if lent()-before < 15 {
		t.Fatalf("the other front helped with %d of 20", lent()-before)
	}
	// One of the far searchers fails: its part is missing, or tried again, and nothing is mixed.
	s["f2-far"].SetMode("500")
	for i := 0; i < 8; i++ {
		r, body, _ := w.Request(11, "GET", "/g/x", "")
		if r.StatusCode != 200 || r.Header.Get("Swiftswitch-Missing-Parts") != "1" || !bytes.Equal(body, testcluster.TopRecords(7, "s1", "f1", "f3")) {
			t.Fatalf("with one part failing: %d %v", r.StatusCode, r.Header)
		}
	}
	s["f2-far"].SetMode("")
	// Without the other front the searchers are reached directly.
	w.Kill("12")
	for i := 0; i < 8; i++ {
		if r, body, _ := w.Request(11, "GET", "/g/x", ""); r.StatusCode != 200 || !bytes.Equal(body, want) {
			t.Fatalf("without the other front: %d %v", r.StatusCode, r.Header)
		}
	}
}

func TestReloadAndDrain(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	n := w.Nodes["11"]
	// A changed settings file is taken, a bad one is not.
	n.SetSettingsPath(t.TempDir() + "/boot.yaml")
	file := func(seed string) string {
		return fmt.Sprintf("{NodeName: node, IpAddress: %q, Zone: z1, Serves: [], InternalPortRange: [%d, %d], SeedNodes: [%q], HeartbeatIntervalMs: 300, Bounds: {InTouchMs: 1000, AcknowledgeMs: 2500, CatchUpS: 1, DrainMs: 800, GraceS: 2, ConfigEffectMs: 1000, RetryWindowS: 2}}",
			w.IP(11), w.Port, w.Port+10, seed)
	}
	for _, c := range []struct{ text, want string }{
		{file("10.9.9.9:1"), "10.9.9.9:1"},
		{file("nowhere"), "10.9.9.9:1"},
		{"{", "10.9.9.9:1"},
		{strings.Replace(file("10.9.9.8:1"), w.IP(11), "10.1.1.1", 1), "10.9.9.9:1"},
		{file("10.9.9.7:1"), "10.9.9.7:1"},
	} {
		if err := os.WriteFile(n.SettingsPath(), []byte(c.text), 0o644); err != nil {
			t.Fatal(err)
		}
		n.Reload()
		if got := n.Settings().SeedNodes[0]; got != c.want {
			t.Fatalf("after %s the seed is %s", c.text, got)
		}
	}
	// What is under way ends well, within GraceS; new connections are sent elsewhere.
	s["plain-a"].SetMode("slow")
	s["plain-b"].SetMode("slow")
	type end struct {
		status int
		last   bool
	}
	got := make(chan end)
	go func() {
		r, _, _ := w.Request(11, "GET", "/p/x", "")
		got <- end{status: r.StatusCode, last: r.Close}
	}()
	time.Sleep(100 * time.Millisecond)
	delete(w.Nodes, "11")
	begun := time.Now()
	done := make(chan time.Duration)
	go func() { n.Drain(); done <- time.Since(begun) }()
	time.Sleep(100 * time.Millisecond)
	if w.IsFrontReady(11) {
		t.Fatal("a leaving front calls itself ready")
	}
	if e := <-got; e.status != 200 || !e.last {
		t.Fatalf("a request under way ended with %+v", e)
	}
	if took := <-done; took > 2*time.Second {
		t.Fatalf("leaving took %v", took)
	}
	if _, err := net.DialTimeout("tcp", w.IP(11)+":8080", time.Second); err == nil {
		t.Fatal("a front that left still listens")
	}
}
