package main

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftswitch/internal/nodeapi"
)

const (
	// putTimeout bounds how long a change of the configuration is retried,
	// putInterval is the time between two attempts.
	putTimeout  = 30 * time.Second
	putInterval = 100 * time.Millisecond
)

// putConfiguration puts a configuration of the next version in force that
// gathers from all shards, and returns that version.
func putConfiguration(address string, base int64, services int) int64 {
	next := base + 1
	body := configurationBody(next, services)
	for end := time.Now().Add(putTimeout); time.Now().Before(end); time.Sleep(putInterval) {
		request, _ := http.NewRequest("PUT", "http://"+address+nodeapi.PathConfiguration, strings.NewReader(body))
		request.Header.Set("If-Match", strconv.FormatInt(base, 10))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return next
		}
		log.Printf("PUT: %d %s", response.StatusCode, raw)
	}
	log.Fatal("no configuration was taken")
	return 0
}

func configurationBody(version int64, services int) string {
	var definitions, names []string
	for i := range services {
		definitions = append(definitions, fmt.Sprintf(`{"Name":"index-%d","HealthPath":"/health","ConnectionLimit":250}`, i))
		names = append(names, fmt.Sprintf(`"index-%d"`, i))
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"find","HostName":"a.example","PathPrefix":"/find/","RouteKind":"safe","TimeoutMs":%d,"TargetLatencyMs":100,"GatheredServices":[%s],"Attempts":2,"TopRecords":10,"MinimumShare":0.5}],"Services":[%s]}`,
		version, 1000+version, strings.Join(names, ","), strings.Join(definitions, ","))
}
