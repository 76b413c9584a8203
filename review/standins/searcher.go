package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// searcher is a sound searcher of one service.
type searcher struct {
	rig         *rig
	id, service string
	listener    net.Listener
	server      *http.Server
	serial      atomic.Int64
	// workMs is how long it works on a request.
	workMs atomic.Int64
	// body makes the answer's body; the default is a line of text.
	body func(r *http.Request) []byte
}

// addSearcher starts a searcher and puts it on the platform's list.
func (r *rig) addSearcher(id, service, zone string, number int, workMs int64) (*searcher, error) {
	s, err := r.newSearcher(id, service, number)
	if err != nil {
		return nil, err
	}
	s.workMs.Store(workMs)
	s.serve()
	r.list(s, zone)
	return s, nil
}

func (r *rig) newSearcher(id, service string, number int) (*searcher, error) {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", r.subnet, number))
	if err != nil {
		return nil, err
	}
	return &searcher{rig: r, id: id, service: service, listener: listener}, nil
}

// list puts a searcher on the platform's list.
func (r *rig) list(s *searcher, zone string) { r.listVersion(s, zone, "v1") }

// listVersion puts a searcher with software of a version on the platform's list.
func (r *rig) listVersion(s *searcher, zone, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, instance{InstanceID: s.id, Service: s.service, Address: s.listener.Addr().String(), Zone: zone, Version: version, Slots: 4, State: "ready"})
}

func (s *searcher) serve() {
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(s.listener) }()
}

// began records that the work on a request has begun.
func (s *searcher) began(id, method, target, tenant, body string) {
	r := s.rig
	r.mu.Lock()
	r.runs = append(r.runs, searcherRun{r.now(), s.id, s.service, id, method, target, tenant, body})
	r.mu.Unlock()
}

// ServeHTTP answers as a sound searcher does.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Swiftswitch-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Swiftswitch-Request-Id")
	w.Header().Set("Swiftswitch-Request-Id", id)
	if expected := r.Header.Get("Swiftswitch-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Swiftswitch-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.began(id, r.Method, r.RequestURI, r.Header.Get("Swiftswitch-Tenant-Name"), string(body))
	select {
	case <-time.After(time.Duration(s.workMs.Load()) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Swiftswitch-Server-Stamp", fmt.Sprintf("%s.%s.%d", s.id, id, s.serial.Add(1)))
	if s.body != nil {
		_, _ = w.Write(s.body(r))
		return
	}
	_, _ = fmt.Fprintf(w, "%s answers %s\n", s.service, r.RequestURI)
}
