package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"
)

// origin stands in for one searcher: it notes what it runs and answers as reply says.
type origin struct {
	addr string
	mu   sync.Mutex
	runs []string
	// reply writes the answer to the request; an error ends the connection.
	reply func(c net.Conn, r *http.Request) error
}

func newOrigin(t *testing.T, reply func(c net.Conn, r *http.Request) error) *origin {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	o := &origin{addr: ln.Addr().String(), reply: reply}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go o.serve(c)
		}
	}()
	return o
}

func (o *origin) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		o.mu.Lock()
		o.runs = append(o.runs, strings.TrimSpace(r.Method+" "+r.RequestURI+" "+r.Header.Get(upstream.HeaderRequestID)+" "+string(body)))
		o.mu.Unlock()
		if o.reply(c, r) != nil {
			return
		}
	}
}

// ran gives what ran since it was last asked.
func (o *origin) ran() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.runs
	o.runs = nil
	return out
}

// whole answers with the request's own id and path.
func whole(c net.Conn, r *http.Request) error {
	id, body := r.Header.Get(upstream.HeaderRequestID), r.RequestURI
	if r.Method == "HEAD" {
		body = ""
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Server-Stamp: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(r.RequestURI), body)
	return err
}

// says answers every request with status and these header lines.
func says(status int, lines ...string) func(net.Conn, *http.Request) error {
	return func(c net.Conn, r *http.Request) error {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s\r\nContent-Length: 0\r\n\r\n", status,
			strings.Join(append(lines, "Swiftswitch-Request-Id: "+r.Header.Get(upstream.HeaderRequestID)), "\r\n"))
		return err
	}
}

// front is a front with a route of each kind whose searchers are asked in the order given.
func front(t *testing.T, addrs ...string) string {
	addr, _ := frontOf(t, addrs...)
	return addr
}

func frontOf(t *testing.T, addrs ...string) (string, *Handler) {
	pool, _ := ants.NewPool(64, ants.WithNonblocking(true))
	zone := func(i int) string { return strings.Repeat("z", i) }
	rng := upstream.New(upstream.Options{
		Distance: func(z string) int { return min(len(z), 2) }, TCPUserTimeout: time.Second, DialTimeout: time.Second, MaxBodyBytes: 1 << 20,
		IdleTimeout: time.Minute, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, TwoChoicesThreshold: 5, DistancePenalty: 9, DecayTime: time.Second,
	})
	var list []endpoints.Endpoint
	for i, a := range addrs {
		list = append(list, endpoints.Endpoint{ID: fmt.Sprint("i", i), Service: "s", Addr: a, Zone: zone(i), Slots: 4})
	}
	table, _ := endpoints.NextTable(nil, list, endpoints.Stamp{Epoch: 1})
	rng.SetTable(table)
	born := time.Now()
	guide := &scatter.Gatherer{Upstream: rng, Workers: pool, Now: func() time.Duration { return time.Since(born) }, HedgeAfter: 5,
		RetryBudget: ratelimit.NewRetryBudget(ratelimit.BudgetOptions{Ratio: 1, Slack: 1000, Utilization: 1, FirstWindowShare: 1, Window: time.Second}, 0)}
	var routes []*config.Route
	for _, kind := range []string{"safe", "unsafe", "cached"} {
		routes = append(routes, &config.Route{Name: kind, HostName: "a.example", PathPrefix: "/" + kind + "/", RouteKind: kind, TimeoutMs: 400, Service: "s", Attempts: 3, CacheLifetimeS: 60})
	}
	h := New(Options{PartialResponseAfter: 0.9, GiveUpAfter: 0.97, WriteTimeout: 2 * time.Second, OverloadFactor: 50}, guide)
	h.SetSnapshot(&Snapshot{RouteTable: routing.Compile(&config.Configuration{Version: 1, Services: []*config.Service{{Name: "s"}}, Routes: routes}, routing.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 22})})
	ln, err := transport.Listen("127.0.0.1:0", time.Second, time.Second, nil)
	if err != nil {
		t.Fatal("no listener")
	}
	limits := func() (time.Duration, time.Duration) { return time.Second, time.Second }
	srv := transport.Serve(ln, transport.ServerOptions{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 22, TCPUserTimeout: time.Second, Timeouts: limits}, h.Handle)
	t.Cleanup(func() { _ = srv.Close(); _ = ln.Close(); pool.Release() })
	return ln.Addr().String(), h
}

// got is one answer as a client sees it.
type got struct {
	status         int
	id, body, more string
}

