// Command hollow measures what fronts cost huts: it runs many fronts without
// clients in one process and prints what they and the huts used. With --serve
// it serves a platform's list of as many searchers as wanted instead.
// docs/CAPACITY.md tells how it is run.
package main

import (
	"swiftswitch/internal/node"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
)

// most bounds the fronts of one process.
const most = 1000

type list struct {
	mu      sync.Mutex
	all     []map[string]any
	page    int
	drained int
}

func newList(searchers, shards, page int, zones []string) *list {
	l := &list{page: page}
	for i := range searchers {
		l.all = append(l.all, map[string]any{
			"InstanceId": fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), "Service": fmt.Sprintf("index-%d", i%shards),
			"Address": fmt.Sprintf("10.%d.%d.%d:8080", 100+i>>16, i>>8&255, i&255), "Zone": zones[i/shards%len(zones)],
			"Version": "v1", "Slots": 2, "State": "ready", "ColdRemainingMs": 0,
		})
	}
	return l
}

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method == "POST" {
		// One searcher more is draining.
		l.all[l.drained%len(l.all)]["State"] = "draining"
		l.drained++
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("PageToken"))
	to := min(len(l.all), from+l.page)
	answer := map[string]any{"Instances": l.all[min(from, to):to], "NextPageToken": nil}
	if to < len(l.all) {
		answer["NextPageToken"] = strconv.Itoa(to)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// used is what a process has used: processor seconds, resident and peak MB, bytes written to sockets and files.
type used struct{ cpu, rss, peak, out float64 }

func usage(pid int) (u used) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if f := strings.Fields(string(raw)); len(f) > 15 {
		user, _ := strconv.ParseFloat(f[13], 64)
		system, _ := strconv.ParseFloat(f[14], 64)
		u.cpu = (user + system) / 100
	}
	field := func(file, name string) float64 {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
		for _, line := range strings.Split(string(raw), "\n") {
			if rest, ok := strings.CutPrefix(line, name); ok {
				x, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				return x
			}
		}
		return 0
	}
	return used{u.cpu, field("status", "VmRSS:") / 1024, field("status", "VmHWM:") / 1024, field("io", "wchar:")}
}

func main() {
	settings := flag.String("settings", "examples/trail.yaml", "settings that the fronts' are made of")
	fronts := flag.Int("fronts", 100, "how many fronts, at most 1000")
	searchers := flag.Int("searchers", 1000, "how many searchers are on the list")
	shards := flag.Int("shards", 60, "how many services they belong to")
	page := flag.Int("page", 500, "how many are on a page of the list")
	address := flag.String("list", "127.0.0.1:7300", "address of the platform's list")
	serve := flag.Bool("serve", false, "serve the list and nothing else")
	controlAddress := flag.String("node", "127.0.0.2:7201", "a node that takes control calls")
	pids := flag.String("pids", "", "process ids of the huts, joined by commas")
	span := flag.Duration("for", 20*time.Second, "how long the calm state is measured")
	flag.Parse()
	if *fronts < 1 || *fronts > most || *searchers < 1 || *shards < 1 || *page < 1 {
		log.Fatalf("--fronts must be from 1 to %d, --searchers, --shards and --page above 0", most)
	}
	s, err := config.LoadSettings(*settings)
	if err != nil {
		log.Fatal(err)
	}
	zones := []string{}
	for z := range s.Zones {
		zones = append(zones, z)
	}
	if len(zones) == 0 {
		zones = []string{s.Zone}
	}
	events.SetOutput(io.Discard)
	var huts []int
	for _, p := range strings.Split(*pids, ",") {
		if n, err := strconv.Atoi(p); err == nil {
			huts = append(huts, n)
		}
	}
	if *serve {
		log.Fatal(http.ListenAndServe(*address, newList(*searchers, *shards, *page, zones)))
	}
	version := put(*controlAddress, 0, *shards)
	var mem runtime.MemStats
	var h *node.Hollow
	measure("joining", huts, time.Second, func() {
		begun := time.Now()
		if h, err = node.StartHollow(s, *fronts, host.DefaultOptions()); err != nil {
			log.Fatal(err)
		}
		wait("all fronts ready", begun, func() bool { ready, _ := h.Ready(0, endpoints.Stamp{}); return ready == *fronts })
	})
	runtime.ReadMemStats(&mem)
	fmt.Printf("a front: %.2f MB of this process's heap\n", float64(mem.HeapInuse)/(1<<20)/float64(*fronts))
	measure("calm", huts, *span, func() {})
	measure("a version and a draining", huts, 3*time.Second, func() {
		_, before := h.Newest()
		begun := time.Now()
		version = put(*controlAddress, version, *shards)
		wait("the version everywhere", begun, func() bool { _, n := h.Ready(version, before); return n == *fronts })
		begun = time.Now()
		if resp, err := http.Post("http://"+*address+"/drain", "", nil); err != nil {
			log.Fatal(err)
		} else {
			_ = resp.Body.Close()
		}
		wait("the draining everywhere", begun, func() bool {
			_, now := h.Newest()
			_, n := h.Ready(version, now)
			return before.Before(now) && n == *fronts
		})
	})
	h.Stop()
}

func wait(what string, since time.Time, done func() bool) {
	for !done() {
		if time.Since(since) > time.Minute {
			log.Fatalf("not within a minute: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	fmt.Printf("%s after %.3f s\n", what, time.Since(since).Seconds())
}

// measure prints what each hut and this process used over a span.
func measure(what string, huts []int, span time.Duration, do func()) {
	all := append([]int{os.Getpid()}, huts...)
	var before []used
	for _, p := range all {
		before = append(before, usage(p))
	}
	begun := time.Now()
	do()
	time.Sleep(span - min(span, time.Since(begun)))
	took := time.Since(begun).Seconds()
	for i, p := range all {
		u := usage(p)
		name := "hut"
		if i == 0 {
			name = "all fronts"
		}
		fmt.Printf("%s, %s: %.4f cores, %.1f KB/s (%.0f KB) written, %.1f MB (peak %.1f)\n", what, name,
			(u.cpu-before[i].cpu)/took, (u.out-before[i].out)/1024/took, (u.out-before[i].out)/1024, u.rss, u.peak)
	}
}

// put sends a configuration that gathers from all shards, and one route for each 20 of them.
func put(address string, base int64, shards int) int64 {
	var services, names []string
	for i := range shards {
		services = append(services, fmt.Sprintf(`{"Name":"index-%d","HealthPath":"/health","ConnectionLimit":250}`, i))
		names = append(names, fmt.Sprintf(`"index-%d"`, i))
	}
	next := base + 1
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"find","HostName":"a.example","PathPrefix":"/find/","RouteKind":"safe","TimeoutMs":%d,"TargetLatencyMs":100,"GatheredServices":[%s],"Attempts":2,"TopRecords":10,"MinimumShare":0.5}],"Services":[%s]}`,
		next, 1000+next, strings.Join(names, ","), strings.Join(services, ","))
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		req, _ := http.NewRequest("PUT", "http://"+address+"/-/configuration", strings.NewReader(body))
		req.Header.Set("If-Match", strconv.FormatInt(base, 10))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == 200 {
			return next
		}
		log.Printf("PUT: %d %s", resp.StatusCode, raw)
	}
	log.Fatal("no configuration was taken")
	return 0
}
