package node

import (
	"slices"
	"strconv"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// An operator goes on to another node when one keeps silent, and may have sent
// other orders when the first answers at last. So each call is settled within
// its caller's patience, or not at all.

// Of AcknowledgeMs: how long a caller waits for an answer, what each 64 KiB of
// a body add to that, and the most that it can be.
const (
	callerTimeoutRatio    = 0.2
	callerTimeoutPerBody  = 0.1
	maxCallerTimeoutRatio = 0.8
)

// changeTimeoutFactor is how many times its caller's patience a change of the
// configuration may be under way.
const changeTimeoutFactor = 2

// Of the patience: after this a call that was passed on and is not answered
// goes to another node too, and who stood still for so long may hold old orders.
const (
	hedgeRatio = 0.25
	pauseRatio = 0.25
)

// callerTimeout is how long the caller of a call with a body of that size waits.
func callerTimeout(acknowledgeMs float64, size int) time.Duration {
	return config.Milliseconds(acknowledgeMs, min(maxCallerTimeoutRatio, callerTimeoutRatio+callerTimeoutPerBody*float64(size)/(64<<10)))
}

// timeLeft is what is left of a caller's patience when its call arrives:
// told is what the node that passed it on says, empty if it came directly.
func timeLeft(own time.Duration, told string) time.Duration {
	if told == "" {
		return own
	}
	ms, err := strconv.ParseInt(told, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	if ms > own.Milliseconds() {
		return own
	}
	return time.Duration(ms) * time.Millisecond
}

// callerDeadline is when the caller of a call that has just been read goes on.
func (n *Node) callerDeadline(c *app.RequestContext) time.Time {
	own := callerTimeout(n.Settings().Bounds.AcknowledgeMs, len(c.Request.Body()))
	if m := string(c.Request.Header.Method()); m == "PUT" || m == "PATCH" {
		// A change that comes late is known by its base: sent again, it is found settled.
		own *= changeTimeoutFactor
	}
	return time.Now().Add(timeLeft(own, string(c.Request.Header.Peek(nodeapi.HeaderTimeLeft))))
}

// pauseDetector notices that the node stood still (it was frozen, or got no processor
// time): what it reads soon after may have waited in its sockets for as long.
type pauseDetector struct {
	// Threshold is the longest time between two looks of a node that runs.
	Threshold time.Duration
	// lastCheck is the last look; woke is when it last stood still until, if it did.
	lastCheck, resumedAt time.Duration
	checked, paused      bool
}

// Check is called often; it returns how long the node stood still, if it did.
func (v *pauseDetector) Check(now time.Duration) time.Duration {
	still, first := now-v.lastCheck, !v.checked
	v.lastCheck, v.checked = now, true
	if first || still <= v.Threshold {
		return 0
	}
	v.resumedAt, v.paused = now, true
	return still
}

// RecentlyPaused tells whether a call read now may have waited while the node stood still.
func (v *pauseDetector) RecentlyPaused(now time.Duration) bool {
	return v.paused && now-v.resumedAt < v.Threshold
}

// unresponsivePeers knows which nodes did not answer lately, and when.
type unresponsivePeers map[string]time.Duration

// Record takes whether a node answered.
func (u unresponsivePeers) Record(ip string, answered bool, now time.Duration) {
	if answered {
		delete(u, ip)
	} else {
		u[ip] = now
	}
}

// SortLast gives the nodes with those that did not answer within the window put last.
func (u unresponsivePeers) SortLast(ips []string, now, window time.Duration) []string {
	for ip, at := range u {
		if now-at >= window {
			delete(u, ip)
		}
	}
	out := slices.Clone(ips)
	slices.SortStableFunc(out, func(a, b string) int {
		_, x := u[a]
		_, y := u[b]
		switch {
		case x == y:
			return 0
		case y:
			return -1
		}
		return 1
	})
	return out
}

// checkPause keeps the vigil; it runs on the view's desk.
func (n *Node) checkPause() {
	if still := n.pauses.Check(n.Now()); still > 0 {
		events.Log(events.ProcessPaused, "for", still)
	}
}

// pauseLoop looks several times within the gap.
func (n *Node) pauseLoop() {
	for {
		select {
		case <-n.Stopping:
			return
		case <-time.After(n.pauses.Threshold / 4):
			n.ViewLoop.Call(n.checkPause)
		}
	}
}

// recentlyPaused tells whether a call that has just been read may be an old one.
func (n *Node) recentlyPaused() (yes bool) {
	n.ViewLoop.Call(func() {
		n.checkPause()
		yes = n.pauses.RecentlyPaused(n.Now())
	})
	return yes
}

// forward sends a control call on to a node that may settle it, once: to the
// best known first, to another one too while there is no answer. All that
// happens within the caller's patience.
func (n *Node) forward(c *app.RequestContext, path string, until time.Time) {
	if len(c.Request.Header.Peek(nodeapi.HeaderForwardedBy)) > 0 {
		n.WriteUnavailable(c, "this node has no state yet")
		return
	}
	method, match := string(c.Request.Header.Method()), string(c.Request.Header.Peek("If-Match"))
	// A call under way may outlive this one, whose bytes are used again.
	body := slices.Clone(c.Request.Body())
	ips := slices.DeleteFunc(n.ControlIPs(), func(ip string) bool { return ip == n.Settings().IpAddress })
	n.ViewLoop.Call(func() {
		ips = n.unresponsive.SortLast(ips, n.Now(), config.Milliseconds(n.Settings().Bounds.InTouchMs, 1))
	})
	note := func(ip string, answered bool) {
		n.ViewLoop.Submit(func() { n.unresponsive.Record(ip, answered, n.Now()) })
	}
	in := make(chan *transport.Response, len(ips))
	waits, last := 0, ""
	ask := func() {
		left := time.Until(until)
		if len(ips) == 0 || left < time.Millisecond {
			return
		}
		ip := ips[0]
		ips = ips[1:]
		last = ip
		waits++
		hd := map[string]string{nodeapi.HeaderForwardedBy: n.Settings().NodeName, nodeapi.HeaderTimeLeft: strconv.FormatInt(left.Milliseconds(), 10)}
		if match != "" {
			hd["If-Match"] = match
		}
		go func() {
			rep, err := n.Client.Do(n.Settings().InternalAddress(ip), method, path, hd, body, left)
			settled := err == nil && rep.Status < 500
			note(ip, settled)
			if !settled {
				in <- nil
				return
			}
			in <- &rep
		}()
	}
	hedge := time.Duration(float64(callerTimeout(n.Settings().Bounds.AcknowledgeMs, len(body))) * hedgeRatio)
	end := time.NewTimer(time.Until(until))
	defer end.Stop()
	another := time.NewTicker(max(hedge, time.Millisecond))
	defer another.Stop()
	over := false
	for ask(); waits > 0 && !over; {
		select {
		case rep := <-in:
			waits--
			if rep == nil {
				ask()
				continue
			}
			// What was read may be old by now; what was acknowledged stays so.
			if method == "GET" && time.Now().After(until) {
				over = true
				continue
			}
			// A 404 too is an answer: it is given after a majority was asked.
			for _, name := range []string{"Etag", "Retry-After"} {
				if v := rep.Header(name); v != "" {
					c.Response.Header.Set(name, v)
				}
			}
			c.SetStatusCode(rep.Status)
			c.Response.Header.SetContentType("application/json")
			c.Response.SetBodyRaw(rep.Body)
			return
		case <-another.C:
			note(last, false)
			ask()
		case <-end.C:
			over = true
		case <-n.Stopping:
			over = true
		}
	}
	n.WriteUnavailable(c, "no node that keeps state could settle it in time")
}
