package lodge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/events"
)

func TestMain(m *testing.M) {
	events.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func (w *town) ready(n int) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:8081/-/ready", w.ip(n)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// start runs three huts and two fronts over two shards and a plain service.
func start(t *testing.T) (*town, map[string]*searcher) {
	w := newTown(t)
	s := map[string]*searcher{}
	for _, id := range []string{"s1-a", "s1-b", "s2-a", "s2-b", "plain-a", "plain-b"} {
		s[id] = w.searcher(strings.Split(id, "-")[0], id)
	}
	for _, n := range []int{1, 2, 3, 11, 12} {
		w.run(n, true, 1, 2, 3)
	}
	w.eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.control(2, "PUT", "0", configBody(3, "s1", "s2"))
		return status == 200
	})
	w.eventually("the fronts are ready and know the searchers", func() bool {
		for _, n := range []int{11, 12} {
			if !w.ready(n) {
				return false
			}
			if r, _, _ := w.ask(n, "GET", "/g/x", ""); r.StatusCode != 200 || r.Header.Get("Swiftswitch-Missing-Parts") != "" {
				return false
			}
			if r, _, _ := w.ask(n, "GET", "/p/x", ""); r.StatusCode != 200 {
				return false
			}
		}
		return true
	})
	return w, s
}

