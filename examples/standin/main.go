// Command standin stands in for a platform and its endpoints, for the quick
// start: it serves the discovery list that examples/control.yaml names, and two
// endpoints of each service of examples/configuration.json.
package main

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// plainService answers with text; the others are shards.
	plainService = "pages"
	// recordsPerShard is how many records of 16 bytes a shard's answer holds.
	recordsPerShard = 5
)

// instance is an entry of the platform's discovery list.
type instance struct {
	InstanceID      string `json:"InstanceId"`
	Service         string `json:"Service"`
	Address         string `json:"Address"`
	Zone            string `json:"Zone"`
	Version         string `json:"Version"`
	Slots           int    `json:"Slots"`
	State           string `json:"State"`
	ColdRemainingMs int    `json:"ColdRemainingMs"`
}

// endpoint answers as one instance.
type endpoint struct {
	id       string
	service  string
	executed atomic.Int64
}

// ServeHTTP answers with records of 16 bytes for a shard, and with a line of
// text otherwise.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Swiftswitch-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Swiftswitch-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	requestID := r.Header.Get("Swiftswitch-Request-Id")
	w.Header().Set("Swiftswitch-Server-Stamp", fmt.Sprintf("%s.%s.%d", e.id, requestID, e.executed.Add(1)))
	if e.service == plainService {
		w.Header().Set("Swiftswitch-Request-Id", requestID)
		_, _ = fmt.Fprintf(w, "%s answers %s\n", e.service, r.URL.Path) // a caller that left needs no answer
		return
	}
	for i := range recordsPerShard {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", e.service, i))
		_, _ = fmt.Fprintf(w, "%016x", sum[:8]) // a caller that left needs no answer
	}
}

// start serves the endpoint at a free port and returns its entry in the list.
func (e *endpoint) start(zone string) instance {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.Serve(listener, e)) }()
	return instance{
		InstanceID: e.id,
		Service:    e.service,
		Address:    listener.Addr().String(),
		Zone:       zone,
		Version:    "v1",
		Slots:      2,
		State:      "ready",
	}
}

func main() {
	list := flag.String("list", "127.0.0.1:7300", "address of the platform's discovery list")
	zone := flag.String("zone", "north", "zone of the endpoints")
	flag.Parse()
	var instances []instance
	for _, service := range []string{"index-1", "index-2", plainService} {
		for _, suffix := range []string{"a", "b"} {
			e := &endpoint{id: service + "-" + suffix, service: service}
			instances = append(instances, e.start(*zone))
		}
	}
	http.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": instances, "NextPageToken": nil})
	})
	log.Printf("%d endpoints; their list is at http://%s/instances", len(instances), *list)
	log.Fatal(http.ListenAndServe(*list, nil))
}
