// Command standin stands in for a platform and its searchers, for the quick
// start: it serves the list of searchers that examples/hut.yaml names, and two
// searchers of each service of examples/configuration.json.
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

// instance is an entry of the platform's list.
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

// searcher answers as one instance. A shard of a gathered service answers with
// records of 16 bytes, others with a line of text.
func searcher(id, service string, shard bool) http.Handler {
	var runs atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Swiftswitch-Instance-Id", id)
		if r.URL.Path == "/health" {
			return
		}
		if want := r.Header.Get("Swiftswitch-Expected-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		asked := r.Header.Get("Swiftswitch-Request-Id")
		w.Header().Set("Swiftswitch-Server-Stamp", fmt.Sprintf("%s.%s.%d", id, asked, runs.Add(1)))
		if !shard {
			w.Header().Set("Swiftswitch-Request-Id", asked)
			_, _ = fmt.Fprintf(w, "%s answers %s\n", service, r.URL.Path) // a caller that left needs no answer
			return
		}
		for i := range 5 {
			sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", service, i))
			_, _ = fmt.Fprintf(w, "%016x", sum[:8]) // a caller that left needs no answer
		}
	})
}

func main() {
	list := flag.String("list", "127.0.0.1:7300", "address of the platform's list")
	zone := flag.String("zone", "north", "zone of the searchers")
	flag.Parse()
	var all []instance
	for _, service := range []string{"index-1", "index-2", "pages"} {
		for _, n := range []string{"a", "b"} {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				log.Fatal(err)
			}
			id := service + "-" + n
			all = append(all, instance{id, service, ln.Addr().String(), *zone, "v1", 2, "ready", 0})
			go func() { log.Fatal(http.Serve(ln, searcher(id, service, service != "pages"))) }()
		}
	}
	http.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": all, "NextPageToken": nil})
	})
	log.Printf("%d searchers; their list is at http://%s/instances", len(all), *list)
	log.Fatal(http.ListenAndServe(*list, nil))
}
