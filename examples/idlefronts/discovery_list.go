package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// idSpread, an odd number, spreads the instances' IDs over 32 bits, so that
// their order is not that of the list.
const idSpread = 2654435761

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

// page is an answer of the platform.
type page struct {
	Instances     []instance `json:"Instances"`
	NextPageToken *string    `json:"NextPageToken"`
}

// discoveryList serves the platform's list. A POST makes one endpoint more
// drain.
type discoveryList struct {
	mu        sync.Mutex
	instances []instance
	pageSize  int
	drained   int
}

func newDiscoveryList(count, services, pageSize int, zones []string) *discoveryList {
	list := &discoveryList{pageSize: pageSize}
	for i := range count {
		list.instances = append(list.instances, instance{
			InstanceID: fmt.Sprintf("i-%08x", i*idSpread%(1<<32)),
			Service:    fmt.Sprintf("index-%d", i%services),
			Address:    fmt.Sprintf("10.%d.%d.%d:8080", 100+i>>16, i>>8&255, i&255),
			Zone:       zones[i/services%len(zones)],
			Version:    "v1",
			Slots:      2,
			State:      "ready",
		})
	}
	return list
}

func (l *discoveryList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method == http.MethodPost {
		l.instances[l.drained%len(l.instances)].State = "draining"
		l.drained++
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("PageToken")) // without a token the list begins at 0
	to := min(len(l.instances), from+l.pageSize)
	answer := page{Instances: l.instances[min(from, to):to]}
	if to < len(l.instances) {
		token := strconv.Itoa(to)
		answer.NextPageToken = &token
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a caller that left needs no answer
}
