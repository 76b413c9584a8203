package lodge

import (
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"
)

// An operator goes on to another node when one keeps silent, and may have sent
// other orders when the first answers at last. So each call is settled within
// its caller's patience, or not at all.

// headerPatience tells, on a call that was passed on, how much of its caller's
// patience is left.
const headerPatience = "Swiftswitch-Patience-Milliseconds"

// Of AcknowledgeMs: how long a caller waits for an answer, what each 64 KiB of
// a body add to that, and the most that it can be.
const (
	patienceRatio  = 0.2
	patienceBody   = 0.1
	patienceAtMost = 0.8
)

// changeTimes is how many times its caller's patience a change of the
// configuration may be under way.
const changeTimes = 2

// Of the patience: after this a call that was passed on and is not answered
// goes to another node too, and who stood still for so long may hold old orders.
const (
	hedgePart = 0.25
	stillPart = 0.25
)

// patience is how long the caller of a call with a body of that size waits.
func patience(acknowledgeMs float64, size int) time.Duration {
	return config.Milliseconds(acknowledgeMs, min(patienceAtMost, patienceRatio+patienceBody*float64(size)/(64<<10)))
}

// patienceLeft is what is left of a caller's patience when its call arrives:
// told is what the node that passed it on says, empty if it came directly.
func patienceLeft(own time.Duration, told string) time.Duration {
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

// until is when the caller of a call that has just been read goes on.
func (n *Node) until(c *app.RequestContext) time.Time {
	own := patience(n.set().Bounds.AcknowledgeMs, len(c.Request.Body()))
	if m := string(c.Request.Header.Method()); m == "PUT" || m == "PATCH" {
		// A change that comes late is known by its base: sent again, it is found settled.
		own *= changeTimes
	}
	return time.Now().Add(patienceLeft(own, string(c.Request.Header.Peek(headerPatience))))
}

// unsettled answers that a call can't be settled here and now: the caller may
// send it again soon, to any node.
func (n *Node) unsettled(c *app.RequestContext, why string) {
	in := config.Milliseconds(n.set().Bounds.AcknowledgeMs, 0.02)
	c.Response.Header.Set("Retry-After", strconv.FormatFloat(in.Seconds(), 'f', 3, 64))
	transport.WriteJSON(c, 503, map[string]string{"Error": why})
}

// vigil notices that the node stood still (it was frozen, or got no processor
// time): what it reads soon after may have waited in its sockets for as long.
type vigil struct {
	// Gap is the longest time between two looks of a node that runs.
	Gap time.Duration
	// last is the last look; woke is when it last stood still until, if it did.
	last, woke    time.Duration
	looked, stood bool
}

// Look is called often; it returns how long the node stood still, if it did.
func (v *vigil) Look(now time.Duration) time.Duration {
	still, first := now-v.last, !v.looked
	v.last, v.looked = now, true
	if first || still <= v.Gap {
		return 0
	}
	v.woke, v.stood = now, true
	return still
}

// Doubtful tells whether a call read now may have waited while the node stood still.
func (v *vigil) Doubtful(now time.Duration) bool {
	return v.stood && now-v.woke < v.Gap
}

// unheard knows which nodes did not answer lately, and when.
type unheard map[string]time.Duration

// Note takes whether a node answered.
func (u unheard) Note(ip string, answered bool, now time.Duration) {
	if answered {
		delete(u, ip)
	} else {
		u[ip] = now
	}
}

// Last gives the nodes with those that did not answer within the window put last.
func (u unheard) Last(ips []string, now, window time.Duration) []string {
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

// look keeps the vigil; it runs on the view's desk.
func (n *Node) look() {
	if still := n.vigil.Look(n.steady()); still > 0 {
		events.Log(events.ProcessPaused, "for", still)
	}
}

// vigilLoop looks several times within the gap.
func (n *Node) vigilLoop() {
	for {
		select {
		case <-n.stop:
			return
		case <-time.After(n.vigil.Gap / 4):
			n.view.ask(n.look)
		}
	}
}

// doubtful tells whether a call that has just been read may be an old one.
func (n *Node) doubtful() (yes bool) {
	n.view.ask(func() {
		n.look()
		yes = n.vigil.Doubtful(n.steady())
	})
	return yes
}

const headerPassed = "Swiftswitch-Passed-On"

// passOn sends a control call on to a node that may settle it, once: to the
// best known first, to another one too while there is no answer. All that
// happens within the caller's patience.
func (n *Node) passOn(c *app.RequestContext, path string, until time.Time) {
	if len(c.Request.Header.Peek(headerPassed)) > 0 {
		n.unsettled(c, "this node has no state yet")
		return
	}
	method, match := string(c.Request.Header.Method()), string(c.Request.Header.Peek("If-Match"))
	// A call under way may outlive this one, whose bytes are used again.
	body := slices.Clone(c.Request.Body())
	ips := slices.DeleteFunc(n.huts(), func(ip string) bool { return ip == n.set().IpAddress })
	n.view.ask(func() {
		ips = n.unheard.Last(ips, n.steady(), config.Milliseconds(n.set().Bounds.InTouchMs, 1))
	})
	note := func(ip string, answered bool) {
		n.view.post(func() { n.unheard.Note(ip, answered, n.steady()) })
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
		hd := map[string]string{headerPassed: n.set().NodeName, headerPatience: strconv.FormatInt(left.Milliseconds(), 10)}
		if match != "" {
			hd["If-Match"] = match
		}
		go func() {
			rep, err := n.call.Do(n.set().InternalAddress(ip), method, path, hd, body, left)
			settled := err == nil && rep.Status < 500
			note(ip, settled)
			if !settled {
				in <- nil
				return
			}
			in <- &rep
		}()
	}
	hedge := time.Duration(float64(patience(n.set().Bounds.AcknowledgeMs, len(body))) * hedgePart)
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
		case <-n.stop:
			over = true
		}
	}
	n.unsettled(c, "no node that keeps state could settle it in time")
}
