package testcluster

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Mode is how a fake endpoint answers.
type Mode string

// The modes.
const (
	// ModeNormal answers with the records of the service.
	ModeNormal Mode = ""
	// ModeError answers 500 after executing the request.
	ModeError Mode = "500"
	// ModeTruncated closes the connection in the middle of the body.
	ModeTruncated Mode = "cut"
	// ModeNotRun rejects the request without executing it, and says so.
	ModeNotRun Mode = "notrun"
	// ModeSlow answers after slowAnswerDelay.
	ModeSlow Mode = "slow"
	// ModeFailLate answers 500 after slowAnswerDelay.
	ModeFailLate Mode = "faillate"
	// ModeHang answers nothing, for hangTime at most.
	ModeHang Mode = "hang"
	// ModeSurplus sends a second answer after the first.
	ModeSurplus Mode = "surplus"
	// ModeLarge answers with LargeAnswerBytes.
	ModeLarge Mode = "large"
	// ModeHuge answers with HugeAnswerBytes.
	ModeHuge Mode = "huge"
	// ModeNoStamp answers without a server stamp.
	ModeNoStamp Mode = "nostamp"
)

// LargeAnswerBytes is the size of an answer in ModeLarge.
const LargeAnswerBytes = 256 << 10

// HugeAnswerBytes is the size of an answer in ModeHuge.
const HugeAnswerBytes = 16 << 20

const (
	slowAnswerDelay = 700 * time.Millisecond
	hangTime        = 5 * time.Second
	surplusDelay    = 50 * time.Millisecond
	// recordBytes is the length of a record and recordsPerService how many an
	// answer holds.
	recordBytes       = 16
	recordsPerService = 5
)

// Endpoint is a fake endpoint of a service.
type Endpoint struct {
	id, service string
	zone        string
	version     string
	Server      *httptest.Server

	// mu guards the fields below.
	mu   sync.Mutex
	mode Mode
	// Executed lists the requests that were executed, as "METHOD TARGET ID
	// BODY". Tests may read it while no request is in flight.
	Executed []string
	// arrivals lists all requests that came, and when the work on each ended.
	arrivals []*Arrival
	// objectVersion is the version of the objects that an origin serves, 0 if
	// the endpoint is none.
	objectVersion int
}

// SetMode changes how the endpoint answers from now on.
func (e *Endpoint) SetMode(mode Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = mode
}

// ServeObjects makes the endpoint an origin whose objects have this version.
func (e *Endpoint) ServeObjects(version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.objectVersion = version
}

// RunCount returns how many requests were executed.
func (e *Endpoint) RunCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.Executed)
}

// Records are what a normal endpoint of a service answers: records of
// recordBytes, the same for all endpoints of the service.
func Records(service string) []byte {
	var out []byte
	for i := range byte(recordsPerService) {
		sum := sha256.Sum256(append([]byte(service), i))
		out = append(out, sum[:recordBytes]...)
	}
	return out
}

// ServeHTTP answers as the mode says.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off on its way, and is not processed
	}
	if expected := r.Header.Get("Swiftswitch-Expected-Instance"); expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	mode, stamp := e.execute(r, body)
	defer e.recordArrival(r, body, mode)()
	if mode != ModeNoStamp {
		w.Header().Set("Swiftswitch-Server-Stamp", stamp)
	}
	w.Header().Set("Swiftswitch-Server-Load", "0,0,2")
	switch mode {
	case ModeError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case ModeNotRun:
		w.Header().Set("Swiftswitch-Not-Run", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case ModeTruncated:
		answerTruncated(w, stamp)
		return
	case ModeSurplus:
		answerTwice(w, stamp, Records(e.service))
		return
	}
	if !awaitConnection(r, mode.delay()) {
		return
	}
	if mode == ModeFailLate {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if size := mode.answerBytes(); size > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		answerZeros(w, size)
		return
	}
	e.mu.Lock()
	objectVersion := e.objectVersion
	e.mu.Unlock()
	if objectVersion > 0 {
		answerObject(w, r, objectVersion)
		return
	}
	w.Header().Set("X-Kept", "1")
	w.Header().Add("X-Kept", "2")
	_, _ = w.Write(Records(e.service))
}

// answerBytes is the size of the answers of a mode, 0 for that of the records.
func (m Mode) answerBytes() int {
	switch m {
	case ModeLarge:
		return LargeAnswerBytes
	case ModeHuge:
		return HugeAnswerBytes
	}
	return 0
}

// answerZeros writes a body of zeros piece by piece, until its caller has left.
func answerZeros(w http.ResponseWriter, size int) {
	piece := make([]byte, min(size, LargeAnswerBytes))
	for ; size > 0; size -= len(piece) {
		if _, err := w.Write(piece[:min(size, len(piece))]); err != nil {
			return
		}
	}
}

// delay is how long an endpoint of this mode works on a request.
func (m Mode) delay() time.Duration {
	switch m {
	case ModeSlow, ModeFailLate:
		return slowAnswerDelay
	case ModeHang:
		return hangTime
	}
	return 0
}

// awaitConnection waits, and reports whether the connection of the request was
// still open at the end.
func awaitConnection(r *http.Request, delay time.Duration) bool {
	if delay == 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// execute records the request, unless it is to be rejected, and returns the
// mode that it is answered in and the stamp of the answer.
func (e *Endpoint) execute(r *http.Request, body []byte) (Mode, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Swiftswitch-Request-Id")
	if e.mode != ModeNotRun {
		e.Executed = append(e.Executed, r.Method+" "+r.RequestURI+" "+id+" "+string(body))
	}
	return e.mode, fmt.Sprintf("%s.%s.%d", e.id, id, len(e.Executed))
}

func answerTruncated(w http.ResponseWriter, stamp string) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: %s\r\nContent-Length: 80\r\n\r\nshort", stamp)
	_ = conn.Close()
}

func answerTwice(w http.ResponseWriter, stamp string, body []byte) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nSwiftswitch-Server-Stamp: old\r\nContent-Length: 0\r\n\r\n", stamp, len(body), body)
	time.Sleep(surplusDelay)
	_ = conn.Close()
}

// answerObject answers as an origin: the object has its version as ETag, and as
// tags "all" and "t" with the last letter of its path.
func answerObject(w http.ResponseWriter, r *http.Request, version int) {
	etag := fmt.Sprintf("%q", fmt.Sprint("v", version))
	w.Header().Set("ETag", etag)
	w.Header().Set("Swiftswitch-Object-Tags", "all t"+r.URL.Path[len(r.URL.Path)-1:])
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = fmt.Fprintf(w, "%s version %d", r.URL.Path, version)
}
