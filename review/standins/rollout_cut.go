package main

import (
	"strings"
	"syscall"
	"time"
)

const (
	// cutDuration is how long c3 is cut off; the site's days have 5.5 s.
	cutDuration = 5500 * time.Millisecond
	// shortTermS is the DurationS of the order that c3 misses. The rollout is
	// completed within it, and before the cut ends.
	shortTermS = 4
)

// caseRolloutCut: a control node is cut off from the others while a service is
// moved from v2 to v3, and the operator's order back to v2 reaches it.
func caseRolloutCut(record string) (int, error) {
	r, first, err := rolloutRig(record, "c3")
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	stop, done := r.trafficOf(8, 20*time.Millisecond)
	defer func() {
		close(stop)
		done.Wait()
	}()
	second, err := r.moveTo("v2", 110, first, controlNodes...)
	if err != nil {
		return exitNotRun, err
	}
	// The rollout that c3 misses is to be short, so another node should carry it.
	if err := r.yieldLease("c3"); err != nil {
		return exitNotRun, err
	}
	if _, err := r.versionSearchers("v3", 120); err != nil {
		return exitNotRun, err
	}
	time.Sleep(max(0, orderAge-r.now()))
	began := r.now()
	if r.trouble {
		r.note("cut: c3 is cut off from all other machines of the system")
		r.cutter.cut()
	}
	if err := r.orderWithin("v3", shortTermS, "c1", "c2"); err != nil {
		return exitNotRun, err
	}
	_ = r.eventually("the rollout to v3 is completed", began+cutDuration-300*time.Millisecond-r.now(), func() bool {
		state, ok := r.rollout("c1", "c2")
		return ok && state == rolloutState{"completed", "v3"}
	})
	_, raw, _ := r.operatorCall("c1", "GET", "/-/rollouts/runnerpages", 0, nil, time.Second)
	r.note("status: %s", raw)
	state, _ := r.rollout("c1", "c2")
	r.note("the rollout is %s, to %s", state.State, state.TargetVersion)
	if state.State == "completed" {
		r.endSearchers(second)
		if _, err := r.versionSearchers("v2", 130); err != nil {
			return exitNotRun, err
		}
	}
	r.note("the operator orders the service back to v2, at c3 first")
	if err := r.order("v2", "c3", "c1", "c2"); err != nil {
		r.note("%v", err)
		return r.verdict(0, "acknowledged orders of a rollout are gone")
	}
	if r.trouble {
		r.note("the cut heals, %.1f s after it began", (r.now() - began).Seconds())
		r.cutter.heal()
	}
	return r.closeAndReadBack()
}

// yieldLease restarts a control node if it is the one that polls the platform, so
// that another one does; nothing else is under way.
func (r *rig) yieldLease(name string) error {
	if !strings.Contains(r.status(name), `"HoldsLease":true`) {
		return nil
	}
	r.note("%s is restarted, as it polls the platform", name)
	r.signal(name, syscall.SIGTERM)
	<-r.nodes[name].done
	return r.startNode(name, false)
}
