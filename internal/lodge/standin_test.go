package lodge

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/host"
)

// searcher stands in for one searcher.
type searcher struct {
	id, service string
	zone        string
	version     string
	srv         *httptest.Server
	mu          sync.Mutex
	runs        []string
	mode        string // "", "500", "cut", "notrun", "slow", "surplus", "nostamp"
	// object is the version of the objects that an origin serves; 0: it is none.
	object int
}

func (s *searcher) set(mode string) { s.mu.Lock(); s.mode = mode; s.mu.Unlock() }

func (s *searcher) ran() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.runs) }

// records are the same for all searchers of a service.
func records(service string) []byte {
	var out []byte
	for i := byte(0); i < 5; i++ {
		h := sha256.Sum256(append([]byte(service), i))
		out = append(out, h[:16]...)
	}
	return out
}

func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e := r.Header.Get("Swiftswitch-Expected-Instance"); e != s.id {
		w.WriteHeader(421)
		return
	}
	s.mu.Lock()
	mode := s.mode
	id := r.Header.Get("Swiftswitch-Request-Id")
	if mode != "notrun" {
		s.runs = append(s.runs, r.Method+" "+r.RequestURI+" "+id+" "+string(body))
	}
	stamp := fmt.Sprintf("%s.%s.%d", s.id, id, len(s.runs))
	s.mu.Unlock()
	if mode != "nostamp" {
		w.Header().Set("Swiftswitch-Server-Stamp", stamp)
	}
	w.Header().Set("Swiftswitch-Server-Load", "0,0,2")
	switch mode {
	case "500":
		w.WriteHeader(500)
		return
	case "notrun":
		w.Header().Set("Swiftswitch-Not-Run", "full")
		w.WriteHeader(503)
		return
	case "slow":
		time.Sleep(700 * time.Millisecond)
	case "cut":
		c, _, _ := w.(http.Hijacker).Hijack()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: %s\r\nContent-Length: 80\r\n\r\nshort", stamp)
		_ = c.Close()
		return
	case "surplus":
		c, _, _ := w.(http.Hijacker).Hijack()
		b := records(s.service)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: old\r\nContent-Length: 0\r\n\r\n", stamp, len(b), b)
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
		return
	}
	s.mu.Lock()
	object := s.object
	s.mu.Unlock()
	if object > 0 {
		tag := fmt.Sprintf("%q", fmt.Sprint("v", object))
		w.Header().Set("ETag", tag)
		w.Header().Set("Swiftswitch-Object-Tags", "all t"+r.URL.Path[len(r.URL.Path)-1:])
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(304)
			return
		}
		_, _ = fmt.Fprintf(w, "%s version %d", r.URL.Path, object)
		return
	}
	w.Header().Set("X-Kept", "1")
	w.Header().Add("X-Kept", "2")
	_, _ = w.Write(records(s.service))
}

// town is a whole deployment on loopback: nodes, searchers and the platform's list.
type town struct {
	t        *testing.T
	mu       sync.Mutex
	list     map[string]*searcher
	state    map[string]string
	platform *httptest.Server
	nodes    map[string]*Node
	dirs     map[string]string
	// losses is how many machines may be lost at once.
	losses int
	port   int
	net    string
}

var townNumber = byte(10)

func newTown(t *testing.T) *town {
	townNumber++
	w := &town{t: t, list: map[string]*searcher{}, state: map[string]string{}, nodes: map[string]*Node{}, dirs: map[string]string{}, net: fmt.Sprintf("127.%d.%d.", 7+os.Getpid()%240, townNumber)}
	l, err := net.Listen("tcp4", w.net+"200:0")
	if err != nil {
		t.Fatal(err)
	}
	w.port = l.Addr().(*net.TCPAddr).Port
	_ = l.Close()
	w.platform = httptest.NewServer(http.HandlerFunc(w.instances))
	t.Cleanup(func() {
		for name := range w.nodes {
			w.stop(name)
		}
		w.platform.Close()
		for _, s := range w.list {
			s.srv.CloseClientConnections()
			s.srv.Close()
		}
	})
	return w
}

