package testcluster

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sort"
	"strconv"
	"strings"
	"swiftswitch/internal/control"
	"swiftswitch/internal/node"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/host"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// Endpoint stands in for one searcher.
type Endpoint struct {
	id, service string
	zone        string
	version     string
	Server      *httptest.Server
	mu          sync.Mutex
	Executed    []string
	mode        string // "", "500", "cut", "notrun", "slow", "surplus", "nostamp"
	// objectVersion is the version of the objects that an origin serves; 0: it is none.
	objectVersion int
}

func (s *Endpoint) SetMode(mode string) { s.mu.Lock(); s.mode = mode; s.mu.Unlock() }

// ServeObjects makes the searcher an origin whose objects have this version.
func (s *Endpoint) ServeObjects(version int) {
	s.mu.Lock()
	s.objectVersion = version
	s.mu.Unlock()
}

func (s *Endpoint) RunCount() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.Executed) }

// Records are the same for all searchers of a service.
func Records(service string) []byte {
	var out []byte
	for i := byte(0); i < 5; i++ {
		h := sha256.Sum256(append([]byte(service), i))
		out = append(out, h[:16]...)
	}
	return out
}

func (s *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e := r.Header.Get("Swiftswitch-Expected-Instance"); e != s.id {
		w.WriteHeader(421)
		return
	}
	s.mu.Lock()
	mode := s.mode
	id := r.Header.Get("Swiftswitch-Request-Id")
	if mode != "notrun" {
		s.Executed = append(s.Executed, r.Method+" "+r.RequestURI+" "+id+" "+string(body))
	}
	stamp := fmt.Sprintf("%s.%s.%d", s.id, id, len(s.Executed))
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
		b := Records(s.service)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: old\r\nContent-Length: 0\r\n\r\n", stamp, len(b), b)
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
		return
	}
	s.mu.Lock()
	object := s.objectVersion
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
	_, _ = w.Write(Records(s.service))
}

// Cluster is a whole deployment on loopback: nodes, searchers and the platform's list.
type Cluster struct {
	T         *testing.T
	mu        sync.Mutex
	Endpoints map[string]*Endpoint
	state     map[string]string
	platform  *httptest.Server
	Nodes     map[string]*node.Node
	DataDirs  map[string]string
	// ToleratedLosses is how many machines may be lost at once.
	ToleratedLosses int
	Port            int
	subnet          string
}

var clusterNumber = byte(10)

func New(t *testing.T) *Cluster {
	clusterNumber++
	w := &Cluster{T: t, Endpoints: map[string]*Endpoint{}, state: map[string]string{}, Nodes: map[string]*node.Node{}, DataDirs: map[string]string{}, subnet: fmt.Sprintf("127.%d.%d.", 7+os.Getpid()%240, clusterNumber)}
	l, err := net.Listen("tcp4", w.subnet+"200:0")
	if err != nil {
		t.Fatal(err)
	}
	w.Port = l.Addr().(*net.TCPAddr).Port
	_ = l.Close()
	w.platform = httptest.NewServer(http.HandlerFunc(w.serveDiscovery))
	t.Cleanup(func() {
		for name := range w.Nodes {
			w.Kill(name)
		}
		w.platform.Close()
		for _, s := range w.Endpoints {
			s.Server.CloseClientConnections()
			s.Server.Close()
		}
	})
	return w
}

// serveDiscovery answers in pages of three.
func (w *Cluster) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id := range w.Endpoints {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	from := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &from) // without a token the list begins at 0
	page := map[string]any{"NextPageToken": nil}
	var out []map[string]any
	for i := from; i < len(ids) && i < from+3; i++ {
		s := w.Endpoints[ids[i]]
		out = append(out, map[string]any{"InstanceId": s.id, "Service": s.service, "Address": s.Server.Listener.Addr().String(), "Zone": s.zone, "Slots": 2, "State": w.state[s.id], "ColdRemainingMs": 0, "Version": s.version})
	}
	if from+3 < len(ids) {
		page["NextPageToken"] = fmt.Sprintf("p-%d", from+3)
	}
	page["Instances"] = out
	_ = json.NewEncoder(rw).Encode(page)
}

func (w *Cluster) AddEndpoint(service, id string) *Endpoint {
	s := &Endpoint{id: id, service: service, zone: "z1", version: "v1"}
	if strings.HasSuffix(id, "-new") {
		s.version = "v2"
	}
	if strings.HasSuffix(id, "-far") {
		s.zone = "z2"
	}
	s.Server = httptest.NewServer(s)
	w.mu.Lock()
	w.Endpoints[id], w.state[id] = s, "ready"
	w.mu.Unlock()
	return s
}

