package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	shopHost = "tienda.example"
	// frontDescriptors is what a front of vitrina-cdn has.
	frontDescriptors = 870
	// usualClients keep a connection each; burstFactor times as many come in the
	// burst, for burstDuration. They come within one cycle of request and rest, so that
	// the requests a second, too, are burstFactor times the usual ones.
	usualClients  = 520
	burstFactor   = 1.7
	burstDuration = 3 * time.Second
	// A client's connection rests so long between two requests.
	minRest, maxRest = 1500 * time.Millisecond, 2500 * time.Millisecond
	cycle            = 2 * time.Second
	// A safe request without an answer is given up so soon.
	safePatience = time.Second
	// shopTimeout is the route's TimeoutMs, shopDeadline how long clients wait.
	shopTimeout  = 3 * time.Second
	shopDeadline = 5 * time.Second
	// calmAfter is when the judging begins after the burst: beyond InTouchMs (5 s) and the
	// 5 s for which a choked machine would count as slowed.
	calmAfter = 11 * time.Second
)

func shopConfiguration() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []any{
			map[string]any{
				"Name": "r-status", "HostName": shopHost, "PathPrefix": "/status/", "RouteKind": "safe", "TimeoutMs": shopTimeout.Milliseconds(),
				"TargetLatencyMs": 1000, "Priority": 2, "Service": "orders", "Attempts": 2,
			},
			map[string]any{
				"Name": "r-confirm", "HostName": shopHost, "PathPrefix": "/confirm/", "RouteKind": "unsafe", "TimeoutMs": shopTimeout.Milliseconds(),
				"TargetLatencyMs": 1200, "Priority": 1, "Service": "orders", "Attempts": 2,
			},
		},
		"Services": []any{map[string]any{"Name": "orders", "HealthPath": "/health", "ConnectionLimit": 600, "Protocol": "h1", "TransportSecurity": false}},
		"Limits":   map[string]any{"HeaderSizeBytes": 16384, "BodySizeBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// limitDescriptors gives a process the limit that its settings tell it.
func limitDescriptors(pid int, limit uint64) error {
	value := syscall.Rlimit{Cur: limit, Max: limit}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&value)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// clientTotals counts what clients with kept connections saw.
type clientTotals struct{ connected, served, failed, closed atomic.Int64 }

// keepConnection is a client that keeps one connection and sends a request now and
// then. It leaves when stop is closed. After a failure it comes again, on a new
// connection.
func (r *rig) keepConnection(front string, totals *clientTotals, stop <-chan struct{}) {
	for first := true; ; first = false {
		if !first {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
		conn, err := net.DialTimeout("tcp4", address(r.nodes[front].ip, r.frontPort), time.Second)
		if err != nil {
			totals.failed.Add(1)
			continue
		}
		totals.connected.Add(1)
		in := bufio.NewReader(conn)
		for {
			_ = conn.SetDeadline(time.Now().Add(safePatience))
			served, last := r.exchange(conn, in)
			if served {
				totals.served.Add(1)
			} else {
				totals.failed.Add(1)
			}
			if last {
				totals.closed.Add(1)
			}
			if last || !served {
				break
			}
			rest := minRest + rand.N(maxRest-minRest)
			select {
			case <-stop:
				_ = conn.Close()
				totals.connected.Add(-1)
				return
			case <-time.After(rest):
			}
		}
		_ = conn.Close()
		totals.connected.Add(-1)
		select {
		case <-stop:
			return
		default:
		}
	}
}

// exchange sends one request on a connection and reads its answer. last is whether
// the answer says that the connection ends with it.
func (r *rig) exchange(conn net.Conn, in *bufio.Reader) (served, last bool) {
	id, status := r.newRequestID(), 0
	defer func() {
		r.note("client: %s GET /status/1 on a kept connection: status %d, ends the connection %v, runs %d", id, status, last, r.lastRuns(id))
	}()
	_, err := fmt.Fprintf(conn, "GET /status/1 HTTP/1.1\r\nHost: %s\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Deadline-Milliseconds: %d\r\n\r\n", shopHost, id, shopDeadline.Milliseconds())
	if err != nil {
		return false, false
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, false
	}
	status = response.StatusCode
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && status == http.StatusOK, response.Close
}

// lastRuns counts the runs of a request that has just ended, among the last ones.
func (r *rig) lastRuns(id string) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs[max(0, len(r.runs)-2000):] {
		if run.id == id {
			count++
		}
	}
	return count
}

// caseBurst: many users come at once to a front, more than it has descriptors for,
// and leave after some seconds.
func caseBurst(record string) (int, error) {
	// The clients need descriptors of their own.
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 2*frontDescriptors {
		return exitNotRun, fmt.Errorf("the clients may open %d files only (%v)", own.Cur, err)
	}
	r, err := newRig(record)
	if err != nil {
		return exitNotRun, err
	}
	defer r.close()
	r.heartbeatMs = 1500
	for name, value := range map[string]any{
		"InTouchMs": 5000, "AcknowledgeMs": 6000, "CatchUpS": 6, "OuterStretchMs": 10000, "RetryBudgetSlack": 220, "RecoveryS": 15,
		"PurgeMs": 2000, "StaleSlackS": 2, "CeilingWindowS": 5, "CeilingOvershoot": ceilingOvershoot,
	} {
		r.bounds[name] = value
	}
	r.contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "cache"}
	r.deployment = "content"
	r.descriptors = map[string]uint64{"front": frontDescriptors}
	for i, name := range controlNodes {
		r.add(name, "control", "north", i+1)
	}
	r.add("n1", "cache", "north", 21)
	r.add("f1", "front", "north", 11)
	for i := range 4 {
		if _, err := r.addSearcher(fmt.Sprintf("i-orders-%d", i), "orders", "north", 100+i, 20); err != nil {
			return exitNotRun, err
		}
	}
	if err := r.startAll(controlNodes...); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Second)
	if _, err := r.put(0, shopConfiguration(), controlNodes...); err != nil {
		return exitNotRun, err
	}
	if err := r.eventually("the front serves", 15*time.Second, func() bool { return r.askShop(http.MethodGet, "/status/1").status == http.StatusOK }); err != nil {
		return exitNotRun, err
	}

	var totals clientTotals
	var clients sync.WaitGroup
	stop := make(chan struct{})
	defer clients.Wait()
	defer close(stop)
	come := func(number int, within time.Duration, until <-chan struct{}) {
		for range number {
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(rand.N(within))
				r.keepConnection("f1", &totals, until)
			}()
		}
	}
	go r.askReadiness("f1", stop)
	go r.noteTotals(&totals, stop)
	come(usualClients, 4*time.Second, stop)
	time.Sleep(8 * time.Second)
	r.note("usual traffic: %d clients keep a connection; served %d, failed %d", totals.connected.Load(), totals.served.Load(), totals.failed.Load())
	if r.trouble {
		r.note("burst: %.1f times as many clients, for %v", burstFactor, burstDuration)
		leave := make(chan struct{})
		come(int(usualClients*(burstFactor-1)), cycle, leave)
		time.Sleep(burstDuration)
		r.note("in the burst: %d clients have a connection; served %d, failed %d", totals.connected.Load(), totals.served.Load(), totals.failed.Load())
		close(leave)
		r.note("the burst is over, its clients leave")
	} else {
		time.Sleep(burstDuration)
	}
	time.Sleep(calmAfter)
	return r.judgeShop()
}

