package testcluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	headerTenantName = "Swiftswitch-Tenant-Name"
	// configurationEffect and inTouchTime are ConfigEffectMs and InTouchMs of
	// Cluster.Settings, before they are stretched.
	configurationEffect = time.Second
	inTouchTime         = time.Second
	// maxViolations bounds how many violations a report names.
	maxViolations = 12
)

// TenantJudge judges what became of clients' requests by their keys: by what
// endpoints saw of them and what clients were answered. It is safe for
// concurrent use.
type TenantJudge struct {
	cluster  *Cluster
	operator *TenantOperator

	mu       sync.Mutex
	requests []KeyedRequest
	// troubles are the times at which a front was not in touch.
	troubles []frontTrouble
	// invented are the keys that clients made up.
	invented map[string]bool
}

// frontTrouble is a time at which a front was down, frozen or cut off. end is
// zero while it lasts. Front 0 stands for all.
type frontTrouble struct {
	front      int
	start, end time.Time
}

// NewTenantJudge returns a judge of a cluster's requests.
func NewTenantJudge(c *Cluster, operator *TenantOperator) *TenantJudge {
	return &TenantJudge{cluster: c, operator: operator, invented: map[string]bool{}}
}

// Record adds a request that has ended.
func (j *TenantJudge) Record(r KeyedRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, r)
}

// Invent notes a key that clients present and no configuration ever holds.
func (j *TenantJudge) Invent(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.invented[key] = true
}

// Trouble notes that a front, or with 0 all of them, is not in touch until
// ended is called.
func (j *TenantJudge) Trouble(front int) (ended func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.troubles = append(j.troubles, frontTrouble{front: front, start: time.Now()})
	i := len(j.troubles) - 1
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.troubles[i].end = time.Now()
	}
}

// TenantReport is what the judge found.
type TenantReport struct {
	// Requests counts the requests judged, Reused those on a connection that had
	// carried others, Runs the runs of them at endpoints.
	Requests, Reused, Runs int
	// Served and Denied count the answers with success and with 401.
	Served, Denied int
	// Violations names the breaks of a rule, the first of them.
	Violations []string
	// Broken counts all of them, by rule.
	Broken map[string]int
}

func (r *TenantReport) String() string {
	return fmt.Sprintf("%d requests, %d on kept connections, %d runs, %d served, %d answered 401; broken: %v", r.Requests, r.Reused, r.Runs, r.Served, r.Denied, r.Broken)
}

func (r *TenantReport) add(rule, format string, details ...any) {
	r.Broken[rule]++
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, rule+": "+fmt.Sprintf(format, details...))
	}
}

// Judge judges all requests recorded so far, and forgets them.
func (j *TenantJudge) Judge() *TenantReport {
	arrivals := j.cluster.TakeArrivals()
	j.mu.Lock()
	defer j.mu.Unlock()
	report := &TenantReport{Requests: len(j.requests), Broken: map[string]int{}}
	secrets := j.operator.keys()
	for key := range j.invented {
		secrets[key] = true
	}
	for _, list := range arrivals {
		for _, a := range list {
			report.Runs++
			if field := a.leak(secrets); field != "" {
				report.add("UNASKED", "%s of %s: an endpoint got a key in %s", a.Target, a.ID, field)
			}
		}
	}
	for i := range j.requests {
		j.judgeRequest(report, &j.requests[i], arrivals[j.requests[i].ID])
	}
	j.requests = nil
	return report
}

// judgeRequest judges one request and its runs.
func (j *TenantJudge) judgeRequest(report *TenantReport, r *KeyedRequest, runs []Arrival) {
	if r.Reused {
		report.Reused++
	}
	switch {
	case r.Status >= 200 && r.Status < 300:
		report.Served++
	case r.Status == http.StatusUnauthorized:
		report.Denied++
	}
	if strings.HasPrefix(r.Path, PublicPath) {
		j.judgePublic(report, r, runs)
		return
	}
	allowed := map[string]bool{"": true}
	if r.Key != "" {
		allowed = j.operator.allowedOwners(r.Key, r.SentAt, r.EndedAt, !j.wasInTrouble(r), j.cluster.ConfigurationEffect(), j.cluster.revocation())
	}
	names := slices.DeleteFunc(mapKeys(allowed), func(name string) bool { return name == "" })
	for _, run := range runs {
		// An attempt that its front no longer waits for may still arrive.
		got := run.Header.Values(headerTenantName)
		switch {
		case len(names) == 0:
			report.add("ROUTE", "%s of %s ran, sent at %v: its key is no tenant's", r.Path, r.ID, r.SentAt.Format(time.StampMilli))
		case len(got) != 1 || !slices.Contains(names, got[0]):
			report.add("UNASKED", "%s of %s ran as %q, want one of %q", r.Path, r.ID, got, names)
		}
	}
	if r.Status >= 200 && r.Status < 300 && len(names) == 0 {
		report.add("CONFIG", "%s of %s is answered %d, sent at %v: its key is no tenant's", r.Path, r.ID, r.Status, r.SentAt.Format(time.StampMilli))
	}
	if r.Status == http.StatusUnauthorized && !allowed[""] {
		report.add("DENIED", "%s of %s is answered 401, sent at %v: its key is one of %q", r.Path, r.ID, r.SentAt.Format(time.StampMilli), names)
	}
}

// judgePublic judges a request on the route that wants no key.
func (j *TenantJudge) judgePublic(report *TenantReport, r *KeyedRequest, runs []Arrival) {
	if r.Status == http.StatusUnauthorized {
		report.add("DENIED", "%s of %s is answered 401 on a public route", r.Path, r.ID)
	}
	for _, run := range runs {
		if got := run.Header.Values(headerTenantName); len(got) > 0 {
			report.add("UNASKED", "%s of %s ran as %q on a public route", r.Path, r.ID, got)
		}
	}
}

// wasInTrouble reports whether the front was not in touch for some of the
// request's time.
func (j *TenantJudge) wasInTrouble(r *KeyedRequest) bool {
	return slices.ContainsFunc(j.troubles, func(t frontTrouble) bool {
		isOver := !t.end.IsZero() && t.end.Add(j.cluster.scaled(inTouchTime)).Before(r.SentAt)
		return (t.front == 0 || t.front == r.Front) && !isOver && t.start.Before(r.EndedAt)
	})
}

// leak returns where an endpoint saw one of the secrets, empty if it didn't.
func (a *Arrival) leak(secrets map[string]bool) string {
	contains := func(text string) bool {
		for secret := range secrets {
			if strings.Contains(text, secret) {
				return true
			}
		}
		return false
	}
	for name, values := range a.Header {
		if strings.EqualFold(name, "X-Api-Key") || contains(name+strings.Join(values, "\n")) {
			return "header " + name
		}
	}
	for name, values := range a.Trailer {
		if strings.EqualFold(name, "X-Api-Key") || contains(name+strings.Join(values, "\n")) {
			return "trailer " + name
		}
	}
	switch {
	case contains(string(a.Body)):
		return "the body"
	case contains(a.Target):
		return "the target"
	}
	return ""
}

func mapKeys(set map[string]bool) []string {
	var keys []string
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