func TestWholePath(t *testing.T) {
	w, s := start(t)
	r, body, id := w.ask(11, "GET", "/g/find?q=1", "")
	stamps := strings.Split(r.Header.Get("Swiftswitch-Part-Stamps"), ", ")
	if r.StatusCode != 200 || len(stamps) != 2 || !bytes.Equal(body, top(7, "s1", "s2")) {
		t.Fatalf("gathered: %d %v %x", r.StatusCode, r.Header, body)
	}
	for _, st := range stamps {
		if !strings.Contains(st, id) {
			t.Fatalf("a stamp of another request: %s", st)
		}
	}
	r, body, _ = w.ask(12, "POST", "/p/a%2F..//b?x=%20", "payload")
	if r.StatusCode != 200 || !bytes.Equal(body, records("plain")) || len(r.Header["X-Kept"]) != 2 || r.Header.Get("Swiftswitch-Server-Stamp") == "" {
		t.Fatalf("plain: %d %v", r.StatusCode, r.Header)
	}
	runs := append(s["plain-a"].runs, s["plain-b"].runs...)
	if !strings.Contains(strings.Join(runs, "\n"), "POST /p/a%2F..//b?x=%20 r") || !strings.Contains(strings.Join(runs, "\n"), " payload") {
		t.Fatalf("it arrived changed: %v", runs)
	}
	if r, _, _ := w.ask(11, "GET", "/none/", ""); r.StatusCode != 404 {
		t.Fatalf("no route: %d", r.StatusCode)
	}
	if r, _, _ := w.ask(11, "POST", "/p/x", strings.Repeat("x", 1001)); r.StatusCode != 413 {
		t.Fatalf("large body: %d", r.StatusCode)
	}
	if r, _, _ := w.ask(11, "GET", "/p/"+strings.Repeat("x", 5000), ""); r.StatusCode != 431 && r.StatusCode != 0 {
		t.Fatalf("large header: %d", r.StatusCode)
	}
	// Raw requests whose end is in doubt reach nobody.
	before := s["plain-a"].ran() + s["plain-b"].ran()
	for _, raw := range []string{
		"POST /p/x HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /p/smuggled HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q2\r\n\r\n",
		"POST /p/x HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q3\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"GET /p/x HTTP/1.1\r\nHost : a.example\r\n\r\n",
		"\x16\x03\x01 nonsense\r\n\r\n",
	} {
		c, err := net.Dial("tcp", w.ip(11)+":8080")
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
	if n := s["plain-a"].ran() + s["plain-b"].ran(); n != before {
		t.Fatalf("%d doubtful requests ran", n-before)
	}
	// The operator's limits in time: half a header is cut off, an idle connection later.
	for raw, within := range map[string][2]time.Duration{
		"GET /p/x HTTP/1.1\r\nHost: a.ex":                                              {800 * time.Millisecond, 2 * time.Second},
		"GET /none/ HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: q9\r\n\r\n": {2500 * time.Millisecond, 5 * time.Second},
	} {
		c, err := net.Dial("tcp", w.ip(11)+":8080")
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
	w, s := start(t)
	time.Sleep(2200 * time.Millisecond) // a node that just started has no slack
	for _, mode := range []string{"500", "cut", "notrun", "slow", "nostamp", "surplus"} {
		s["s1-a"].set(mode)
		s["plain-a"].set(mode)
		for i := 0; i < 12; i++ {
			r, body, _ := w.ask(11, "GET", "/g/x", "")
			if r.StatusCode != 200 || r.Header.Get("Swiftswitch-Missing-Parts") == "" && !bytes.Equal(body, top(7, "s1", "s2")) ||
				r.Header.Get("Swiftswitch-Missing-Parts") == "1" && !bytes.Equal(body, top(5, "s2")) {
				t.Fatalf("%s: gathered %d %v", mode, r.StatusCode, r.Header)
			}
			if r, body, _ := w.ask(12, "GET", "/p/x", ""); r.StatusCode != 200 || !bytes.Equal(body, records("plain")) {
				t.Fatalf("%s: plain %d %q", mode, r.StatusCode, body)
			}
		}
		s["s1-a"].set("")
		s["plain-a"].set("")
	}
	// Unsafe requests run at most once, whatever happens.
	s["plain-a"].set("cut")
	s["plain-b"].set("cut")
	for i := 0; i < 5; i++ {
		before := s["plain-a"].ran() + s["plain-b"].ran()
		r, _, _ := w.ask(11, "POST", "/u/x", "once")
		if n := s["plain-a"].ran() + s["plain-b"].ran() - before; n > 1 || n == 1 && (r.StatusCode == 503 || r.StatusCode == 200) {
			t.Fatalf("ran %d times, status %d", n, r.StatusCode)
		}
	}
	// A searcher that drains gets nothing more.
	s["plain-a"].set("")
	s["plain-b"].set("")
	w.mark("plain-a", "draining")
	time.Sleep(700 * time.Millisecond)
	before := s["plain-a"].ran()
	for i := 0; i < 10; i++ {
		if r, _, _ := w.ask(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("with one searcher draining: %d", r.StatusCode)
		}
	}
	if s["plain-a"].ran() != before {
		t.Fatal("a draining searcher got requests")
	}
}

func TestOperator(t *testing.T) {
	w, _ := start(t)
	if st, body := w.control(3, "GET", "", ""); st != 200 || body != configBody(3, "s1", "s2") {
		t.Fatalf("read back: %d %q", st, body)
	}
	for what, c := range map[string][3]string{
		"not json":          {"3", "nonsense", "400"},
		"truncated":         {"3", configBody(5, "s1")[:80], "400"},
		"not above":         {"3", configBody(3, "s1"), "400"},
		"no If-Match":       {"", configBody(5, "s1"), "400"},
		"an older base":     {"2", configBody(5, "s1"), "412"},
		"a base to come":    {"9", configBody(11, "s1"), "412"},
		"an unknown one":    {"3", strings.Replace(configBody(5, "s1"), `["s1"]`, `["w"]`, 1), "400"},
		"resent, other":     {"0", configBody(3, "s1"), "412"},
		"resent as it was":  {"0", configBody(3, "s1", "s2"), "200"},
		"put with no route": {"3", `{"Version":4,"Routes":[{"Name":"x"}]}`, "400"},
	} {
		if st, body := w.control(1, "PUT", c[0], c[1]); fmt.Sprint(st) != c[2] {
			t.Errorf("%s: %d %s", what, st, body)
		}
	}
	// Any node takes control calls and passes on what it can't settle.
	if st, body := w.control(11, "PUT", "3", configBody(6, "s1", "s2")); st != 200 {
		t.Fatalf("by way of a front: %d %s", st, body)
	}
	if st, body := w.control(12, "GET", "", ""); st != 200 || body != configBody(6, "s1", "s2") {
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
				st[k], _ = w.control(1+k, "PUT", fmt.Sprint(base), configBody(base+1+k, "s1", "s2"))
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
		if got, body := w.control(3, "GET", "", ""); got != 200 || body != configBody(base, "s1", "s2") {
			t.Fatalf("race %d: the winner is not in force", i)
		}
	}
	// Malformed messages of nodes are refused.
	for _, path := range []string{PathConsensus, PathLearn, PathHeartbeat, PathTable, PathJoin, PathWatch, PathShuffle, PathLease, PathTableFetch} {
		resp, err := http.Post(fmt.Sprintf("http://%s:%d%s", w.ip(1), w.port, path), "application/json", strings.NewReader(`{"Slot":"x"`))
		if err != nil || resp.StatusCode != 400 {
			t.Errorf("%s: %v %v", path, resp, err)
		}
	}
}

func TestCutSwitch(t *testing.T) {
	w, s := start(t)
	for _, id := range []string{"n1-a", "n1-b", "n2-a", "n2-b", "n3-a"} {
		s[id] = w.searcher(strings.Split(id, "-")[0], id)
	}
	time.Sleep(500 * time.Millisecond)
	if st, body := w.control(1, "PUT", "3", configBody(5, "n1", "n2")); st != 200 {
		t.Fatalf("%d %s", st, body)
	}
	old := 0
	w.eventually("the new cut serves on both fronts", func() bool {
		n := 0
		for _, f := range []int{11, 12} {
			r, body, _ := w.ask(f, "GET", "/g/x", "")
			switch {
			case r.StatusCode == 200 && bytes.Equal(body, top(7, "n1", "n2")):
				n++
			case r.StatusCode == 200 && bytes.Equal(body, top(7, "s1", "s2")):
				old++
			default:
				t.Fatalf("neither cut: %d %v", r.StatusCode, r.Header)
			}
		}
		return n == 2
	})
	before := s["s1-a"].ran() + s["s1-b"].ran()
	for i := 0; i < 5; i++ {
		w.ask(11, "GET", "/g/x", "")
	}
	if s["s1-a"].ran()+s["s1-b"].ran() != before {
		t.Fatal("the old cut still gets queries")
	}
	// A shard that never has R searchers does not hold the switch up.
	at := time.Now()
	if st, body := w.control(1, "PUT", "5", configBody(8, "n1", "n3")); st != 200 {
		t.Fatalf("%d %s", st, body)
	}
	w.eventually("the unready cut serves", func() bool {
		_, body, _ := w.ask(11, "GET", "/g/x", "")
		return bytes.Equal(body, top(7, "n1", "n3"))
	})
	if took := time.Since(at); took > time.Second {
		t.Fatalf("the switch took %v", took)
	}
}

func TestLostDiskAndReplacedHut(t *testing.T) {
	w, _ := start(t)
	if st, _ := w.control(1, "PUT", "3", configBody(4, "s1", "s2")); st != 200 {
		t.Fatal(st)
	}
	// Hut 1 loses its disk right after it acknowledged.
	w.stop("1")
	w.dirs["hut-1"] = t.TempDir()
	w.run(1, false, 2, 3)
	w.eventually("the empty hut votes under a new identity", func() bool {
		s := w.nodes["2"].control.State()
		return s.IsVoter(w.nodes["1"].control.acceptor.ID) && len(s.Voters) == 3
	})
	if st, body := w.control(1, "GET", "", ""); st != 200 || body != configBody(4, "s1", "s2") {
		t.Fatalf("after a lost disk: %d %q", st, body)
	}
	// Hut 3 goes for good; an empty one comes at another address.
	w.stop("3")
	w.run(4, false, 1, 2)
	w.eventually("the new hut has the place of the one that is gone", func() bool {
		s := w.nodes["1"].control.State()
		return s.IsVoter(w.nodes["4"].control.acceptor.ID) && len(s.Voters) == 3
	})
	w.eventually("changes go on", func() bool {
		st, _ := w.control(4, "PUT", "4", configBody(5, "s1", "s2"))
		return st == 200
	})
	// A minority acknowledges nothing and does not pretend to know.
	w.stop("1")
	w.stop("2")
	if st, _ := w.control(4, "PUT", "5", configBody(6, "s1", "s2")); st == 200 {
		t.Fatal("a minority acknowledged")
	}
	if st, _ := w.control(4, "PUT", "5", "nonsense"); st != 400 {
		t.Fatalf("an invalid configuration in a minority: %d", st)
	}
	if st, _ := w.control(4, "GET", "", ""); st == 200 {
		t.Fatal("a minority answered a read")
	}
	if r, _, _ := w.ask(11, "GET", "/g/x", ""); r.StatusCode != 200 {
		t.Fatal("the front does not serve by the last configuration")
	}
	// All come back from their disks, with other seeds than at first.
	w.stop("4")
	defer func() {
		// The fronts are known to be two before either has been heard.
		n, before := w.nodes["2"].control, 0
		n.loop.Call(func() { before = n.inheritedFrontCount })
		if before != 2 {
			t.Errorf("%d fronts are remembered", before)
		}
	}()
	w.run(4, false, 2)
	w.run(1, false, 4)
	w.run(2, false, 4, 1)
	w.eventually("the newest acknowledged version is read back", func() bool {
		st, body := w.control(2, "GET", "", "")
		return st == 200 && (body == configBody(5, "s1", "s2") || body == configBody(6, "s1", "s2"))
	})
}

// Two disks of five lost right after an acknowledgement, the other machines
// without power at the same moment: nothing acknowledged is gone. What the
// holder of the duty does after it came back at once is not taken for old.
func TestFiveHutsLoseTwoDisks(t *testing.T) {
	w := newTown(t)
	w.losses = 2
	s := w.searcher("plain", "plain-a")
	w.searcher("plain", "plain-b")
	w.searcher("s1", "s1-a")
	for _, n := range []int{1, 2, 3, 4, 5, 11} {
		w.run(n, true, 1, 2, 3)
	}
	w.eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.control(2, "PUT", "0", configBody(3, "s1"))
		return status == 200
	})
	if v := w.nodes["2"].control.State().Voters; len(v) != 5 {
		t.Fatalf("acknowledged with %d voters", len(v))
	}
	if st, _ := w.control(4, "PUT", "3", configBody(4, "s1")); st != 200 {
		t.Fatal(st)
	}
	w.eventually("the front serves", func() bool { r, _, _ := w.ask(11, "GET", "/p/x", ""); return r.StatusCode == 200 })
	for n := 1; n <= 5; n++ {
		w.stop(fmt.Sprint(n))
	}
	w.dirs["hut-1"], w.dirs["hut-4"] = t.TempDir(), t.TempDir()
	for n := 1; n <= 5; n++ {
		w.run(n, false, 1, 2, 3)
	}
	w.eventually("what was acknowledged is read back", func() bool {
		st, body := w.control(1, "GET", "", "")
		return st == 200 && body == configBody(4, "s1")
	})
	w.eventually("the empty disks vote under new identities", func() bool {
		st := w.nodes["3"].control.State()
		return st.IsVoter(w.nodes["1"].control.acceptor.ID) && st.IsVoter(w.nodes["4"].control.acceptor.ID) && len(st.Voters) == 5
	})
	// Each holder of the duty in turn is killed and back at once; what drains
	// in that moment is noticed all the same.
	for i := 0; i < 3; i++ {
		holder := 0
		w.eventually("somebody polls", func() bool {
			for n := 1; n <= 5; n++ {
				if h := w.nodes[fmt.Sprint(n)].control; h.Status().Polling {
					holder = n
					return true
				}
			}
			return false
		})
		before := w.nodes[fmt.Sprint(holder)].control.Status().Epoch
		w.stop(fmt.Sprint(holder))
		state := "draining"
		if i%2 == 1 {
			state = "ready"
			w.mu.Lock()
			delete(w.list, "plain-a")
			w.mu.Unlock()
		}
		w.mark("plain-a", state)
		w.run(holder, false, 1, 2, 3)
		w.eventually("a new epoch is taken", func() bool { return w.nodes["3"].control.Status().Epoch > before })
		time.Sleep(800 * time.Millisecond) // DrainMs
		ran := s.ran()
		for k := 0; k < 6; k++ {
			if r, _, _ := w.ask(11, "GET", "/p/x", ""); r.StatusCode != 200 {
				t.Fatalf("with one searcher draining: %d", r.StatusCode)
			}
		}
		if s.ran() != ran {
			t.Fatal("a leaving went unnoticed")
		}
	}
}