// noteTotals notes once a second what the clients with kept connections saw, and how
// many requests ran.
func (r *rig) noteTotals(totals *clientTotals, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		r.mu.Lock()
		runs := len(r.runs)
		r.mu.Unlock()
		r.note("clients with kept connections: %d connected, %d requests served, %d failed, %d answers that ended their connection; %d runs at the searchers", totals.connected.Load(), totals.served.Load(), totals.failed.Load(), totals.closed.Load(), runs)
	}
}

// askReadiness asks the front once a second whether it is ready, as the platform
// does, and notes changes.
func (r *rig) askReadiness(front string, stop <-chan struct{}) {
	for last, first := false, true; ; first = false {
		ready := r.readiness(front)
		if first || ready != last {
			r.note("platform: %s is ready: %v", front, ready)
		}
		last = ready
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (r *rig) askShop(method, path string) answer {
	return r.ask("f1", method, shopHost, path, nil, nil, shopDeadline)
}

// judgeShop sends requests on new connections, a few at a time. Those that can't be
// repeated are waited for; the ones without a final answer half a second after the
// route's TimeoutMs count. The others show what clients see who go on to another node:
// they give a try up that isn't answered within a second.
func (r *rig) judgeShop() (int, error) {
	var judged sync.WaitGroup
	var asked, silent, givenUp atomic.Int64
	for i := range 40 {
		judged.Add(1)
		go func() {
			defer judged.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			method, path, patience := http.MethodPost, "/confirm/2", shopDeadline
			if i%4 == 3 {
				method, path, patience = http.MethodGet, "/status/2", time.Second
			}
			begun := r.now()
			a := r.ask("f1", method, shopHost, path, nil, nil, patience)
			lasted := r.now() - begun
			switch {
			case method == http.MethodGet && a.status == 0:
				givenUp.Add(1)
			case method == http.MethodPost:
				asked.Add(1)
				if a.status == 0 && lasted > shopTimeout+500*time.Millisecond {
					silent.Add(1)
				}
			}
			r.note("client: %s %s %s on a new connection, sent at %.3f: status %d err %v after %.3f s, runs %d", a.id, method, path, a.sent.Seconds(), a.status, a.err, lasted.Seconds(), len(r.runsOf(a.id)))
		}()
	}
	judged.Wait()
	r.note("of %d unsafe requests on new connections %d had no final answer 0.5 s after TimeoutMs (%v); of 10 safe ones %d were given up after a second", asked.Load(), silent.Load(), shopTimeout, givenUp.Load())
	if broken := silent.Load(); broken >= 8 && 4*broken > asked.Load() {
		r.note("BROKEN: the front doesn't answer")
		return r.verdict(int(broken), "requests had no final answer half a second after their route's TimeoutMs")
	}
	return r.verdict(0, "requests without a final answer after TimeoutMs, or too few of them")
}