// instances answers in pages of three.
func (w *town) instances(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id := range w.list {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	from := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &from) // without a token the list begins at 0
	page := map[string]any{"NextPageToken": nil}
	var out []map[string]any
	for i := from; i < len(ids) && i < from+3; i++ {
		s := w.list[ids[i]]
		out = append(out, map[string]any{"InstanceId": s.id, "Service": s.service, "Address": s.srv.Listener.Addr().String(), "Zone": s.zone, "Slots": 2, "State": w.state[s.id], "ColdRemainingMs": 0, "Version": s.version})
	}
	if from+3 < len(ids) {
		page["NextPageToken"] = fmt.Sprintf("p-%d", from+3)
	}
	page["Instances"] = out
	_ = json.NewEncoder(rw).Encode(page)
}

func (w *town) searcher(service, id string) *searcher {
	s := &searcher{id: id, service: service, zone: "z1", version: "v1"}
	if strings.HasSuffix(id, "-new") {
		s.version = "v2"
	}
	if strings.HasSuffix(id, "-far") {
		s.zone = "z2"
	}
	s.srv = httptest.NewServer(s)
	w.mu.Lock()
	w.list[id], w.state[id] = s, "ready"
	w.mu.Unlock()
	return s
}

func (w *town) mark(id, state string) { w.mu.Lock(); w.state[id] = state; w.mu.Unlock() }

func (w *town) ip(n int) string { return fmt.Sprintf("%s%d", w.net, n) }

// settings of node n; huts have numbers below 10.
func (w *town) settings(n int, first bool, seeds ...int) *config.Settings {
	serves, listen, data := "front", fmt.Sprintf("FrontAddress: %q\n  ReadinessAddress: %q", w.ip(n)+":8080", w.ip(n)+":8081"), ""
	if n > 20 {
		serves, listen = "", ""
		name := fmt.Sprint("larder-", n)
		if w.dirs[name] == "" {
			w.dirs[name] = w.t.TempDir()
		}
		data = w.dirs[name]
	}
	if n < 10 {
		serves, listen = "control", fmt.Sprintf("ControlAddress: %q", w.ip(n)+":8090")
		name := fmt.Sprint("hut-", n)
		if w.dirs[name] == "" {
			w.dirs[name] = w.t.TempDir()
		}
		data = w.dirs[name]
	}
	zone := "z1"
	if n == 12 {
		zone = "z2"
	}
	var l []string
	for _, s := range seeds {
		l = append(l, fmt.Sprintf("%q", w.ip(s)+":8090"))
	}
	text := fmt.Sprintf(`{NodeName: "node-%d", IpAddress: %q, Zone: %s, Serves: [%s], InternalPortRange: [%d, %d], SeedNodes: [%s], FirstStart: %v, DataDirectory: %q, HeartbeatIntervalMs: 300, ToleratedLosses: {Machines: %d},
 ListenAddresses: {%s},
 Bounds: {InTouchMs: 1000, AcknowledgeMs: 2500, CatchUpS: 1, DrainMs: 800, GraceS: 1, ConfigEffectMs: 1000, RetryBudgetRatio: 0.5, RetryWindowS: 2, RetryBudgetSlack: 100, ExposureShare: 0.3, ExposureSlack: 50, RollbackMs: 1500}, CloudApi: {Address: %q}}`,
		n, w.ip(n), zone, serves, w.port, w.port+10, strings.Join(l, ","), first, data, w.losses, strings.ReplaceAll(listen, "\n", ","), w.platform.Listener.Addr().String())
	s, err := config.ParseSettings([]byte(text))
	if err != nil {
		w.t.Fatalf("settings: %v\n%s", err, text)
	}
	return s
}

func (w *town) run(n int, first bool, seeds ...int) *Node {
	w.t.Helper()
	opt := host.DefaultOptions()
	// Orders get long terms, for slow machines, and are tried early in them.
	opt.Rollout.TrialAt = 0.1
	if n > 20 {
		opt.Role = host.RoleCache
	}
	node, err := Open(w.settings(n, first, seeds...), "", opt)
	if err != nil {
		w.t.Fatal(err)
	}
	if !node.Start() {
		w.t.Fatal("a node does not listen")
	}
	w.nodes[fmt.Sprint(n)] = node
	return node
}