// Shards without a searcher near front 11 are gathered by front 12, where they are.
func TestAcross(t *testing.T) {
	w, s := start(t)
	for _, id := range []string{"f1-far", "f2-far", "f3-far"} {
		s[id] = w.searcher(strings.Split(id, "-")[0], id)
	}
	if st, body := w.control(1, "PUT", "3", configBody(5, "s1", "f1", "f2", "f3")); st != 200 {
		t.Fatalf("%d %s", st, body)
	}
	want := top(7, "s1", "f1", "f2", "f3")
	lent := func() int64 { return w.nodes["12"].front.frontend.Lent() }
	w.eventually("the other front helps", func() bool {
		r, body, _ := w.ask(11, "GET", "/g/x?y=%2F", "")
		return r.StatusCode == 200 && bytes.Equal(body, want) && lent() > 0
	})
	before := lent()
	for i := 0; i < 20; i++ {
		r, body, id := w.ask(11, "GET", "/g/x", "")
		stamps := strings.Split(r.Header.Get("Swiftswitch-Part-Stamps"), ", ")
		if r.StatusCode != 200 || !bytes.Equal(body, want) || len(stamps) != 4 || strings.Count(strings.Join(stamps, " "), id) != 4 {
			t.Fatalf("%d %v", r.StatusCode, r.Header)
		}
	}
	if lent()-before < 15 {
		t.Fatalf("the other front helped with %d of 20", lent()-before)
	}
	// One of the far searchers fails: its part is missing, or tried again, and nothing is mixed.
	s["f2-far"].set("500")
	for i := 0; i < 8; i++ {
		r, body, _ := w.ask(11, "GET", "/g/x", "")
		if r.StatusCode != 200 || r.Header.Get("Swiftswitch-Missing-Parts") != "1" || !bytes.Equal(body, top(7, "s1", "f1", "f3")) {
			t.Fatalf("with one part failing: %d %v", r.StatusCode, r.Header)
		}
	}
	s["f2-far"].set("")
	// Without the other front the searchers are reached directly.
	w.stop("12")
	for i := 0; i < 8; i++ {
		if r, body, _ := w.ask(11, "GET", "/g/x", ""); r.StatusCode != 200 || !bytes.Equal(body, want) {
			t.Fatalf("without the other front: %d %v", r.StatusCode, r.Header)
		}
	}
}