// RemoveEndpoint takes a searcher off the discovery list; it goes on answering.
func (w *Cluster) RemoveEndpoint(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.Endpoints, id)
}

// SetEndpointState changes how the discovery list describes a searcher.
func (w *Cluster) SetEndpointState(id, state string) { w.mu.Lock(); w.state[id] = state; w.mu.Unlock() }

func (w *Cluster) IP(n int) string { return fmt.Sprintf("%s%d", w.subnet, n) }

// Settings of node n; huts have numbers below 10.
func (w *Cluster) Settings(n int, first bool, seeds ...int) *config.Settings {
	serves, listen, data := "front", fmt.Sprintf("FrontAddress: %q\n  ReadinessAddress: %q", w.IP(n)+":8080", w.IP(n)+":8081"), ""
	if n > 20 {
		serves, listen = "", ""
		name := fmt.Sprint("larder-", n)
		if w.DataDirs[name] == "" {
			w.DataDirs[name] = w.T.TempDir()
		}
		data = w.DataDirs[name]
	}
	if n < 10 {
		serves, listen = "control", fmt.Sprintf("ControlAddress: %q", w.IP(n)+":8090")
		name := fmt.Sprint("hut-", n)
		if w.DataDirs[name] == "" {
			w.DataDirs[name] = w.T.TempDir()
		}
		data = w.DataDirs[name]
	}
	zone := "z1"
	if n == 12 {
		zone = "z2"
	}
	var l []string
	for _, s := range seeds {
		l = append(l, fmt.Sprintf("%q", w.IP(s)+":8090"))
	}
	text := fmt.Sprintf(`{NodeName: "node-%d", IpAddress: %q, Zone: %s, Serves: [%s], InternalPortRange: [%d, %d], SeedNodes: [%s], FirstStart: %v, DataDirectory: %q, HeartbeatIntervalMs: 300, ToleratedLosses: {Machines: %d},
 ListenAddresses: {%s},
 Bounds: {InTouchMs: 1000, AcknowledgeMs: 2500, CatchUpS: 1, DrainMs: 800, GraceS: 1, ConfigEffectMs: 1000, RetryBudgetRatio: 0.5, RetryWindowS: 2, RetryBudgetSlack: 100, ExposureShare: 0.3, ExposureSlack: 50, RollbackMs: 1500}, CloudApi: {Address: %q}}`,
		n, w.IP(n), zone, serves, w.Port, w.Port+10, strings.Join(l, ","), first, data, w.ToleratedLosses, strings.ReplaceAll(listen, "\n", ","), w.platform.Listener.Addr().String())
	s, err := config.ParseSettings([]byte(text))
	if err != nil {
		w.T.Fatalf("settings: %v\n%s", err, text)
	}
	return s
}

func (w *Cluster) StartNode(n int, first bool, seeds ...int) *node.Node {
	w.T.Helper()
	opt := host.DefaultOptions()
	// Orders get long terms, for slow machines, and are tried early in them.
	opt.Rollout.TrialAfter = 0.1
	if n > 20 {
		opt.Role = host.RoleCache
	}
	node, err := node.Open(w.Settings(n, first, seeds...), "", opt)
	if err != nil {
		w.T.Fatal(err)
	}
	if !node.Start() {
		w.T.Fatal("a node does not listen")
	}
	w.Nodes[fmt.Sprint(n)] = node
	return node
}

// Kill ends a node at once.
func (w *Cluster) Kill(name string) {
	n := w.Nodes[name]
	if n == nil {
		return
	}
	delete(w.Nodes, name)
	n.Close()
}

// Eventually waits until f is true.
func (w *Cluster) Eventually(what string, f func() bool) {
	w.T.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.T.Fatalf("not in time: %s", what)
}

