package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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
func (r *rig) order(target string, names ...string) error { return r.orderWithin(target, 12, names...) }

func (r *rig) orderWithin(target string, seconds int, names ...string) error {
	body := []byte(fmt.Sprintf(`{"Service":"runnerpages","TargetVersion":%q,"DurationS":%d}`, target, seconds))
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

// controlNodes are the control nodes of the cases about rollouts.
var controlNodes = []string{"c1", "c2", "c3"}

// rolloutRig is a deployment with the bounds of the rollouts, which serves v1. The
// machines of cutOff, one at most, can be cut off.
func rolloutRig(record string, cutOff ...string) (r *rig, first []*searcher, err error) {
	if r, err = newRig(record); err != nil {
		return nil, nil, err
	}
	r.heartbeatMs = 1200
	for name, value := range map[string]any{
		"InTouchMs": 6000, "AcknowledgeMs": 8000, "CatchUpS": 6, "DrainMs": 4000, "ConfigEffectMs": 4000, "OuterStretchMs": 15000,
		"RetryBudgetSlack": 160, "ExposureShare": 0.1, "ExposureSlack": 50, "RollbackMs": 5000, "RecoveryS": 15,
	} {
		r.bounds[name] = value
	}
	r.contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "scatter"}
	for i, name := range controlNodes {
		r.add(name, "control", "north", i+1)
	}
	r.add("f1", "front", "north", 11)
	for _, name := range cutOff {
		if r.cutter, err = r.cutOff(name); err != nil {
			return r, nil, err
		}
	}
	if first, err = r.versionSearchers("v1", 100); err != nil {
		return r, nil, err
	}
	if err := r.startAll(controlNodes...); err != nil {
		return r, nil, err
	}
	time.Sleep(time.Second)
	if _, err := r.put(0, pagesConfiguration(1), controlNodes...); err != nil {
		return r, nil, err
	}
	return r, first, r.eventually("the front serves", 10*time.Second, func() bool {
		return r.ask("f1", http.MethodGet, pagesHost, "/card/1", nil, nil, time.Second).status == http.StatusOK
	})
}

// orderAge is when a case orders the service back to v2: the order of before is
// older then by far than a copy of it could be, which comes within AcknowledgeMs.
const orderAge = 41 * time.Second

// caseRolloutBack: a service is moved to v2, then to v3, and ordered back to v2,
// after the control nodes were restarted in turn.
func caseRolloutBack(record string) (int, error) {
	r, first, err := rolloutRig(record)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	control := controlNodes
	stop, done := r.traffic()
	defer func() {
		close(stop)
		done.Wait()
	}()
	second, err := r.moveTo("v2", 110, first, control...)
	if err != nil {
		return exitNotRun, err
	}
	if _, err := r.moveTo("v3", 120, second, control...); err != nil {
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
	time.Sleep(max(0, orderAge-r.now()))
	r.note("the operator orders the service back to v2")
	if _, err := r.versionSearchers("v2", 130); err != nil {
		return exitNotRun, err
	}
	time.Sleep(1500 * time.Millisecond)
	if err := r.order("v2", control...); err != nil {
		return exitNotRun, err
	}
	return r.closeAndReadBack()
}

// closeAndReadBack plays the closing fault right after the acknowledgement of an
// order to v2, waits for RecoveryS, and reads the rollout back.
func (r *rig) closeAndReadBack() (int, error) {
	ordered := r.now()
	if r.trouble {
		time.Sleep(100 * time.Millisecond)
		r.note("closing fault: all processes are killed and start again")
		for name, p := range r.nodes {
			select {
			case <-p.done:
			default:
				r.signal(name, syscall.SIGKILL)
				<-p.done
			}
		}
		for name := range r.nodes {
			if err := r.startNode(name, false); err != nil {
				return exitNotRun, err
			}
		}
	}
	var last rolloutState
	for r.now() < ordered+16*time.Second {
		state, ok := r.rollout(controlNodes...)
		if ok && state != last {
			last = state
			r.note("the operator reads: %s, to %s", state.State, state.TargetVersion)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return r.readBack(ordered)
}

// readBack reads the rollout at the end, when an order to v2 was acknowledged.
func (r *rig) readBack(ordered time.Duration) (int, error) {
	lost := 0
	var last rolloutState
	if err := r.eventually("the rollout is read back", 15*time.Second, func() bool {
		state, ok := r.rollout(controlNodes...)
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
	return r.verdict(lost, "acknowledged orders of a rollout are gone")
}