// send writes raw bytes on a connection of its own and reads the answers to
// requests of these methods, and then whatever else comes.
func send(t *testing.T, addr, raw string, methods ...string) (out []got, rest string) {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, raw) }()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	in := bufio.NewReader(c)
	for _, m := range methods {
		r, err := http.ReadResponse(in, &http.Request{Method: m})
		if err != nil {
			return out, err.Error()
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return out, err.Error()
		}
		out = append(out, got{r.StatusCode, r.Header.Get(upstream.HeaderRequestID), string(b), r.Header.Get(upstream.HeaderServerStamp)})
	}
	_ = c.SetReadDeadline(time.Now().Add(60 * time.Millisecond))
	b, _ := io.ReadAll(in)
	return out, string(b)
}

func ask(method, target, id, lines, body string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: " + id + "\r\n" + lines + "\r\n" + body
}

// Whatever a client writes, each answer goes to the request that it belongs
// to, in the order in which they came, and nothing runs that was no request of
// its own: bytes whose meaning is in doubt end the connection.
func TestOneRequestOneAnswer(t *testing.T) {
	o := newOrigin(t, func(c net.Conn, r *http.Request) error {
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(40 * time.Millisecond)
		}
		return whole(c, r)
	})
	addr := front(t, o.addr)
	evil := ask("GET", "/safe/evil", "e", "", "")
	length := func(s string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(s)) }
	chunks := "4\r\nbody\r\n0\r\n"
	for name, c := range map[string]struct {
		raw string
		// want lists, for each answer in turn, the method, the status and the id; ran what runs.
		want string
		ran  []string
	}{
		"pipelined": {ask("GET", "/safe/slow", "1", "", "") + ask("GET", "/safe/b", "2", "", "") + ask("POST", "/unsafe/slow", "3", length("x"), "x") + ask("GET", "/none", "4", "", ""),
			"GET 200 1,GET 200 2,POST 200 3,GET 404 ", []string{"GET /safe/slow 1", "GET /safe/b 2", "POST /unsafe/slow 3 x"}},
		"a head between": {ask("HEAD", "/safe/a", "1", "", "") + ask("GET", "/safe/b", "2", "", ""), "HEAD 200 1,GET 200 2", []string{"HEAD /safe/a 1", "GET /safe/b 2"}},
		"a request as a body": {ask("GET", "/safe/a", "1", length(evil), evil) + ask("GET", "/safe/b", "2", "", ""),
			"GET 200 1,GET 200 2", []string{strings.TrimSpace("GET /safe/a 1 " + evil), "GET /safe/b 2"}},
		"chunks with trailers": {ask("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", chunks+"X-Sum: 1\r\n\r\n") + ask("GET", "/safe/b", "2", "", ""),
			"POST 200 1,GET 200 2", []string{"POST /unsafe/a 1 body", "GET /safe/b 2"}},
		"an id among the trailers": {ask("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\n", chunks+"Swiftswitch-Request-Id: 9\r\n\r\n"),
			"POST 200 1", []string{"POST /unsafe/a 1 body"}},
		"a chunk extension":     {ask("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\n", "4;x=1\r\nbody\r\n0\r\n\r\n") + evil, "POST 400 ", nil},
		"a chunk size in doubt": {ask("GET", "/safe/a", "1", "Transfer-Encoding: chunked\r\n", "0x4\r\nbody\r\n0\r\n\r\n") + evil, "GET 400 ", nil},
		"chunks and a length":   {ask("POST", "/unsafe/a", "1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n") + evil, "POST 400 ", nil},
		"a length and chunks":   {ask("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n") + evil, "POST 400 ", nil},
		"an unknown coding":     {ask("POST", "/unsafe/a", "1", "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n") + evil, "POST 400 ", nil},
		"no coding":             {ask("POST", "/unsafe/a", "1", "Transfer-Encoding: identity\r\n", "") + evil, "POST 400 ", nil},
		"two lengths":           {ask("POST", "/unsafe/a", "1", "Content-Length: 0\r\nContent-Length: 4\r\n", "body") + evil, "POST 400 ", nil},
		"a list of lengths":     {ask("POST", "/unsafe/a", "1", "Content-Length: 4, 4\r\n", "body") + evil, "POST 400 ", nil},
		"a folded line":         {ask("POST", "/unsafe/a", "1", "X-A: 1\r\n Content-Length: 4\r\n", "") + evil, "POST 400 ", nil},
		"a return in a method":  {"GET\rX /safe/a HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: 1\r\n\r\n" + evil, "GET 400 ", nil},
		"an older version":      {strings.Replace(ask("GET", "/safe/a", "1", "Connection: keep-alive\r\n", ""), "1.1", "1.0", 1) + evil, "GET 400 ", nil},
		"lines without returns": {strings.ReplaceAll(ask("GET", "/safe/a", "1", "", ""), "\r", "") + ask("GET", "/safe/b", "2", "", ""),
			"GET 200 1,GET 200 2", []string{"GET /safe/a 1", "GET /safe/b 2"}},
		"connection names the id": {ask("GET", "/safe/a", "1", "Connection: Swiftswitch-Request-Id, Host, Upgrade\r\nUpgrade: h2c\r\n", "") + ask("GET", "/safe/b", "2", "", ""),
			"GET 200 1,GET 200 2", []string{"GET /safe/a 1", "GET /safe/b 2"}},
		"an absolute target": {ask("GET", "http://a.example/safe/a", "1", "", "") + ask("GET", "/safe/b", "2", "", ""), "GET 404 ,GET 200 2", []string{"GET /safe/b 2"}},
		"no path":            {ask("OPTIONS", "*", "1", "", "") + ask("GET", "/safe/b", "2", "", ""), "OPTIONS 400 ,GET 200 2", []string{"GET /safe/b 2"}},
		"expects to go on": {ask("POST", "/unsafe/a", "1", "Expect: 100-continue\r\n"+length("body"), "body") + ask("GET", "/safe/b", "2", "", ""),
			"POST 100 ,POST 200 1,GET 200 2", []string{"POST /unsafe/a 1 body", "GET /safe/b 2"}},
	} {
		var methods []string
		for _, w := range strings.Split(c.want, ",") {
			m, _, _ := strings.Cut(w, " ")
			methods = append(methods, m)
		}
		answers, rest := send(t, addr, c.raw, methods...)
		var have []string
		for i, a := range answers {
			have = append(have, fmt.Sprint(methods[i], " ", a.status, " ", a.id))
			if a.status == 200 && a.more != "s."+a.id {
				t.Errorf("%s: answer %d has stamp %q", name, i, a.more)
			}
		}
		if got := strings.Join(have, ","); got != c.want || rest != "" {
			t.Errorf("%s: answers %q and then %q, want %q", name, got, rest, c.want)
		}
		if ran := o.ran(); !slices.Equal(ran, c.ran) {
			t.Errorf("%s: ran %q, want %q", name, ran, c.ran)
		}
	}
}