// config is a configuration with a gathered route over shards, a safe and an unsafe plain one.
func ConfigurationBody(version int, shards ...string) string {
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

func (w *Cluster) PutConfiguration(n int, method, match, body string) (int, string) {
	return w.Operate(n, method, "/-/configuration", match, body)
}

// Operate sends a call of the operator to node n.
func (w *Cluster) Operate(n int, method, path, match, body string) (int, string) {
	status, _, text := w.operate(n, method, path, match, body)
	return status, text
}

func (w *Cluster) operate(n int, method, path, match, body string) (int, http.Header, string) {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:8090%s", w.IP(n), path), strings.NewReader(body))
	if n >= 10 {
		req.URL.Host = fmt.Sprintf("%s:%d", w.IP(n), w.Port)
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b)
}

var requestNumber int

// Request sends a client's request to front n.
func (w *Cluster) Request(n int, method, path, body string) (*http.Response, []byte, string) {
	requestNumber++
	id := fmt.Sprintf("r%05d", requestNumber)
	return w.RequestAs(n, method, path, body, id)
}

// RequestStatus is ask for many at once; it tells the status alone.
func (w *Cluster) RequestStatus(n int, method, path, body, id string) int {
	r, _, _ := w.RequestAs(n, method, path, body, id)
	return r.StatusCode
}

func (w *Cluster) RequestAs(n int, method, path, body, id string) (*http.Response, []byte, string) {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:8080%s", w.IP(n), path), strings.NewReader(body))
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

// TopRecords is what a gathered answer of these shards must hold.
func TopRecords(n int, shards ...string) []byte {
	var recs []string
	for _, s := range shards {
		b := Records(s)
		for i := 0; i < len(b); i += 16 {
			recs = append(recs, string(b[i:i+16]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(recs)))
	return []byte(strings.Join(recs[:n], ""))
}

// Repeat has n goroutines do f again and again until end is called, which
// returns when all have ended.
func Repeat(n int, f func(i int)) (end func()) {
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

// StartDefault runs three huts and two fronts over two shards and a plain service.
func StartDefault(t *testing.T) (*Cluster, map[string]*Endpoint) {
	w := New(t)
	s := map[string]*Endpoint{}
	for _, id := range []string{"s1-a", "s1-b", "s2-a", "s2-b", "plain-a", "plain-b"} {
		s[id] = w.AddEndpoint(strings.Split(id, "-")[0], id)
	}
	for _, n := range []int{1, 2, 3, 11, 12} {
		w.StartNode(n, true, 1, 2, 3)
	}
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(2, "PUT", "0", ConfigurationBody(3, "s1", "s2"))
		return status == 200
	})
	w.Eventually("the fronts are ready and know the searchers", func() bool {
		for _, n := range []int{11, 12} {
			if !w.IsFrontReady(n) {
				return false
			}
			if r, _, _ := w.Request(n, "GET", "/g/x", ""); r.StatusCode != 200 || r.Header.Get("Swiftswitch-Missing-Parts") != "" {
				return false
			}
			if r, _, _ := w.Request(n, "GET", "/p/x", ""); r.StatusCode != 200 {
				return false
			}
		}
		return true
	})
	return w, s
}

func (w *Cluster) IsFrontReady(n int) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:8081/-/ready", w.IP(n)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// StartControlNodes runs three huts with a first configuration.
func StartControlNodes(t *testing.T, losses int, huts ...int) *Cluster {
	w := New(t)
	w.ToleratedLosses = losses
	w.AddEndpoint("plain", "plain-a")
	for _, n := range huts {
		w.StartNode(n, true, 1, 2, 3)
	}
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(2, "PUT", "0", ConfigurationBody(3, "s1"))
		return status == 200
	})
	return w
}

func (w *Cluster) Control(n int) *control.Server { return w.Nodes[fmt.Sprint(n)].Control() }

// IsVoter tells whether hut n has a vote, as hut by knows it.
func (w *Cluster) IsVoter(by, n int) bool {
	return w.Control(by).State().IsVoter(w.Control(n).ID())
}

// WipeDisk ends a node at once and takes its disk.
func (w *Cluster) WipeDisk(n int) {
	w.Kill(fmt.Sprint(n))
	w.DataDirs[fmt.Sprint("hut-", n)] = w.T.TempDir()
}

// UseInternalPort lets the nodes make their calls to another port; a part of the town
// that listens there too is cut off from the rest.
func (w *Cluster) UseInternalPort(port int, names ...string) {
	for _, name := range names {
		s := *w.Nodes[name].Settings()
		s.InternalPortRange = []int32{int32(port), int32(port + 10)}
		w.Nodes[name].SetSettings(&s)
	}
}

// ListenOnPort opens a further port for the calls of other nodes.
func (w *Cluster) ListenOnPort(port int, names ...string) {
	for _, name := range names {
		n := w.Nodes[name]
		s := config.Settings{}
		s.InternalPortRange = []int32{int32(port), int32(port + 10)}
		ln, err := transport.Listen(s.InternalAddress(n.Settings().IpAddress), n.TCPUserTimeout(), n.Heartbeats(0.1), n.Stopping)
		if err != nil {
			w.T.Fatal("a node does not listen")
		}
		transport.Serve(ln, n.ServerOptions(2*time.Second), func(ctx context.Context, c *app.RequestContext) { n.HandleInternal(ctx, c) })
		w.T.Cleanup(func() { _ = ln.Close() })
	}
}

// orderRetryTime is for how long an order is sent again that is put off with a 503.
const orderRetryTime = 5 * time.Second

// StartRollout orders a rollout of the plain service and returns the status of
// the answer. As callers do, it sends the order again when the node puts it off
// with a 503 and a Retry-After: a node that got no processor time for a while
// rejects an order that may have waited in its sockets as long.
func (w *Cluster) StartRollout(n int, target string, seconds float64) (int, string) {
	order := fmt.Sprintf(`{"Service":"plain","TargetVersion":%q,"DurationS":%v}`, target, seconds)
	for deadline := time.Now().Add(orderRetryTime); ; time.Sleep(50 * time.Millisecond) {
		status, header, body := w.operate(n, "POST", "/-/rollouts", "", order)
		if status != 503 || header.Get("Retry-After") == "" || time.Now().After(deadline) {
			return status, body
		}
	}
}

// Rollout reads how far the plain service's order is.
func (w *Cluster) Rollout(n int) (status int, r control.RolloutStatus) {
	status, body := w.Operate(n, "GET", "/-/rollouts/plain", "", "")
	_ = json.Unmarshal([]byte(body), &r)
	return status, r
}

// WaitPhaseAtFronts waits until both fronts hold a phase of the order; a machine under load
// may take longer to tell them than the huts wait.
func (w *Cluster) WaitPhaseAtFronts(phase consensus.Phase) {
	w.T.Helper()
	w.Eventually("the fronts hold "+string(phase), func() bool {
		for _, n := range []string{"11", "12"} {
			if l := w.Nodes[n].Front().Snapshot().TrafficSplits["plain"]; l == nil || l.Phase != phase {
				return false
			}
		}
		return true
	})
}

// StartTraffic asks both fronts until the end of the test; it returns a way to
// count the answers that were none.
func (w *Cluster) StartTraffic() (failed func() int) {
	stop := make(chan struct{})
	var mu sync.Mutex
	var done sync.WaitGroup
	n := 0
	for i := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			for id := 0; ; {
				select {
				case <-stop:
					return
				case <-time.After(8 * time.Millisecond):
				}
				id++
				if r := w.RequestStatus(11+i%2, "GET", "/p/x", "", fmt.Sprintf("t%d-%05d", i, id)); r != 200 {
					mu.Lock()
					n++
					mu.Unlock()
				}
			}
		}()
	}
	w.T.Cleanup(func() { close(stop); done.Wait() })
	return func() int { mu.Lock(); defer mu.Unlock(); return n }
}

