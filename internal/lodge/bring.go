package lodge

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/upstream"
)

// larders is what a node knows of those that keep copies; it is never changed.
type larders struct {
	list []consensus.Larder
	// on: this node is one of them.
	on bool
	// since is when this node came onto the list, in this life.
	since time.Duration
	first bool
}

// setLarders takes the agreed list; it runs on the desk.
func (t *trail) setLarders(list []consensus.Larder) {
	old := t.larders.Load()
	now := &larders{list: list}
	now.on = slices.ContainsFunc(list, func(l consensus.Larder) bool { return l.IP == t.n.set().IpAddress })
	switch {
	case !now.on:
	case old == nil:
		// It was on the list in an earlier life: nobody else has its part.
		now.first = true
	case old.on:
		now.since, now.first = old.since, old.first
	default:
		now.since = t.n.steady()
	}
	t.larders.Store(now)
	if t.larder {
		t.rng.SetShare(upstream.Fronts{All: len(list)})
	}
}

// route finds the route of an object, if there is any yet.
func (t *trail) route(host, target string) *routing.Route {
	snap := t.head.Current()
	if snap == nil {
		return nil
	}
	return snap.Map.Match(host, target)
}

// parts is this node's part of each service's ceiling; ok is false while it
// must not fetch. A larder that came onto the list waits until the others have
// heard of it and given up their part; one that no hut in touch with a
// majority answers stops before the huts count it as gone and the others take
// its part. Fronts fetch only where there is no larder.
func (t *trail) parts() (part float64, ok bool) {
	l := t.larders.Load()
	if l == nil {
		return 0, false
	}
	now := t.n.steady()
	if now-time.Duration(t.heardAt.Load()) > config.Seconds(t.n.set().Bounds.CatchUpS, quietAt) {
		return 0, false
	}
	if t.larder {
		if !l.on || !l.first && now-l.since < t.n.heartbeat(2) {
			return 0, false
		}
		return 1 / float64(len(l.list)), true
	}
	if len(l.list) > 0 || now < t.n.heartbeat(4) {
		return 0, false
	}
	return sparing / float64(max(1, t.fronts.Load())), true
}

// Bring asks the larder that owns the object, or the next in line where that
// one does not answer. Without any, the front fetches itself, sparingly.
func (t *trail) Bring(w frontend.Want) frontend.Brought {
	deadline := time.Now().Add(w.Left)
	l := t.larders.Load()
	if l == nil {
		return frontend.Brought{Status: 503, Back: t.n.heartbeat(0.2)}
	}
	if len(l.list) == 0 {
		return t.bringSelf(w)
	}
	order := slices.Clone(l.list)
	key, now := cache.Key(w.Host, w.Target), time.Now()
	score := func(x consensus.Larder) uint64 { return upstream.Draw(x.IP + "\n" + key) }
	slices.SortFunc(order, func(a, b consensus.Larder) int {
		return cmp.Or(cmp.Compare(t.ways.Out(a.IP, now), t.ways.Out(b.IP, now)), cmp.Compare(score(b), score(a)))
	})
	for at := 0; ; {
		left := time.Until(deadline)
		if left < time.Millisecond {
			return frontend.Brought{Status: 504}
		}
		if at >= 2*len(order) {
			return frontend.Brought{Status: 503, Back: min(t.n.heartbeat(0.5), left/4)}
		}
		wait := min(left, max(w.Aim*3/4, t.n.heartbeat(0.2)))
		to := order[at%len(order)]
		got, err := t.askLarder(to, w, left, wait)
		t.ways.Done(to.IP, err == nil, time.Now())
		switch {
		case err != nil || got.Status == statusClosed:
			at++
		case got.Status == 202 && got.Copy == nil:
			// It is being fetched there; the wish counts once.
			w.Weight, w.Again = 0, true
		default:
			return got
		}
	}
}

func (t *trail) askLarder(to consensus.Larder, w frontend.Want, left, wait time.Duration) (frontend.Brought, error) {
	a := larderAsk{Host: w.Host, Target: w.Target, Service: w.Service, Weight: w.Weight, Purge: t.pantry.Known(), LeftMs: left.Milliseconds(), WaitMs: wait.Milliseconds(), AimMs: w.Aim.Milliseconds(), Again: w.Again}
	began := t.n.steady()
	rep, err := t.n.call.Do(t.n.set().InternalAddress(to.IP), "POST", pathLarder, nil, encode("larder", a), min(left, wait+max(w.Aim/2, t.n.heartbeat(0.2))))
	if err != nil {
		return frontend.Brought{}, err
	}
	var s larderSay
	if err := json.Unmarshal([]byte(rep.Header(headerLarder)), &s); err != nil {
		return frontend.Brought{}, err
	}
	return brought(w, s, rep.Body, began), nil
}

// brought reads a larder's answer; began is when it was asked for, from which
// the copy's age is counted on.
func brought(w frontend.Want, s larderSay, body []byte, began time.Duration) frontend.Brought {
	switch {
	case s.Passed:
		return frontend.Brought{Passed: &cache.Passed{Status: s.Status, Fields: s.Fields, Body: body, Stamp: s.Stamp}}
	case s.Status == 200:
		return frontend.Brought{Copy: &cache.Copy{
			Host: w.Host, Target: w.Target, Service: w.Service, Fields: s.Fields, Body: body, ETag: s.ETag, Stamp: s.Stamp, Tags: s.Tags,
			Born: began - time.Duration(s.AgeMs)*time.Millisecond, Known: s.Known,
		}}
	}
	return frontend.Brought{Status: s.Status, Back: time.Duration(s.BackMs) * time.Millisecond}
}

// bringSelf fetches where there is no larder.
func (t *trail) bringSelf(w frontend.Want) frontend.Brought {
	r := t.route(w.Host, w.Target)
	if r == nil {
		return frontend.Brought{Status: 503}
	}
	began := t.n.steady()
	left := w.Left.Milliseconds()
	s, body := t.kitchen.bring(larderAsk{Host: w.Host, Target: w.Target, Service: w.Service, Weight: w.Weight, LeftMs: left, WaitMs: left, AimMs: w.Aim.Milliseconds(), Again: w.Again}, r.Lifetime, r.Sends)
	switch s.Status {
	case 202:
		s.Status = 504
	case statusClosed:
		s.Status, s.BackMs = 503, min(t.n.heartbeat(0.5).Milliseconds(), left/4)
	}
	return brought(w, s, body, began)
}