func TestReloadAndDrain(t *testing.T) {
	w, s := start(t)
	n := w.nodes["11"]
	// A changed settings file is taken, a bad one is not.
	n.settingsPath = t.TempDir() + "/boot.yaml"
	file := func(seed string) string {
		return fmt.Sprintf("{NodeName: node, IpAddress: %q, Zone: z1, Serves: [], InternalPortRange: [%d, %d], SeedNodes: [%q], HeartbeatIntervalMs: 300, Bounds: {InTouchMs: 1000, AcknowledgeMs: 2500, CatchUpS: 1, DrainMs: 800, GraceS: 2, ConfigEffectMs: 1000, RetryWindowS: 2}}",
			w.ip(11), w.port, w.port+10, seed)
	}
	for _, c := range []struct{ text, want string }{
		{file("10.9.9.9:1"), "10.9.9.9:1"},
		{file("nowhere"), "10.9.9.9:1"},
		{"{", "10.9.9.9:1"},
		{strings.Replace(file("10.9.9.8:1"), w.ip(11), "10.1.1.1", 1), "10.9.9.9:1"},
		{file("10.9.9.7:1"), "10.9.9.7:1"},
	} {
		if err := os.WriteFile(n.settingsPath, []byte(c.text), 0o644); err != nil {
			t.Fatal(err)
		}
		n.reload()
		if got := n.Settings().SeedNodes[0]; got != c.want {
			t.Fatalf("after %s the seed is %s", c.text, got)
		}
	}
	// What is under way ends well, within GraceS; new connections are sent elsewhere.
	s["plain-a"].set("slow")
	s["plain-b"].set("slow")
	type end struct {
		status int
		last   bool
	}
	got := make(chan end)
	go func() {
		r, _, _ := w.ask(11, "GET", "/p/x", "")
		got <- end{r.StatusCode, r.Close}
	}()
	time.Sleep(100 * time.Millisecond)
	delete(w.nodes, "11")
	begun := time.Now()
	done := make(chan time.Duration)
	go func() { n.drain(); done <- time.Since(begun) }()
	time.Sleep(100 * time.Millisecond)
	if w.ready(11) {
		t.Fatal("a leaving front calls itself ready")
	}
	if e := <-got; e.status != 200 || !e.last {
		t.Fatalf("a request under way ended with %+v", e)
	}
	if took := <-done; took > 2*time.Second {
		t.Fatalf("leaving took %v", took)
	}
	if _, err := net.DialTimeout("tcp", w.ip(11)+":8080", time.Second); err == nil {
		t.Fatal("a front that left still listens")
	}
}