// RolloutBody orders a rollout of the plain service.
const RolloutBody = `{"Service":"plain","TargetVersion":"v2","DurationS":40}`

// ServeFakeNode stands in for a node that a call is passed on to.
func (w *Cluster) ServeFakeNode(n int, handle http.HandlerFunc) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", w.IP(n), w.Port))
	if err != nil {
		w.T.Fatal(err)
	}
	srv := &http.Server{Handler: handle}
	go func() { _ = srv.Serve(l) }()
	w.T.Cleanup(func() { _ = srv.Close() })
}

// PostOperator sends an order and tells the answer's headers too.
func (w *Cluster) PostOperator(n int, path, body string, header map[string]string) (status int, h http.Header) {
	w.T.Helper()
	req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d%s", w.IP(n), w.Port, path), strings.NewReader(body))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		w.T.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// CheckRetryAfter checks that an answer says when to come back, in a moment.
func CheckRetryAfter(t *testing.T, h http.Header) {
	t.Helper()
	if s, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err != nil || s <= 0 || s > 0.5 {
		t.Errorf("Retry-After is %q", h.Get("Retry-After"))
	}
}

// StartSingleControlNode is a town of one hut with a configuration in force.
func StartSingleControlNode(t *testing.T) (*Cluster, *control.Server) {
	w := New(t)
	node := w.StartNode(1, true, 1)
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(1, "PUT", "0", ConfigurationBody(3, "s1"))
		return status == 200
	})
	return w, node.Control()
}
