// Command idlefronts measures what fronts cost the control nodes: it runs many
// fronts without clients in one process and prints what they and the control
// nodes used. With --serve it serves a platform's discovery list of as many
// endpoints as wanted instead. docs/CAPACITY.md says how it is run.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/node"
)

const (
	// maxFronts bounds the fronts of one process.
	maxFronts = 1000
	// joinTime and changeTime are the shortest times that the use of joining,
	// and of a change of the configuration and a draining, is measured for.
	joinTime   = time.Second
	changeTime = 3 * time.Second
	// waitTimeout bounds every wait, waitInterval is how often it looks.
	waitTimeout  = time.Minute
	waitInterval = 2 * time.Millisecond
)

// options are set by flags.
type options struct {
	settingsPath string
	fronts       int
	endpoints    int
	services     int
	pageSize     int
	listAddress  string
	serveList    bool
	nodeAddress  string
	controlPIDs  string
	idleTime     time.Duration
}

func parseOptions() options {
	var o options
	flag.StringVar(&o.settingsPath, "settings", "examples/front.yaml", "settings that the fronts' are made of")
	flag.IntVar(&o.fronts, "fronts", 100, "how many fronts, at most 1000")
	flag.IntVar(&o.endpoints, "endpoints", 1000, "how many endpoints are on the list")
	flag.IntVar(&o.services, "shards", 60, "how many services they belong to, each a shard")
	flag.IntVar(&o.pageSize, "page", 500, "how many endpoints are on a page of the list")
	flag.StringVar(&o.listAddress, "list", "127.0.0.1:7300", "address of the platform's list")
	flag.BoolVar(&o.serveList, "serve", false, "serve the list and nothing else")
	flag.StringVar(&o.nodeAddress, "node", "127.0.0.2:7201", "a node that takes the operator's calls")
	flag.StringVar(&o.controlPIDs, "pids", "", "process IDs of the control nodes, joined by commas")
	flag.DurationVar(&o.idleTime, "for", 20*time.Second, "how long the idle state is measured")
	flag.Parse()
	if o.fronts < 1 || o.fronts > maxFronts || o.endpoints < 1 || o.services < 1 || o.pageSize < 1 {
		log.Fatalf("--fronts must be from 1 to %d, --endpoints, --shards and --page above 0", maxFronts)
	}
	return o
}

func main() {
	o := parseOptions()
	settings, err := config.LoadSettings(o.settingsPath)
	if err != nil {
		log.Fatal(err)
	}
	events.SetOutput(io.Discard)
	if o.serveList {
		zones := slices.Collect(maps.Keys(settings.Zones))
		if len(zones) == 0 {
			zones = []string{settings.Zone}
		}
		log.Fatal(http.ListenAndServe(o.listAddress, newDiscoveryList(o.endpoints, o.services, o.pageSize, zones)))
	}
	run(o, settings)
}

// run measures the fronts joining, idle, and taking a change.
func run(o options, settings *config.Settings) {
	meter := newMeter(parsePIDs(o.controlPIDs))
	version := putConfiguration(o.nodeAddress, 0, o.services)
	var fronts *node.IdleFronts
	meter.measure("joining", joinTime, func() {
		begun := time.Now()
		var err error
		if fronts, err = node.StartIdleFronts(settings, o.fronts, host.DefaultOptions()); err != nil {
			log.Fatal(err)
		}
		waitFor("all fronts ready", begun, func() bool {
			ready, _ := fronts.Progress(0, endpoints.Stamp{})
			return ready == o.fronts
		})
	})
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Printf("a front: %.2f MB of this process's heap\n", float64(memory.HeapInuse)/bytesPerMB/float64(o.fronts))
	meter.measure("idle", o.idleTime, func() {})
	meter.measure("a version and a draining", changeTime, func() {
		changeVersion(o, fronts, version)
		drainEndpoint(o, fronts, version+1)
	})
	fronts.Stop()
}

// changeVersion puts the version after the given one in force and waits until
// all fronts hold it.
func changeVersion(o options, fronts *node.IdleFronts, version int64) {
	_, table := fronts.Newest()
	begun := time.Now()
	version = putConfiguration(o.nodeAddress, version, o.services)
	waitFor("the version everywhere", begun, func() bool {
		_, current := fronts.Progress(version, table)
		return current == o.fronts
	})
}

// drainEndpoint has the list name one endpoint more as draining and waits until
// all fronts hold the table that says so.
func drainEndpoint(o options, fronts *node.IdleFronts, version int64) {
	_, before := fronts.Newest()
	begun := time.Now()
	response, err := http.Post("http://"+o.listAddress+"/drain", "", nil)
	if err != nil {
		log.Fatal(err)
	}
	_ = response.Body.Close()
	waitFor("the draining everywhere", begun, func() bool {
		_, now := fronts.Newest()
		_, current := fronts.Progress(version, now)
		return before.Before(now) && current == o.fronts
	})
}

func waitFor(what string, since time.Time, done func() bool) {
	for !done() {
		if time.Since(since) > waitTimeout {
			log.Fatalf("not within %v: %s", waitTimeout, what)
		}
		time.Sleep(waitInterval)
	}
	fmt.Printf("%s after %.3f s\n", what, time.Since(since).Seconds())
}

func parsePIDs(joined string) (pids []int) {
	for _, text := range strings.Split(joined, ",") {
		if pid, err := strconv.Atoi(text); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}