// A request that may run once is sent again only where it surely did not run:
// the searcher said so, or never got a byte. Where it may have run, no answer
// promises that it has not, and none that is not a whole answer to it is a success.
func TestUnsafeRunsOnce(t *testing.T) {
	dead, _ := net.Listen("tcp4", "127.0.0.1:0")
	_ = dead.Close()
	reset := func(c net.Conn, r *http.Request) error {
		_ = c.(*net.TCPConn).SetLinger(0)
		return io.EOF
	}
	part := func(s string) func(net.Conn, *http.Request) error {
		return func(c net.Conn, r *http.Request) error { _, _ = fmt.Fprint(c, s); return io.EOF }
	}
	notRun := "Swiftswitch-Not-Run: full"
	for name, c := range map[string]struct {
		reply func(net.Conn, *http.Request) error
		addr  string
		// status is the answer's; again: the second searcher runs it.
		status int
		again  bool
	}{
		"whole":                      {reply: whole, status: 200},
		"reset":                      {reply: reset, status: 502},
		"closed":                     {reply: part(""), status: 502},
		"silent":                     {reply: func(net.Conn, *http.Request) error { time.Sleep(time.Second); return io.EOF }, status: 504},
		"late":                       {reply: func(c net.Conn, r *http.Request) error { time.Sleep(500 * time.Millisecond); return whole(c, r) }, status: 504},
		"broken off":                 {reply: part("HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf"), status: 502},
		"a chunk broken off":         {reply: part("HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), status: 502},
		"no answer at all":           {reply: part("\x16\x03garbage\r\n\r\n"), status: 502},
		"another's":                  {reply: says(200, "Swiftswitch-Request-Id: other", "Swiftswitch-Server-Stamp: s"), status: 502},
		"another's promise":          {reply: part("HTTP/1.1 503 X\r\nSwiftswitch-Request-Id: other\r\nSwiftswitch-Not-Run: full\r\nContent-Length: 0\r\n\r\n"), status: 502},
		"a success without stamp":    {reply: says(200), status: 502},
		"a failure":                  {reply: says(500), status: 500},
		"busy":                       {reply: says(503, notRun), status: 200, again: true},
		"too many":                   {reply: says(429, notRun), status: 200, again: true},
		"somebody else lives there":  {reply: says(421), status: 200, again: true},
		"503 that promises nothing":  {reply: says(503), status: 502},
		"429 that promises nothing":  {reply: says(429), status: 502},
		"408 that promises nothing":  {reply: says(408), status: 502},
		"a success that did not run": {reply: says(200, notRun, "Swiftswitch-Server-Stamp: s"), status: 200, again: true},
		"nobody there":               {addr: dead.Addr().String(), status: 200, again: true},
	} {
		first, second := &origin{addr: c.addr}, newOrigin(t, whole)
		if c.reply != nil {
			first = newOrigin(t, c.reply)
		}
		addr := front(t, first.addr, second.addr)
		answers, rest := send(t, addr, ask("POST", "/unsafe/a", "1", "Content-Length: 1\r\n", "x"), "POST")
		if len(answers) != 1 || answers[0].status != c.status || rest != "" || c.status == 200 && (answers[0].body != "/unsafe/a" || answers[0].more != "s.1") {
			t.Errorf("%s: answered %+v and then %q, want %d", name, answers, rest, c.status)
		}
		if n, again := len(first.ran()), len(second.ran()); n > 1 || (again == 1) != c.again || again > 1 {
			t.Errorf("%s: sent %d and %d times", name, n, again)
		}
	}

	// A connection that is kept: found closed, nothing was sent on it; reset by
	// what is sent on it, all may have arrived. A large body may stop half way.
	once := func(next func(net.Conn, *http.Request) error) func(net.Conn, *http.Request) error {
		n := 0
		return func(c net.Conn, r *http.Request) error {
			if n++; n == 1 {
				return whole(c, r)
			}
			return next(c, r)
		}
	}
	first, second := newOrigin(t, once(reset)), newOrigin(t, whole)
	addr := front(t, first.addr, second.addr)
	for i, want := range []int{200, 502} {
		if a, _ := send(t, addr, ask("POST", "/unsafe/a", fmt.Sprint(i), "Content-Length: 1\r\n", "x"), "POST"); len(a) != 1 || a[0].status != want || len(second.ran()) > 0 {
			t.Errorf("a kept connection, request %d: %+v", i, a)
		}
	}
	first = newOrigin(t, func(c net.Conn, r *http.Request) error { _ = whole(c, r); return io.EOF })
	addr = front(t, first.addr, second.addr)
	for i := range 2 {
		if a, _ := send(t, addr, ask("POST", "/unsafe/a", fmt.Sprint(i), "Content-Length: 1\r\n", "x"), "POST"); len(a) != 1 || a[0].status != 200 || len(first.ran())+len(second.ran()) != 1 {
			t.Errorf("a connection that was closed at rest, request %d: %+v", i, a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 4096))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	big := string(bytes.Repeat([]byte{'x'}, 1<<21))
	addr = front(t, ln.Addr().String(), second.addr)
	if a, _ := send(t, addr, ask("POST", "/unsafe/a", "b", fmt.Sprintf("Content-Length: %d\r\n", len(big)), big), "POST"); len(a) != 1 || a[0].status != 502 || len(second.ran()) > 0 {
		t.Errorf("a body sent in part: %+v", a)
	}
}

// larderOf brings objects whose bytes all tell their name, and passes on what is missing.
type larderOf struct{ sizes map[string]int }

func (l larderOf) Fetch(w FetchRequest) FetchResult {
	time.Sleep(5 * time.Millisecond)
	name := w.Target[len(w.Target)-1:]
	body := []byte(strings.Repeat(name, l.sizes[name]))
	if len(body) == 0 {
		return FetchResult{PassThrough: &cache.PassThrough{Status: 404, Body: []byte(strings.Repeat(name, 9000))}}
	}
	return FetchResult{Object: &cache.Object{Host: w.Host, Target: w.Target, Service: "s", Body: body, ETag: name, Stamp: name}}
}

// One copy goes to many clients at once, whole and in part, from memory that
// all of them share; each reads just the object that it asked for.
func TestSharedCopies(t *testing.T) {
	addr, h := frontOf(t)
	sizes := map[string]int{"a": 700, "b": 6000, "c": 90_000}
	p := NewCacheHandler(110_000, func() time.Duration { return 0 }, larderOf{sizes})
	p.ApplyPurges(0, 0, nil)
	h.SetCacheHandler(p)
	var all sync.WaitGroup
	for client := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			raw, methods, names := "", []string{}, []string{}
			for i := range 40 {
				name, lines := string("abcd"[(client+i*i)%4]), ""
				if i%3 == 0 {
					lines = "Range: bytes=5-99\r\n"
				}
				raw += ask("GET", "/cached/"+name, fmt.Sprint(client, ".", i), lines, "")
				methods, names = append(methods, "GET"), append(names, name)
			}
			answers, rest := send(t, addr, raw, methods...)
			if len(answers) != len(names) || rest != "" {
				t.Errorf("client %d: %d answers and then %q", client, len(answers), rest)
			}
			for i, a := range answers {
				size, status := sizes[names[i]], 200
				switch {
				case size == 0:
					size, status = 9000, 404
				case i%3 == 0:
					size, status = 95, 206
				}
				if a.status != status || a.id != fmt.Sprint(client, ".", i) || a.body != strings.Repeat(names[i], size) {
					t.Errorf("client %d, answer %d: %d %s, %d bytes, want %d of %q", client, i, a.status, a.id, len(a.body), size, names[i])
				}
			}
		}()
	}
	all.Wait()
}
