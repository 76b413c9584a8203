package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const pagesHost = "results.example"

func pagesConfiguration(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-card", "HostName": pagesHost, "PathPrefix": "/card/", "RouteKind": "safe", "TimeoutMs": 1500,
			"TargetLatencyMs": 300, "Priority": 1, "Service": "runnerpages", "Attempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "runnerpages", "HealthPath": "/health", "ConnectionLimit": 57, "Protocol": "h1", "TransportSecurity": false}},
		"Limits":   map[string]any{"HeaderSizeBytes": 16384, "BodySizeBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// rolloutState is what the operator reads about a service's rollout.
type rolloutState struct {
	State         string `json:"State"`
	TargetVersion string `json:"TargetVersion"`
}

// order sends an order until it is acknowledged.
func (r *rig) order(target string, names ...string) error {
	body := []byte(fmt.Sprintf(`{"Service":"runnerpages","TargetVersion":%q,"DurationS":12}`, target))
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, name := range names {
			status, answer, err := r.operatorCall(name, http.MethodPost, "/-/rollouts", 0, body, time.Second)
			r.note("operator POST %s to %s: status %d %s err %v", body, name, status, strings.TrimSpace(string(answer)), err)
			if err == nil && status == http.StatusOK {
				return nil
			}
			if err == nil && status >= 400 && status < 500 {
				return fmt.Errorf("the order of %s was refused with %d", target, status)
			}
		}
	}
	return fmt.Errorf("the order of %s was not acknowledged", target)
}

// rollout reads how far the service's rollout is.
func (r *rig) rollout(names ...string) (state rolloutState, ok bool) {
	for _, name := range names {
		status, answer, err := r.operatorCall(name, http.MethodGet, "/-/rollouts/runnerpages", 0, nil, time.Second)
		if err == nil && status == http.StatusOK && json.Unmarshal(answer, &state) == nil {
			return state, true
		}
	}
	return state, false
}

// versionSearchers starts two searchers of a version.
func (r *rig) versionSearchers(version string, number int) (searchers []*searcher, err error) {
	for i := range 2 {
		s, err := r.newSearcher(fmt.Sprintf("i-%s-%d", version, number+i), "runnerpages", number+i)
		if err != nil {
			return nil, err
		}
		s.workMs.Store(10)
		s.serve()
		r.listVersion(s, "north", version)
		searchers = append(searchers, s)
	}
	return searchers, nil
}

// endSearchers ends searchers at once, as the platform does when a rollout is
// completed, and takes them off the list.
func (r *rig) endSearchers(searchers []*searcher) {
	for _, s := range searchers {
		r.note("searcher %s ends", s.id)
		r.setState(s.id, "")
		_ = s.server.Close()
	}
}

// moveTo orders a version, whose searchers are started beside the old ones, and
// waits until the rollout is completed.
func (r *rig) moveTo(version string, number int, old []*searcher, names ...string) ([]*searcher, error) {
	searchers, err := r.versionSearchers(version, number)
	if err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	if err := r.order(version, names...); err != nil {
		return nil, err
	}
	err = r.eventually("the rollout to "+version+" is completed", 16*time.Second, func() bool {
		state, ok := r.rollout(names...)
		return ok && state == rolloutState{"completed", version}
	})
	state, _ := r.rollout(names...)
	r.note("the rollout is %s, to %s", state.State, state.TargetVersion)
	if err == nil {
		r.endSearchers(old)
	}
	return searchers, err
}

// caseRolloutBack: a service is moved to v2, then to v3, and ordered back to v2,
// after the control nodes were restarted in turn.
func caseRolloutBack(record string) (int, error) {
	r, err := newRig(record)
	if err != nil {
		return exitNotRun, err
	}
	defer r.close()
	r.heartbeatMs = 1500
	for name, value := range map[string]any{
		"InTouchMs": 6000, "AcknowledgeMs": 8000, "CatchUpS": 6, "DrainMs": 4000, "ConfigEffectMs": 4000, "OuterStretchMs": 15000,
		"RetryBudgetSlack": 160, "ExposureShare": 0.1, "ExposureSlack": 50, "RollbackMs": 5000, "RecoveryS": 15,
	} {
		r.bounds[name] = value
	}
	r.contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "scatter"}
	control := []string{"c1", "c2", "c3"}
	for i, name := range control {
		r.add(name, "control", "north", i+1)
	}
	r.add("f1", "front", "north", 11)
	first, err := r.versionSearchers("v1", 100)
	if err != nil {
		return exitNotRun, err
	}
	if err := r.startAll(control...); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Second)
	if _, err := r.put(0, pagesConfiguration(1), control...); err != nil {
		return exitNotRun, err
	}
	if err := r.eventually("the front serves", 10*time.Second, func() bool {
		return r.ask("f1", http.MethodGet, pagesHost, "/card/1", nil, nil, time.Second).status == http.StatusOK
	}); err != nil {
		return exitNotRun, err
	}
	stop, done := r.traffic()
	defer func() {
		close(stop)
		done.Wait()
	}()
	second, err := r.moveTo("v2", 110, first, control...)
	if err != nil {
		return exitNotRun, err
	}
	third, err := r.moveTo("v3", 120, second, control...)
	if err != nil {
		return exitNotRun, err
	}
	if r.trouble {
		r.note("planned work: the control nodes get SIGTERM in turn and start again")
		for _, name := range control {
			r.signal(name, syscall.SIGTERM)
			<-r.nodes[name].done
			if err := r.startNode(name, false); err != nil {
				return exitNotRun, err
			}
			time.Sleep(time.Second)
		}
		// Calm for longer than InTouchMs.
		time.Sleep(6500 * time.Millisecond)
	}
	// The order to v2 of before is older by far than a copy of it could be.
	time.Sleep(max(0, 41*time.Second-r.now()))
	r.note("the operator orders the service back to v2")
	if _, err := r.versionSearchers("v2", 130); err != nil {
		return exitNotRun, err
	}
	time.Sleep(1500 * time.Millisecond)
	if err := r.order("v2", control...); err != nil {
		return exitNotRun, err
	}
	ordered := r.now()
	lost := 0
	var last rolloutState
	for r.now() < ordered+16*time.Second {
		state, ok := r.rollout(control...)
		if ok && state != last {
			last = state
			r.note("the operator reads: %s, to %s", state.State, state.TargetVersion)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if r.trouble {
		r.note("closing fault: all control processes are killed and start again")
		for _, name := range control {
			r.signal(name, syscall.SIGKILL)
		}
		for _, name := range control {
			<-r.nodes[name].done
		}
		for _, name := range control {
			if err := r.startNode(name, false); err != nil {
				return exitNotRun, err
			}
		}
	}
	if err := r.eventually("the rollout is read back", 15*time.Second, func() bool {
		state, ok := r.rollout(control...)
		last = state
		return ok
	}); err != nil {
		return exitNotRun, err
	}
	r.note("the operator reads back at the end: %s, to %s; acknowledged was an order to v2", last.State, last.TargetVersion)
	if last.TargetVersion != "v2" {
		lost++
		r.note("BROKEN: the acknowledged order to v2 does not exist")
	}
	r.note("runs since the order, by searcher: %s", r.runCounts(ordered))
	_ = third
	return r.verdict(lost, "acknowledged orders of a rollout are gone")
}

// traffic sends requests all the time, until stop is closed.
func (r *rig) traffic() (stop chan struct{}, done *sync.WaitGroup) {
	stop, done = make(chan struct{}), &sync.WaitGroup{}
	for range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				r.ask("f1", http.MethodGet, pagesHost, "/card/1", nil, nil, 1500*time.Millisecond)
			}
		}()
	}
	return stop, done
}

// runCounts counts the runs since a time by searcher.
func (r *rig) runCounts(since time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, run := range r.runs {
		if run.at >= since {
			counts[run.searcher]++
		}
	}
	return fmt.Sprint(counts)
}