// stop ends a node at once.
func (w *town) stop(name string) {
	n := w.nodes[name]
	if n == nil {
		return
	}
	delete(w.nodes, name)
	close(n.Stopping)
	for _, l := range n.listeners {
		l.Close()
	}
	if n.front != nil {
		if l := n.front.listener.Load(); l != nil {
			(*l).Close()
		}
	}
	if n.control != nil {
		n.control.store.Close(time.Second)
		n.control.loop.Close()
	}
}

// eventually waits until f is true.
func (w *town) eventually(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("not in time: %s", what)
}

// config is a configuration with a gathered route over shards, a safe and an unsafe plain one.
func configBody(version int, shards ...string) string {
	var names, services []string
	services = append(services, `{"Name":"origin","HealthPath":"/health","ConnectionLimit":60,"RequestsPerS":40}`)
	for _, s := range append([]string{"plain"}, shards...) {
		services = append(services, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","ConnectionLimit":60}`, s))
	}
	for _, s := range shards {
		names = append(names, fmt.Sprintf("%q", s))
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"g","HostName":"a.example","PathPrefix":"/g/","RouteKind":"safe","TimeoutMs":2000,"TargetLatencyMs":300,"GatheredServices":[%s],"Attempts":2,"TopRecords":7,"MinimumShare":0.5},
{"Name":"p","HostName":"a.example","PathPrefix":"/p/","RouteKind":"safe","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"plain","Attempts":2},
{"Name":"c","HostName":"a.example","PathPrefix":"/c/","RouteKind":"cached","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"origin","Attempts":2,"CacheLifetimeS":3},
{"Name":"u","HostName":"a.example","PathPrefix":"/u/","RouteKind":"unsafe","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"plain","Attempts":3}],
"Services":[%s],"Limits":{"HeaderSizeBytes":4096,"BodySizeBytes":1000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":3000}}`,
		version, strings.Join(names, ","), strings.Join(services, ","))
}

func (w *town) control(n int, method, match, body string) (int, string) {
	return w.operate(n, method, "/-/configuration", match, body)
}

// operate sends a call of the operator to node n.
func (w *town) operate(n int, method, path, match, body string) (int, string) {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:8090%s", w.ip(n), path), strings.NewReader(body))
	if n >= 10 {
		req.URL.Host = fmt.Sprintf("%s:%d", w.ip(n), w.port)
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

var requestNumber int

// ask sends a client's request to front n.
func (w *town) ask(n int, method, path, body string) (*http.Response, []byte, string) {
	requestNumber++
	id := fmt.Sprintf("r%05d", requestNumber)
	return w.askAs(n, method, path, body, id)
}

// send is ask for many at once; it tells the status alone.
func (w *town) send(n int, method, path, body, id string) int {
	r, _, _ := w.askAs(n, method, path, body, id)
	return r.StatusCode
}

func (w *town) askAs(n int, method, path, body, id string) (*http.Response, []byte, string) {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:8080%s", w.ip(n), path), strings.NewReader(body))
	req.Host = "a.example"
	req.Header.Set("Swiftswitch-Request-Id", id)
	req.Header.Set("Swiftswitch-Deadline-Milliseconds", "1500")
	resp, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return &http.Response{StatusCode: 0, Header: http.Header{}}, []byte(err.Error()), id
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp, b, id
}

// top is what a gathered answer of these shards must hold.
func top(n int, shards ...string) []byte {
	var recs []string
	for _, s := range shards {
		b := records(s)
		for i := 0; i < len(b); i += 16 {
			recs = append(recs, string(b[i:i+16]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(recs)))
	return []byte(strings.Join(recs[:n], ""))
}

// repeat has n goroutines do f again and again until end is called, which
// returns when all have ended.
func repeat(n int, f func(i int)) (end func()) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range n {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				default:
					f(i)
				}
			}
		}()
	}
	return func() { close(stop); done.Wait() }
}
