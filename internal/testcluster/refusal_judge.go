package testcluster

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// RefusalJudge judges what became of ordinary clients' requests, by what
// endpoints saw of them and what the clients were answered. It is safe for
// concurrent use.
type RefusalJudge struct {
	cluster *Cluster

	mu       sync.Mutex
	requests []sentRequest
}

// sentRequest is a request with a body that has ended.
type sentRequest struct {
	KeyedRequest
	body string
}

// RefusalReport is what became of the requests.
type RefusalReport struct {
	// Refused were answered by a status that promises that they did not run,
	// Unanswered got no answer.
	Requests, Reused, Served, Refused, Unanswered int
	Violations                                    []string
}

// NewRefusalJudge returns a judge of a cluster's requests.
func NewRefusalJudge(c *Cluster) *RefusalJudge { return &RefusalJudge{cluster: c} }

// Record adds a request that has ended, and its body.
func (j *RefusalJudge) Record(r KeyedRequest, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, sentRequest{r, body})
}

// Report judges all requests. It must be called once their work has ended.
func (j *RefusalJudge) Report() (report RefusalReport) {
	arrivals := j.cluster.TakeArrivals()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		report.Requests++
		if r.Reused {
			report.Reused++
		}
		switch {
		case r.Status == 0 || r.Truncated:
			report.Unanswered++
		case r.Status == http.StatusOK:
			report.Served++
		case isPromise(r.Status):
			report.Refused++
		}
		if violation := r.judge(arrivals[r.ID]); violation != "" && len(report.Violations) < maxViolations {
			report.Violations = append(report.Violations, fmt.Sprintf("%s %s at front %d, answered %d: %s", r.ID, r.Path, r.Front, r.Status, violation))
		}
	}
	return report
}

// isPromise reports whether a status says that a request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judge returns what is wrong with what became of a request, if anything is.
func (r *sentRequest) judge(arrivals []Arrival) string {
	isUnsafe := strings.HasPrefix(r.Path, unsafePath)
	for _, a := range arrivals {
		if string(a.Body) != r.body {
			return fmt.Sprintf("it arrived with %d bytes of %d", len(a.Body), len(r.body))
		}
	}
	switch {
	case isUnsafe && len(arrivals) > 1:
		return "it is unsafe and ran more than once"
	case isUnsafe && isPromise(r.Status) && len(arrivals) > 0:
		return "it was refused and ran"
	case r.Status == http.StatusOK && len(arrivals) == 0:
		return "it was answered and never ran"
	case r.Status == http.StatusOK && !r.Truncated && !bytes.Equal(r.Body, r.wantBody()):
		return fmt.Sprintf("its answer has %d bytes that are not the endpoint's", len(r.Body))
	case r.Status >= 400 && r.Status < 500 && !isPromise(r.Status):
		return "an ordinary request was refused for good"
	}
	return ""
}

// wantBody is the whole answer to the request.
func (r *sentRequest) wantBody() []byte {
	if strings.HasPrefix(r.Path, "/g/") {
		return TopRecords(recordsPerService, "s1")
	}
	return Records("plain")
}
